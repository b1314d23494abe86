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

struct key_check_input {
  const organisation_table* organisations = nullptr;  // nullptr without keys.
  bool is_public = false;                             // The route.
  std::string_view api_key;
  // How long ago the configuration is proven to have been the newest one;
  // nothing if that was never proven.
  std::optional<milliseconds> proven_age;
  // Oldest configuration that keys may be judged by; zero if any may.
  milliseconds max_age{0};
};

struct key_check_result {
  key_verdict verdict = key_verdict::kNotNeeded;
  const organisation* holder = nullptr;  // Only with kHeld.
};

// An old configuration says nothing either way: keys may have been withdrawn
// and added since.
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
