// Running averages of run times and failures.
#include "include/route/target_estimates.h"

#include <algorithm>
#include <cmath>

namespace pistachioweir {
namespace {

// Weight of the newest sample in an average. Run times vary by half of their
// mean and more, so a target's factor needs some twenty samples.
constexpr double kTargetWeight = 1.0 / 20;
constexpr double kKindWeight = 1.0 / 50;
// Failures must show within a few samples: a target that loses two of five
// answers has cost dozens of requests after a second.
constexpr double kFailureWeight = 1.0 / 12;
// Without new samples the failure rate halves in this time.
constexpr double kHalfLifeSeconds = 2;
// Factors outside these bounds are outliers.
constexpr double kMaxFactor = 20;
constexpr double kMinFactor = 0.05;
// Run time in nanoseconds where nothing is known; only compared with itself.
constexpr double kDefaultRunTime = 50e6;

void UpdateAverage(double* average, double sample, double weight) {
  *average += weight * (sample - *average);
}

}  // namespace

void target_estimates::Reset(std::uint32_t target) {
  if (target >= targets_.size()) {
    targets_.resize(target + 1);
  }
  targets_[target] = {};
}

void target_estimates::Add(std::uint32_t target,
                           std::uint32_t kind,
                           sample how,
                           duration served,
                           time_point now) {
  if (target >= targets_.size() || kind >= kinds_.size()) {
    return;
  }
  target_state& state = targets_[target];
  state.failure_rate = FailureRate(target, now);
  state.updated_at = now;
  UpdateAverage(&state.failure_rate, how == sample::kFailed ? 1 : 0,
                kFailureWeight);
  if (how == sample::kFailed) {
    return;  // Its time says nothing about the run time.
  }
  const double time = std::max<double>(1, static_cast<double>(served.count()));
  double& known = kinds_[kind].time;
  if (known == 0) {
    known = time / state.time_factor;
  }
  const double factor = std::clamp(time / known, kMinFactor, kMaxFactor);
  UpdateAverage(&state.time_factor, factor, kTargetWeight);
  UpdateAverage(&known, time / state.time_factor, kKindWeight);
  if (state.mean_time == 0) {
    state.mean_time = time;
  }
  UpdateAverage(&state.mean_time, time, kTargetWeight);
}

duration target_estimates::RunTime(std::uint32_t target,
                                   std::uint32_t kind) const {
  const double time_factor =
      target < targets_.size() ? targets_[target].time_factor : 1;
  const double known = kind < kinds_.size() ? kinds_[kind].time : 0;
  return duration(static_cast<duration::rep>(
      (known == 0 ? kDefaultRunTime : known) * time_factor));
}

duration target_estimates::MeanRunTime(std::uint32_t target) const {
  const double mean_time =
      target < targets_.size() ? targets_[target].mean_time : 0;
  return duration(
      static_cast<duration::rep>(mean_time == 0 ? kDefaultRunTime : mean_time));
}

double target_estimates::FailureRate(std::uint32_t target,
                                     time_point now) const {
  if (target >= targets_.size()) {
    return 0;
  }
  const target_state& state = targets_[target];
  const double age =
      std::chrono::duration<double>(now - state.updated_at).count();
  return state.failure_rate * std::exp2(-std::max(0.0, age) / kHalfLifeSeconds);
}

}  // namespace pistachioweir
