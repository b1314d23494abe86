// The longest list of the last window.
#include "include/retry/reserve_share.h"

#include <algorithm>

namespace pistachioweir {

void reserve_share::Forget(time_point now) {
  while (!longest_.empty() && longest_.front().until != time_point::max() &&
         longest_.front().until < now - window_) {
    longest_.pop_front();
  }
}

void reserve_share::NoteDaemons(std::size_t count, time_point now) {
  if (longest_.empty()) {
    first_ = now;
  } else {
    longest_.back().until = now;
  }
  while (!longest_.empty() && longest_.back().daemons <= count) {
    longest_.pop_back();
  }
  longest_.push_back({.daemons = count, .until = time_point::max()});
  Forget(now);
}

double reserve_share::Part(time_point now) {
  if (longest_.empty() || now - first_ < kFirstListGrows) {
    return 0;
  }
  Forget(now);
  const std::size_t daemons =
      std::max<std::size_t>(1, longest_.front().daemons);
  return kUsed / static_cast<double>(daemons);
}

}  // namespace pistachioweir
