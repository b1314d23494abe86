// json_document: one JSON text with comments, parsed strictly, or what is wrong
// with it and where.
#pragma once

#include <json/value.h>

#include <cstddef>
#include <string_view>

#include "include/config/config_error.h"

namespace pistachioweir {

// Deeper nesting than any settings or manifest has is refused, because the
// library's parser recurses: a hostile text of brackets would end the process.
inline constexpr int kMaxJsonDepth = 32;
// A value of the platform is at most 1 MiB; more can only be a mistake.
inline constexpr std::size_t kMaxJsonBytes = 1 << 20;
// An answer of a platform's store: values of a page, in base64, with their
// keys.
inline constexpr std::size_t kMaxStoredBytes = 4 << 20;

struct json_document {
  Json::Value root;  // Null unless `readable`.
  config_errors errors;
  // Set if `root` can be read, even if there are errors such as a key that
  // stands twice, so that a user sees all that is wrong at once.
  bool readable = false;
};

// Parses `text`, named `origin` in errors. Never throws.
[[nodiscard]] json_document ParseJson(std::string_view text,
                                      std::string_view origin,
                                      std::size_t max_bytes = kMaxJsonBytes);

}  // namespace pistachioweir
