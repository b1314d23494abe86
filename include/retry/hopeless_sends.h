// hopeless_sends: whether a request has too little time left to be sent.
#pragma once

#include <array>
#include <cstdint>

#include "include/base/recent_extreme.h"
#include "include/base/time.h"
#include "include/route/kind_index.h"

namespace pistachioweir {

// A target ends a run at its deadline and answers so a moment before its caller
// gives up. Sent again then, the request reaches three other targets with two
// milliseconds left, each of which looks at it and refuses it or breaks it off;
// and it takes from the bound on repeats what others could have been repeated
// with: 299 of 796 further sends on a recorded day of overload. A target that
// calls others in its last milliseconds makes more of the same.
//
// So a request isn't sent that has less left than half of the shortest run of
// its kind that ended well lately. Half, since runs of a kind differ and the
// shortest may have come by before the window: a request that could have ended
// must not be refused. It has not run, and its caller is told so at once.
//
// Pure logic; the origin keeps one for each called service.
class hopeless_sends {
 public:
  static constexpr int kPart = 2;

  // A run of the kind ended well after so long at its target.
  void OnServed(std::uint32_t kind, duration served, time_point now) {
    shortest_[kind].Add(served, now);
  }

  [[nodiscard]] bool IsHopeless(std::uint32_t kind,
                                duration left,
                                time_point now) {
    const auto shortest = shortest_[kind].Get(now);
    return shortest && left < *shortest / kPart;
  }

 private:
  std::array<recent_minimum, kind_index::kMost> shortest_;
};

}  // namespace pistachioweir
