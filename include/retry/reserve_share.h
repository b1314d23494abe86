// reserve_share: which part of a reserve that all daemons share one daemon may
// use.
#pragma once

#include <cstddef>
#include <deque>

#include "include/base/time.h"

namespace pistachioweir {

// Nobody hands out the reserve: each daemon takes its part of it by the number
// of daemons that it sees. Entries come one by one at a start and after an
// outage of the store, and a daemon that took its part by the first list would
// keep half of the reserve for itself. A list that has become shorter may come
// back as well, so the longest one of a window counts: what was spent by the
// longer list is still in the window.
//
// Pure logic; the owner keeps one for all its services.
class reserve_share {
 public:
  // Of the reserve, what all daemons use together. A daemon that starts again
  // has forgotten what it spent, and may spend its part once more.
  static constexpr double kUsableFraction = 0.5;
  // After its first list a daemon waits this long for more entries. They are
  // back within two seconds of the store's return, and nothing shows at a start
  // whether there was an outage just before.
  static constexpr milliseconds kInitialSettleTime{2000};

  // `window` is that of the budget that the reserve belongs to.
  explicit reserve_share(milliseconds window) : window_(window) {}

  // A list of targets shows so many daemons, this one included.
  void OnDaemonCount(std::size_t count, time_point now);

  // From 0 to kUsableFraction.
  [[nodiscard]] double Fraction(time_point now);

 private:
  struct list_length {
    std::size_t daemons = 0;
    time_point until;  // When a shorter list took its place; max for the last.
  };

  void DropExpired(time_point now);

  const milliseconds window_;
  // Each is shorter than the one before, and ended later.
  std::deque<list_length> longest_;
  time_point first_;
};

}  // namespace pistachioweir
