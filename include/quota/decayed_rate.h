// decayed_rate: event rate with exponential decay.
//
// Pure logic.
#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>

#include "include/base/time.h"

namespace pistachioweir {

class decayed_rate {
 public:
  // Time constant: events of this age are weighted by 1/e, about a third.
  static constexpr std::chrono::duration<double> kTimeConstant{1.0};

  void Add(double count, time_point now) {
    count_ = std::max(0.0, DecayedCount(now) + count);
    updated_at_ = now;
  }
  void Set(double per_second, time_point now) {
    count_ = per_second * kTimeConstant.count();
    updated_at_ = now;
  }
  // Events a second.
  [[nodiscard]] double Get(time_point now) const {
    return DecayedCount(now) / kTimeConstant.count();
  }

 private:
  [[nodiscard]] double DecayedCount(time_point now) const {
    const std::chrono::duration<double> elapsed =
        std::max(duration(0), now - updated_at_);
    return count_ * std::exp(-elapsed / kTimeConstant);
  }

  double count_ = 0;
  time_point updated_at_;
};

}  // namespace pistachioweir
