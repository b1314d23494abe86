// decayed_rate: how often something happened lately, older events counting
// less.
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
  // Events this old count a third of new ones.
  static constexpr std::chrono::duration<double> kMemory{1.0};

  void Add(double count, time_point now) {
    count_ = std::max(0.0, CountAt(now) + count);
    at_ = now;
  }
  void Set(double per_second, time_point now) {
    count_ = per_second * kMemory.count();
    at_ = now;
  }
  // Events a second.
  [[nodiscard]] double Get(time_point now) const {
    return CountAt(now) / kMemory.count();
  }

 private:
  [[nodiscard]] double CountAt(time_point now) const {
    const std::chrono::duration<double> passed =
        std::max(duration(0), now - at_);
    return count_ * std::exp(-passed / kMemory);
  }

  double count_ = 0;
  time_point at_;
};

}  // namespace pistachioweir
