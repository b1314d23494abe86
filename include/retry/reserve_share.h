// reserve_share: one daemon's share of a reserve that all daemons share.
#pragma once

#include <cstddef>
#include <deque>

#include "include/base/time.h"

namespace pistachioweir {

// The reserve isn't assigned centrally: each daemon derives its share from the
// number of daemons that it sees. Entries appear one by one at startup and
// after an outage of the store, and a daemon that used the first list would
// take half of the reserve for itself. A shortened list may also grow back, so
// the longest list of a window counts: what was spent under it is still in the
// window.
//
// Pure logic; the owner keeps one for all its services.
class reserve_share {
 public:
  // Fraction of the reserve that all daemons use together. A restarted daemon
  // doesn't know what it spent before, and may spend its share once more.
  static constexpr double kUsableFraction = 0.5;
  // Time that a daemon waits for more entries after its first list. They are
  // back within two seconds of the store's recovery, and a starting daemon
  // can't tell whether there was an outage just before.
  static constexpr milliseconds kInitialSettleTime{2000};

  // `window` is the window of the budget that the reserve belongs to.
  explicit reserve_share(milliseconds window) : window_(window) {}

  // A list of targets contains `count` daemons, including this one.
  void OnDaemonCount(std::size_t count, time_point now);

  // This daemon's fraction of the reserve, from 0 to kUsableFraction.
  [[nodiscard]] double Fraction(time_point now);

 private:
  struct list_length {
    std::size_t daemons = 0;
    time_point until;  // When a shorter list replaced it; max for the last.
  };

  void DropExpired(time_point now);

  const milliseconds window_;
  // Each is shorter than its predecessor and ended later.
  std::deque<list_length> longest_;
  time_point first_;
};

}  // namespace pistachioweir
