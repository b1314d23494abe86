// Running averages of times and failures.
#include "include/route/target_estimates.h"

#include <algorithm>
#include <cmath>

namespace pistachioweir {
namespace {

// Part of an average that the newest sample is. Work times spread by half of
// their mean and more, so a target's factor needs some twenty of them.
constexpr double kSpeedWeight = 1.0 / 20;
constexpr double kKindWeight = 1.0 / 50;
// Failures must show within a few: a target that loses two of five answers has
// cost dozens of requests after a second.
constexpr double kFailedWeight = 1.0 / 12;
// Without news, half of what is known of failures is forgotten in this time.
constexpr double kFadeSeconds = 2;
// A factor beyond these is a stray sample, no target.
constexpr double kSlowest = 20;
constexpr double kFastest = 0.05;
// Where nothing is known; only compared with itself.
constexpr double kGuess = 50e6;

void Blend(double* average, double sample, double weight) {
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
  state.failed = FailedPart(target, now);
  state.heard = now;
  Blend(&state.failed, how == sample::kFailed ? 1 : 0, kFailedWeight);
  if (how == sample::kFailed) {
    return;  // Its time says nothing of the work.
  }
  const double time = std::max<double>(1, static_cast<double>(served.count()));
  double& known = kinds_[kind].time;
  if (known == 0) {
    known = time / state.speed;
  }
  const double factor = std::clamp(time / known, kFastest, kSlowest);
  Blend(&state.speed, factor, kSpeedWeight);
  Blend(&known, time / state.speed, kKindWeight);
  if (state.usual == 0) {
    state.usual = time;
  }
  Blend(&state.usual, time, kSpeedWeight);
}

duration target_estimates::RunTime(std::uint32_t target,
                                   std::uint32_t kind) const {
  const double speed = target < targets_.size() ? targets_[target].speed : 1;
  const double known = kind < kinds_.size() ? kinds_[kind].time : 0;
  return duration(
      static_cast<duration::rep>((known == 0 ? kGuess : known) * speed));
}

duration target_estimates::UsualRunTime(std::uint32_t target) const {
  const double usual = target < targets_.size() ? targets_[target].usual : 0;
  return duration(static_cast<duration::rep>(usual == 0 ? kGuess : usual));
}

double target_estimates::FailedPart(std::uint32_t target,
                                    time_point now) const {
  if (target >= targets_.size()) {
    return 0;
  }
  const target_state& state = targets_[target];
  const double age = std::chrono::duration<double>(now - state.heard).count();
  return state.failed * std::exp2(-std::max(0.0, age) / kFadeSeconds);
}

}  // namespace pistachioweir
