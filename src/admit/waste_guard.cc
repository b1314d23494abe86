// The admitted share, by what ends well.
#include "include/admit/waste_guard.h"

#include <algorithm>

namespace pistachioweir {

void waste_guard::SetRank(std::uint32_t rank) {
  borne_ = kBorne[std::min<std::size_t>(rank, kBorne.size() - 1)];
}

bool waste_guard::Admit() {
  credit_ += share_;
  if (credit_ < 1) {
    return false;
  }
  credit_ = std::min(credit_ - 1, 1.0);
  return true;
}

void waste_guard::OnEnd(bool well, time_point now) {
  ++ended_;
  failed_ += well ? 0 : 1;
  if (now < period_end_ || ended_ < kFewest) {
    return;
  }
  EndPeriod();
  period_end_ = now + kPeriod;
}

void waste_guard::EndPeriod() {
  const double failed = static_cast<double>(failed_) / ended_;
  if (failed > borne_) {
    share_ = std::max(kLeastShare, share_ * (1 - kDecrease * failed));
    increase_ = kIncrease;
  } else {
    share_ = std::min(1.0, share_ + increase_);
    increase_ = std::min(kMostIncrease, 2 * increase_);
  }
  ended_ = 0;
  failed_ = 0;
}

}  // namespace pistachioweir
