// Service time estimates: exponentially weighted mean and deviation.
#include "include/admit/service_time.h"

#include <algorithm>
#include <cmath>

namespace pistachioweir {

namespace {

// A change of the service time is reflected after some 16 requests, which a
// busy target completes in a fraction of a short deadline.
constexpr double kWeight = 1.0 / 16;
// The estimate is halved for each such period without a sample.
constexpr milliseconds kHalvingPeriod{100};
constexpr int kMaxHalvings = 40;
// The mean deviation of an exponential distribution is 2/e of its mean.
constexpr double kTailDeviations = 8;

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
  last_sample_ = now;
}

duration service_time::LastMean() const {
  return duration(static_cast<duration::rep>(mean_));
}

int service_time::Halvings(time_point now) const {
  if (now <= last_sample_) {
    return 0;
  }
  const auto halvings = (now - last_sample_) / kHalvingPeriod;
  return static_cast<int>(std::min<std::int64_t>(halvings, kMaxHalvings));
}

duration service_time::Mean(time_point now) const {
  if (!measured_) {
    return duration(0);
  }
  return duration(
      static_cast<duration::rep>(std::ldexp(mean_, -Halvings(now))));
}

duration service_time::TailEstimate() const {
  return duration(
      static_cast<duration::rep>(mean_ + kTailDeviations * deviation_));
}

duration service_time::UpperEstimate(time_point now) const {
  if (!measured_) {
    return duration(0);
  }
  const double upper = mean_ + deviation_;
  return duration(
      static_cast<duration::rep>(std::ldexp(upper, -Halvings(now))));
}

}  // namespace pistachioweir
