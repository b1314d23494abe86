// key_check: on whose behalf a request comes, by its API key.
//
// Pure logic.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "include/base/enum_table.h"
#include "include/base/time.h"
#include "include/organisation/organisation_table.h"

namespace pistachioweir {

enum class key_verdict : std::uint8_t {
  kNotNeeded,    // Served without an organisation.
  kHeld,         // By an organisation.
  kNotHeld,      // By none, or the request has no key.
  kUnconfirmed,  // The configuration is too old to tell.
};

inline constexpr enum_table<key_verdict, 4> kKeyVerdictNames(
    {"not_needed", "held", "not_held", "unconfirmed"});

struct key_question {
  const organisation_table* organisations = nullptr;  // nullptr without keys.
  bool is_public = false;                             // The route.
  std::string_view api_key;
  // How long ago the configuration is proven to have been the newest one;
  // nothing if that was never proven.
  std::optional<milliseconds> proven_age;
  // Oldest configuration that keys may be judged by; zero if any may.
  milliseconds max_age{0};
};

struct key_answer {
  key_verdict verdict = key_verdict::kNotNeeded;
  const organisation* holder = nullptr;  // Only with kHeld.
};

// An old configuration says nothing either way: keys may have been withdrawn
// and added since.
[[nodiscard]] inline key_answer CheckKey(const key_question& question) {
  if (question.organisations == nullptr) {
    return {};
  }
  const bool confirmed =
      question.max_age <= milliseconds(0) ||
      (question.proven_age && *question.proven_age <= question.max_age);
  const organisation* const holder =
      question.organisations->Find(question.api_key);
  if (question.is_public) {
    return holder != nullptr && confirmed
               ? key_answer{.verdict = key_verdict::kHeld, .holder = holder}
               : key_answer{};
  }
  if (!confirmed) {
    return {.verdict = key_verdict::kUnconfirmed};
  }
  if (holder == nullptr) {
    return {.verdict = key_verdict::kNotHeld};
  }
  return {.verdict = key_verdict::kHeld, .holder = holder};
}

}  // namespace pistachioweir
