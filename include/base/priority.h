// priority: how much a root request matters, as its manifest says. Calls made
// for a root request inherit it, so that a lookup made for a signature is as
// important as the signature.
#pragma once

#include <cstdint>

#include "include/base/enum_table.h"

namespace pistachioweir {

// Most important first: a smaller number is refused later.
enum class priority : std::uint8_t { kCritical, kHigh, kNormal, kLow };

inline constexpr std::size_t kPriorityCount = 4;

inline constexpr enum_table<priority, kPriorityCount> kPriorityNames(
    {"critical", "high", "normal", "low"});

// The priority of a rank that counts up from the most important, as operators
// number them. Ranks beyond the last priority share it.
[[nodiscard]] constexpr priority PriorityOfRank(std::uint32_t rank) {
  constexpr std::uint32_t kLast = kPriorityCount - 1;
  return static_cast<priority>(rank < kLast ? rank : kLast);
}

}  // namespace pistachioweir
