// key_check: determines by API key which organisation a request belongs to.
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
  kHeld,         // Held by an organisation.
  kNotHeld,      // Held by none, or the request has no key.
  kUnconfirmed,  // The configuration is too old to decide.
};

inline constexpr enum_table<key_verdict, 4> kKeyVerdictNames(
    {"not_needed", "held", "not_held", "unconfirmed"});

struct key_check_input {
  const organisation_table* organisations =
      nullptr;             // nullptr if API keys are not used.
  bool is_public = false;  // Whether the route is public.
  std::string_view api_key;
  // Time since the configuration was last proven to be the newest one; nullopt
  // if it never was.
  std::optional<milliseconds> proven_age;
  // Maximum age of a configuration that keys are checked against; zero for no
  // limit.
  milliseconds max_age{0};
};

struct key_check_result {
  key_verdict verdict = key_verdict::kNotNeeded;
  const organisation* holder = nullptr;  // Only with kHeld.
};

// An outdated configuration neither confirms nor refuses a key: keys may have
// been withdrawn and added since.
[[nodiscard]] inline key_check_result CheckKey(const key_check_input& input) {
  if (input.organisations == nullptr) {
    return {};
  }
  const bool confirmed =
      input.max_age <= milliseconds(0) ||
      (input.proven_age && *input.proven_age <= input.max_age);
  const organisation* const holder = input.organisations->Find(input.api_key);
  if (input.is_public) {
    return holder != nullptr && confirmed
               ? key_check_result{.verdict = key_verdict::kHeld,
                                  .holder = holder}
               : key_check_result{};
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
