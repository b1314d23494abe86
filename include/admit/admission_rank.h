// admission_rank: the order in which requests are refused under overload.
#pragma once

#include <cstdint>

#include "include/base/priority.h"

namespace pistachioweir {

// Higher ranks are refused later. An admission level is a rank too: requests
// whose rank is below the level are refused, so level 0 refuses nothing.
using admission_rank = std::uint32_t;

inline constexpr admission_rank kRanksPerPriority = 256;
inline constexpr admission_rank kRankCount = kPriorityCount * kRanksPerPriority;

// The lowest rank of a priority.
[[nodiscard]] constexpr admission_rank LowestRank(priority level) {
  const auto step = kPriorityCount - 1 - static_cast<admission_rank>(level);
  return static_cast<admission_rank>(step) * kRanksPerPriority;
}

// Priority first; within a priority the ticket that was drawn at the root, so
// that a level refuses the same call trees at every hop instead of a random
// subset at each.
[[nodiscard]] constexpr admission_rank RankOf(priority level,
                                              std::uint8_t ticket) {
  return LowestRank(level) + ticket;
}

// Whether `level` refuses a request. A nested one, on which other targets have
// already worked, is refused only if the level exceeds the lowest critical
// rank: requests are refused by the same level before they enter the chain, and
// a level that has just risen would otherwise discard the work on everything in
// progress along the chain.
[[nodiscard]] constexpr bool IsRefusedBy(admission_rank level,
                                         priority importance,
                                         std::uint8_t ticket,
                                         bool is_nested) {
  if (is_nested && level <= LowestRank(priority::kCritical)) {
    return false;
  }
  return RankOf(importance, ticket) < level;
}

}  // namespace pistachioweir
