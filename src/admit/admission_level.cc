// The control loop of the admission level, evaluated once per window.
#include "include/admit/admission_level.h"

#include <algorithm>
#include <numeric>

namespace pistachioweir {

namespace {

// Minimum delay of a window above which there is a standing queue, and below
// which it has cleared. A tenth of a short deadline: a queue that short keeps
// slots busy despite the variation of arrivals, and a longer one only adds to
// every latency.
constexpr milliseconds kStandingDelay{20};
constexpr milliseconds kClearedDelay{10};
// If arrivals are below this fraction of completions, the queue drains by
// itself, and soon: refusing more would leave slots idle afterwards.
constexpr double kShrinkingRatio = 0.9;
// Minimum age of a standing queue before the first raise: it is better to queue
// a burst shorter than a deadline than to refuse it, since all of it can still
// be served.
constexpr milliseconds kStandingTime{100};
// A window ends once this many requests have finished in it or its maximum
// length is reached: fewer say nothing about capacity.
constexpr std::uint32_t kMinFinished = 16;
constexpr milliseconds kMaxWindow{100};
// Fraction of the arrivals that one evaluation may refuse: a single window is a
// small sample.
constexpr double kMaxCut = 0.2;
constexpr double kMinCut = 0.01;
// A decrease admits this fraction of the capacity more, by the density of
// demand just above the level; while slots are free, each decrease admits twice
// as much as the previous one. So steps are long when demand has gone and short
// while it is still many times the capacity.
constexpr double kFirstStep = 0.02;
constexpr double kMaxStep = 0.5;
constexpr admission_rank kMaxRanksPerStep = 64;
// The highest rank is never refused by level.
constexpr admission_rank kMaxLevel = kRankCount - 1;

}  // namespace

void admission_level::OnArrival(admission_rank rank, time_point now) {
  Advance(now);
  ++arrivals_[std::min(rank, kMaxLevel) / kRanksPerBin];
  ++arrived_;
}

void admission_level::OnStart(duration delay, time_point now) {
  Advance(now);
  ++started_;
  min_delay_ = std::min(min_delay_, delay);
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
  level_ = std::max(level_, std::min(level, kMaxLevel));
  step_ = 0;
}

void admission_level::Advance(time_point now) {
  if (now < window_end_ ||
      (finished_ < kMinFinished && now < window_end_ + kMaxWindow - kWindow)) {
    return;
  }
  const bool standing =
      load_refusals_ > 0 || (started_ > 0 && min_delay_ > kStandingDelay);
  if (!standing) {
    standing_since_ = time_point::max();
  } else if (standing_since_ == time_point::max()) {
    standing_since_ = now;
  }
  const bool shrinking = arrived_ < kShrinkingRatio * finished_;
  const bool cleared = started_ == 0 || min_delay_ < kClearedDelay;
  if (standing) {
    const bool persistent =
        level_ > 0 || now - standing_since_ >= kStandingTime;
    if (persistent && !shrinking) {
      Raise(arrived_ > finished_ ? arrived_ - finished_ : 0);
    }
  } else if (shrinking || cleared) {
    Lower();
  }
  arrivals_.fill(0);
  arrived_ = 0;
  started_ = 0;
  finished_ = 0;
  load_refusals_ = 0;
  idle_ = false;
  min_delay_ = duration::max();
  window_end_ = now + kWindow;
}

// Refuses about `excess` of the requests that arrived in this window.
void admission_level::Raise(std::uint32_t excess) {
  step_ = 0;
  if (arrived_ == 0) {
    return;
  }
  const admission_rank before = level_;
  const double share = static_cast<double>(excess) / arrived_;
  const double cut = std::clamp(share, kMinCut, kMaxCut);
  auto left = static_cast<std::uint32_t>(cut * arrived_) + 1;
  for (std::size_t bin = 0; bin < kBins; ++bin) {
    if (arrivals_[bin] >= left) {
      const auto part = kRanksPerBin * left / arrivals_[bin];
      level_ = std::max<admission_rank>(level_, bin * kRanksPerBin + part);
      break;
    }
    left -= arrivals_[bin];
  }
  level_ = std::max(before, std::min(level_, MaxUsefulLevel()));
}

// Critical requests are refused by level only if they alone exceed the
// completions. Otherwise a cut meant for the others would reach them, since the
// others are already refused by their callers' daemons and few of them arrive.
admission_rank admission_level::MaxUsefulLevel() const {
  const auto* const first =
      arrivals_.begin() + LowestRank(priority::kCritical) / kRanksPerBin;
  const auto critical = std::accumulate(first, arrivals_.end(), 0U);
  return critical > finished_ ? kMaxLevel : LowestRank(priority::kCritical);
}

void admission_level::Lower() {
  if (level_ == 0) {
    return;
  }
  step_ = idle_ ? std::clamp(step_ * 2, kFirstStep, kMaxStep) : kFirstStep;
  const double density = static_cast<double>(arrived_) / (kRankCount - level_);
  const double ranks =
      density > 0 ? step_ * finished_ / density : kMaxRanksPerStep;
  level_ -= std::min(level_, std::clamp(static_cast<admission_rank>(ranks), 1U,
                                        kMaxRanksPerStep));
}

}  // namespace pistachioweir
