// Averaging of reported shares, and even spacing of admitted requests.
#include "include/admit/entrance_limiter.h"

#include <algorithm>
#include <chrono>

namespace pistachioweir {

void recent_share::Add(double share, time_point now) {
  if (now - begun_ >= kSpan) {
    spans_[1] = now - begun_ < 2 * kSpan ? spans_[0] : span{};
    spans_[0] = {};
    begun_ = now;
  }
  spans_[0].sum += share;
  ++spans_[0].count;
  mean_ = (spans_[0].sum + spans_[1].sum) / (spans_[0].count + spans_[1].count);
  last_ = now;
}

double recent_share::Get(time_point now) const {
  const duration age = now - last_;
  if (age <= kKept) {
    return mean_;
  }
  const double returned = std::chrono::duration<double>(age - kKept) /
                          std::chrono::duration<double>(kForgotten - kKept);
  return mean_ + (1 - mean_) * std::min(1.0, returned);
}

void entrance_limiter::SetShare(double share) {
  share_ = std::clamp(share, kMinShare, 1.0);
}

bool entrance_limiter::MayAdmit(bool has_precedence) {
  credit_ = std::min(credit_ + share_, kMaxCredit);
  return credit_ >= (has_precedence ? 1 - kMaxBorrowed : 1);
}

void entrance_limiter::Spend() {
  credit_ = std::min(credit_ - 1, 1.0);
}

}  // namespace pistachioweir
