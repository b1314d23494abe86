// precedence: the rank of a request by its organisation and its route.
//
// A value; built once for each configuration.
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

// An organisation's rank goes before its route's; requests of organisations
// that are alike are told apart by their routes. The pairs that exist are
// spread over the priorities. Ranks of routes whose requests come without an
// organisation are kept.
class precedence {
 public:
  precedence() = default;

  [[nodiscard]] static precedence Make(const organisation_table& organisations,
                                       const route_table& routes) {
    precedence made;
    for (const organisation& each : organisations.organisations()) {
      for (const route& taken : routes.routes()) {
        if (!taken.is_public) {
          made.pairs_.push_back(PairOf(each, taken));
        }
      }
    }
    std::ranges::sort(made.pairs_);
    made.pairs_.erase(std::unique(made.pairs_.begin(), made.pairs_.end()),
                      made.pairs_.end());
    return made;
  }

  [[nodiscard]] std::uint32_t RankOf(const organisation* of,
                                     const route& taken) const {
    if (of == nullptr || pairs_.empty()) {
      return taken.rank;
    }
    const auto place = static_cast<std::size_t>(
        std::ranges::lower_bound(pairs_, PairOf(*of, taken)) - pairs_.begin());
    const std::size_t levels = std::max(pairs_.size(), kPriorityCount);
    return static_cast<std::uint32_t>(place * kPriorityCount / levels);
  }

  // Whether some other organisation is to give way to this one.
  [[nodiscard]] bool IsAhead(const organisation* of) const {
    return of != nullptr && of->rank && !pairs_.empty() &&
           *of->rank < pairs_.back().first;
  }

 private:
  using rank_pair = std::pair<std::uint32_t, std::uint32_t>;

  [[nodiscard]] static rank_pair PairOf(const organisation& of,
                                        const route& taken) {
    return {of.rank.value_or(taken.rank), taken.rank};
  }

  std::vector<rank_pair> pairs_;  // In order, each once.
};

}  // namespace pistachioweir
