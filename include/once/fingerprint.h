// request_fingerprint: a hash of a request's content, to compare requests.
#pragma once

#include <compare>
#include <cstdint>
#include <string_view>

namespace pistachioweir {

// A 128-bit hash (XXH3). Not secret and not collision-resistant against a
// caller that makes two of its own requests collide: such a caller gets its own
// first answer.
struct request_fingerprint {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  friend auto operator<=>(const request_fingerprint&,
                          const request_fingerprint&) = default;
};

struct request_identity {
  std::string_view service;
  std::string_view method;
  std::string_view body;
  // Pw-Call-Label: distinguishes two calls that are otherwise identical.
  std::string_view label;
};

[[nodiscard]] request_fingerprint Fingerprint(const request_identity& request);

}  // namespace pistachioweir
