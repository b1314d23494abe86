// Service time estimates: exponentially weighted mean and deviation.
#include "include/admit/service_time.h"

#include <algorithm>
#include <cmath>

namespace pistachioweir {

namespace {

// A change of the service time is known after some 16 requests, which a busy
// target ends in a fraction of a short deadline.
constexpr double kWeight = 1.0 / 16;
// Without a sample for this long the estimate is doubted.
constexpr milliseconds kHalving{100};
constexpr int kMostHalvings = 40;

}  // namespace

void service_time::Add(duration sample, time_point now) {
  const double value = static_cast<double>(sample.count());
  if (!measured_) {
    mean_ = value;
    deviation_ = value / 4;
    measured_ = true;
  } else {
    deviation_ += kWeight * (std::abs(value - mean_) - deviation_);
    mean_ += kWeight * (value - mean_);
  }
  last_ = now;
}

int service_time::Halvings(time_point now) const {
  if (now <= last_) {
    return 0;
  }
  const auto halvings = (now - last_) / kHalving;
  return static_cast<int>(std::min<std::int64_t>(halvings, kMostHalvings));
}

duration service_time::Mean(time_point now) const {
  if (!measured_) {
    return duration(0);
  }
  return duration(
      static_cast<duration::rep>(std::ldexp(mean_, -Halvings(now))));
}

duration service_time::Likely(time_point now) const {
  if (!measured_) {
    return duration(0);
  }
  const double likely = mean_ + deviation_;
  return duration(
      static_cast<duration::rep>(std::ldexp(likely, -Halvings(now))));
}

}  // namespace pistachioweir
