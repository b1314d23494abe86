// Time as the decision logic sees it: a monotonic reading that is passed in, so
// that the same code runs in the daemon and on a test's virtual clock.
#pragma once

#include <chrono>

namespace pistachioweir {

using monotonic_clock = std::chrono::steady_clock;
using time_point = monotonic_clock::time_point;
using duration = monotonic_clock::duration;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

[[nodiscard]] inline milliseconds ToMilliseconds(duration time) {
  return std::chrono::duration_cast<milliseconds>(time);
}

// Zero once the deadline has passed.
[[nodiscard]] inline milliseconds TimeLeft(time_point deadline,
                                           time_point now) {
  return deadline <= now ? milliseconds(0) : ToMilliseconds(deadline - now);
}

}  // namespace pistachioweir
