// precedence: the rank of a request by its organisation and its route.
//
// Immutable value; built once per configuration.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "include/base/priority.h"
#include "include/organisation/organisation_table.h"
#include "include/route/route_table.h"

namespace pistachioweir {

// Orders requests by the rank of their organisation, then by that of their
// route. Where more pairs exist than priorities, those of the organisations
// that come first share the first priority, since these are few; the others are
// distributed over the rest. Routes whose requests come without an organisation
// keep their rank.
class precedence {
 public:
  precedence() = default;

  [[nodiscard]] static precedence Make(const organisation_table& organisations,
                                       const route_table& routes) {
    precedence result;
    for (const organisation& each : organisations.organisations()) {
      for (const route& matched : routes.routes()) {
        if (!matched.is_public) {
          result.pairs_.push_back(MakePair(each, matched));
        }
      }
    }
    std::ranges::sort(result.pairs_);
    result.pairs_.erase(std::unique(result.pairs_.begin(), result.pairs_.end()),
                        result.pairs_.end());
    return result;
  }

  [[nodiscard]] std::uint32_t RankOf(const organisation* holder,
                                     const route& matched) const {
    if (holder == nullptr || pairs_.empty()) {
      return matched.rank;
    }
    const auto index = static_cast<std::size_t>(
        std::ranges::lower_bound(pairs_, MakePair(*holder, matched)) -
        pairs_.begin());
    return PriorityAt(index);
  }

  // Whether some other organisation has to yield to this one.
  [[nodiscard]] bool TakesPrecedence(const organisation* holder) const {
    return holder != nullptr && holder->rank && !pairs_.empty() &&
           *holder->rank < pairs_.back().first;
  }

 private:
  using rank_pair = std::pair<std::uint32_t, std::uint32_t>;

  [[nodiscard]] static rank_pair MakePair(const organisation& holder,
                                          const route& matched) {
    return {holder.rank.value_or(matched.rank), matched.rank};
  }

  [[nodiscard]] std::uint32_t PriorityAt(std::size_t index) const {
    if (pairs_.size() <= kPriorityCount) {
      return static_cast<std::uint32_t>(index);
    }
    const auto first_group = static_cast<std::size_t>(
        std::ranges::count(pairs_, pairs_.front().first, &rank_pair::first));
    const std::size_t others = pairs_.size() - first_group;
    if (others == 0) {
      return static_cast<std::uint32_t>(index * kPriorityCount / pairs_.size());
    }
    if (index < first_group) {
      return 0;
    }
    constexpr std::size_t kLeft = kPriorityCount - 1;
    return static_cast<std::uint32_t>(1 + (index - first_group) * kLeft /
                                              std::max(others, kLeft));
  }

  std::vector<rank_pair> pairs_;  // Sorted, without duplicates.
};

}  // namespace pistachioweir
