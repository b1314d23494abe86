// pause_detector: notices that this process did not run for a while.
#pragma once

#include <optional>

#include "include/base/time.h"

namespace pistachioweir {

// A process is stopped for seconds or minutes (a frozen VM, a debugger, swap)
// and wakes up with a view of the world from before: it would place calls on
// targets that have left and apply rules that were withdrawn. Its own ticks
// show the gap on the monotonic clock. Until something newer was heard, the
// view counts as stale; but not for longer than kPatience, since a daemon that
// hears nothing at all must still serve.
class pause_detector {
 public:
  // Longer than a busy machine delays a thread, shorter than the few seconds
  // in which a leaving target may still get calls.
  static constexpr milliseconds kMaxGap{2000};
  static constexpr milliseconds kPatience{2000};

  // Returns whether there was a pause before this tick.
  bool NoteTick(time_point now);
  // Something was heard from a peer or the platform that was asked after the
  // pause.
  void NoteRefreshed() { stale_since_.reset(); }

  [[nodiscard]] bool IsFresh(time_point now) const;

 private:
  std::optional<time_point> last_tick_;
  std::optional<time_point> stale_since_;
};

}  // namespace pistachioweir
