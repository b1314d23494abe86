// request_fingerprint: tells whether two requests ask for the same thing.
#pragma once

#include <compare>
#include <cstdint>
#include <string_view>

namespace pistachioweir {

// A 128-bit hash (XXH3). Not secret and not proof against a caller that makes
// two of its own requests collide: such a caller gets its own first answer.
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
  // Pw-Call-Label: tells apart two calls that differ in nothing else.
  std::string_view label;
};

[[nodiscard]] request_fingerprint Fingerprint(const request_identity& request);

}  // namespace pistachioweir
