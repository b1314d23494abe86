// The adaptive concurrency limit: decreased as long as latency falls with it.
#include "include/admit/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace pistachioweir {

namespace {

// Short enough to react within one or two deadlines, long enough for a mean.
constexpr milliseconds kWindow{50};
constexpr std::uint32_t kMinSamples = 16;
// Latency above this multiple of the baseline may be queueing inside the
// target; the normal variation of a window's mean stays below.
constexpr double kQueueingRatio = 1.5;
constexpr double kDecreaseFactor = 0.8;
// A justified decrease of the limit by a fifth lowers latency by a fifth; half
// of that counts as confirmation, a tenth of it as noise.
constexpr double kConfirmRatio = 0.93;
// The baseline follows the measured ratio slowly upwards, immediately
// downwards.
constexpr double kBaselineRiseWeight = 0.02;

}  // namespace

concurrency_limit::concurrency_limit(std::uint32_t slots)
    : limit_(std::max(1U, slots)), slots_(std::max(1U, slots)) {}

std::uint32_t concurrency_limit::value() const {
  return std::clamp(static_cast<std::uint32_t>(limit_), 1U, slots_);
}

void concurrency_limit::SetSlots(std::uint32_t slots) {
  const bool was_at_maximum = limit_ >= slots_;
  slots_ = std::max(1U, slots);
  limit_ = was_at_maximum ? slots_ : std::min<double>(limit_, slots_);
}

void concurrency_limit::OnTargetRefused(std::uint32_t running, time_point now) {
  limit_ = std::max(1.0, std::min(limit_, running - 1.0));
  ratio_before_decrease_ = 0;
  window_end_ = now + kWindow;
  sum_ = 0;
  samples_ = 0;
}

void concurrency_limit::Add(duration latency,
                            duration expected,
                            std::uint32_t running,
                            time_point now) {
  if (expected.count() <= 0) {
    return;
  }
  sum_ += static_cast<double>(latency.count()) /
          static_cast<double>(expected.count());
  ++samples_;
  max_running_ = std::max(max_running_, running);
  if (now >= window_end_ && samples_ >= kMinSamples) {
    EndWindow(now);
  }
}

void concurrency_limit::EndWindow(time_point now) {
  const double ratio = sum_ / samples_;
  const bool used = max_running_ + 1 >= value();
  sum_ = 0;
  samples_ = 0;
  max_running_ = 0;
  window_end_ = now + kWindow;
  if (baseline_ == 0 || ratio < baseline_) {
    baseline_ = ratio;
  } else {
    baseline_ += kBaselineRiseWeight * (ratio - baseline_);
  }
  if (ratio_before_decrease_ > 0 &&
      ratio > ratio_before_decrease_ * kConfirmRatio) {
    // Lower concurrency didn't reduce latency: the work itself has become
    // slower.
    limit_ = limit_before_decrease_;
    baseline_ = ratio;
    ratio_before_decrease_ = 0;
    return;
  }
  ratio_before_decrease_ = 0;
  if (used && ratio > baseline_ * kQueueingRatio) {
    ratio_before_decrease_ = ratio;
    limit_before_decrease_ = limit_;
    limit_ = std::max(1.0, limit_ * kDecreaseFactor);
  } else if (used) {
    limit_ = std::min<double>(slots_, limit_ + std::sqrt(limit_));
  }
}

}  // namespace pistachioweir
