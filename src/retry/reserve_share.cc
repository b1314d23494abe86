// The longest list of targets within the window.
#include "include/retry/reserve_share.h"

#include <algorithm>

namespace pistachioweir {

void reserve_share::DropExpired(time_point now) {
  while (!longest_.empty() && longest_.front().until != time_point::max() &&
         longest_.front().until < now - window_) {
    longest_.pop_front();
  }
}

void reserve_share::OnDaemonCount(std::size_t count, time_point now) {
  if (longest_.empty()) {
    first_ = now;
  } else {
    longest_.back().until = now;
  }
  while (!longest_.empty() && longest_.back().daemons <= count) {
    longest_.pop_back();
  }
  longest_.push_back({.daemons = count, .until = time_point::max()});
  DropExpired(now);
}

double reserve_share::Fraction(time_point now) {
  if (longest_.empty() || now - first_ < kInitialSettleTime) {
    return 0;
  }
  DropExpired(now);
  const std::size_t daemons =
      std::max<std::size_t>(1, longest_.front().daemons);
  return kUsableFraction / static_cast<double>(daemons);
}

}  // namespace pistachioweir
