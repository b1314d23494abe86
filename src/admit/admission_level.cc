// The admission level's control loop, judged once a window.
#include "include/admit/admission_level.h"

#include <algorithm>

namespace pistachioweir {

namespace {

// Waiting that even the luckiest request of a window had: a queue that stands,
// not one that a burst left behind. Small beside a 200 ms deadline, so that a
// chain eleven deep can bear it at each hop.
constexpr milliseconds kStandingDelay{5};
// Largest part of the arrivals that one window's judgement may refuse: a
// window of a burst says little.
constexpr double kLargestCut = 0.5;
constexpr double kSmallestCut = 0.02;
// Lowering starts gently, since nothing is known of the demand below the
// level, and doubles while slots stay free: from refusing everything to
// nothing in half a second.
constexpr admission_rank kFirstStep = 2;
constexpr admission_rank kLargestStep = 64;
// The last rank is never refused by level.
constexpr admission_rank kHighestLevel = kRankCount - 1;

}  // namespace

void admission_level::OnArrival(admission_rank rank, time_point now) {
  Advance(now);
  ++arrivals_[std::min(rank, kHighestLevel) / kRanksPerBin];
  ++arrived_;
}

void admission_level::OnStart(duration delay, time_point now) {
  Advance(now);
  ++started_;
  least_delay_ = std::min(least_delay_, delay);
}

void admission_level::OnFinish(time_point now) {
  Advance(now);
  ++finished_;
}

void admission_level::OnLoadRefusal(time_point now) {
  Advance(now);
  ++load_refusals_;
}

void admission_level::OnIdle(time_point now) {
  Advance(now);
  idle_ = true;
}

void admission_level::RaiseTo(admission_rank level) {
  level_ = std::max(level_, std::min(level, kHighestLevel));
  step_ = 0;
}

void admission_level::Advance(time_point now) {
  if (now < window_end_) {
    return;
  }
  const bool standing = started_ > 0 && least_delay_ > kStandingDelay;
  if (standing || load_refusals_ > 0) {
    Raise();
  } else {
    Lower();
  }
  arrivals_.fill(0);
  arrived_ = 0;
  started_ = 0;
  finished_ = 0;
  load_refusals_ = 0;
  idle_ = false;
  least_delay_ = duration::max();
  window_end_ = now + kWindow;
}

void admission_level::Raise() {
  step_ = 0;
  if (arrived_ == 0) {
    return;
  }
  const double excess = 1.0 - static_cast<double>(finished_) / arrived_;
  const double cut = std::clamp(excess, kSmallestCut, kLargestCut);
  auto left = static_cast<std::uint32_t>(cut * arrived_) + 1;
  for (std::size_t bin = 0; bin < kBins; ++bin) {
    if (arrivals_[bin] >= left) {
      const auto part = kRanksPerBin * left / arrivals_[bin];
      level_ = std::max<admission_rank>(level_, bin * kRanksPerBin + part);
      break;
    }
    left -= arrivals_[bin];
  }
  level_ = std::min(level_, kHighestLevel);
}

void admission_level::Lower() {
  if (level_ == 0) {
    return;
  }
  step_ = idle_ ? std::clamp(step_ * 2, kFirstStep, kLargestStep) : kFirstStep;
  level_ -= std::min(level_, step_);
}

}  // namespace pistachioweir
