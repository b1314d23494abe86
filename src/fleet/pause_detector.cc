// Gaps between ticks.
#include "include/fleet/pause_detector.h"

namespace pistachioweir {

bool pause_detector::NoteTick(time_point now) {
  const bool paused = last_tick_ && now - *last_tick_ > kMaxGap;
  last_tick_ = now;
  if (paused) {
    stale_since_ = now;
  }
  return paused;
}

bool pause_detector::IsFresh(time_point now) const {
  // Other threads may ask before the next tick finds the gap.
  if (last_tick_ && now - *last_tick_ > kMaxGap) {
    return false;
  }
  return !stale_since_ || now - *stale_since_ >= kPatience;
}

}  // namespace pistachioweir
