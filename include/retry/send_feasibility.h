// send_feasibility: whether a request has enough time left to be sent.
#pragma once

#include <array>
#include <cstdint>

#include "include/base/recent_extreme.h"
#include "include/base/time.h"
#include "include/route/kind_index.h"

namespace pistachioweir {

// A request that is sent again with a few milliseconds left can't complete in
// time, and uses up the repeat budget that other requests need. So a request
// isn't sent with less time left than half of the shortest recent successful
// run of its kind; half, since a request that could have completed must not be
// refused.
//
// Pure logic; the origin keeps one per called service.
class send_feasibility {
 public:
  static constexpr int kShortestRunDivisor = 2;

  // A run of the kind succeeded after `served` at its target.
  void OnCompleted(std::uint32_t kind, duration served, time_point now) {
    shortest_[kind].Add(served, now);
  }

  [[nodiscard]] bool IsInfeasible(std::uint32_t kind,
                                  duration left,
                                  time_point now) {
    const auto shortest = shortest_[kind].Get(now);
    return shortest && left < *shortest / kShortestRunDivisor;
  }

 private:
  std::array<recent_minimum, kind_index::kMaxKinds> shortest_;
};

}  // namespace pistachioweir
