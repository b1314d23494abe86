// downstream_failure_rate: failure rate of the calls that a target makes.
// fail.
#pragma once

#include <cmath>

#include "include/base/time.h"

namespace pistachioweir {

// For a downstream service that refuses half of its calls at every target. Each
// request that needs several of them fails. Running it again at another target
// helps in one case of ten or twenty, but repeats all its calls: repeats of
// requests multiply into repeats of calls, which are bounded, and none are left
// for the calls themselves, where every second repeat would help. So a failed
// request is not repeated while its target's calls fail often.
//
// Pure logic; the owner keeps one for the target beside it.
class downstream_failure_rate {
 public:
  // Above this rate requests are not repeated. With four calls each, about a
  // third of the requests then fail, and as many of their repeats would. Lost
  // answers and broken targets alone stay below it, and repeating their
  // requests elsewhere pays off.
  static constexpr double kMaxRate = 0.1;

  // A call that the target made has ended, including its own repeats.
  void Add(bool failed, time_point now) {
    rate_ = Rate(now);
    updated_at_ = now;
    rate_ += kWeight * ((failed ? 1.0 : 0.0) - rate_);
  }

  [[nodiscard]] bool IsTooHigh(time_point now) const {
    return Rate(now) > kMaxRate;
  }

 private:
  // Weight of the newest call; a busy target makes hundreds a second.
  static constexpr double kWeight = 1.0 / 24;
  // Without new samples the rate halves in this time.
  static constexpr double kHalfLifeSeconds = 1;

  [[nodiscard]] double Rate(time_point now) const {
    const double age = std::chrono::duration<double>(now - updated_at_).count();
    return rate_ * std::exp2(-age / kHalfLifeSeconds);
  }

  double rate_ = 0;  // From 0 to 1, as of `updated_at_`.
  time_point updated_at_;
};

}  // namespace pistachioweir
