// Adjustment of the admitted share by results and pressure.
#include "include/admit/adaptive_throttle.h"

#include <algorithm>

namespace pistachioweir {

void adaptive_throttle::SetRank(std::uint32_t rank) {
  const auto index = std::min<std::size_t>(rank, kFailureThresholds.size() - 1);
  failure_threshold_ = kFailureThresholds[index];
  pressure_threshold_ = kPressureThresholds[index];
}

bool adaptive_throttle::Admit(bool has_precedence) {
  if (!MayAdmit(has_precedence)) {
    return false;
  }
  Spend();
  return true;
}

bool adaptive_throttle::MayAdmit(bool has_precedence) {
  // The bound matters only if requests that may be admitted are not.
  credit_ = std::min(credit_ + share_, kMaxCredit);
  return credit_ >= (has_precedence ? 1 - kMaxBorrowed : 1);
}

void adaptive_throttle::Spend() {
  credit_ = std::min(credit_ - 1, 1.0);
}

void adaptive_throttle::OnResult(bool succeeded, time_point now) {
  ++ended_;
  failed_ += succeeded ? 0 : 1;
  if (now < period_end_ || ended_ < kMinRuns) {
    return;
  }
  EndPeriod();
  period_end_ = now + kPeriod;
}

void adaptive_throttle::OnPressure(std::optional<double> reported,
                                   time_point now) {
  const double pressure = reported.value_or(0);
  pressure_ = pressure;
  if (reported) {
    max_pressure_ = std::max(pressure, max_pressure_.value_or(0));
  }
  if (!makes_calls_ || now < pressure_period_end_) {
    return;
  }
  pressure_period_end_ = now + kPressurePeriod;
  const double above = (pressure - pressure_threshold_) / pressure_threshold_;
  if (above > 0) {
    share_ = std::max(kMinShare,
                      share_ * (1 - kPressureDecrease * std::min(1.0, above)));
    increase_ = kIncrease;
  }
}

void adaptive_throttle::EndPeriod() {
  const double failed = static_cast<double>(failed_) / ended_;
  const bool under_pressure = pressure_ > pressure_threshold_;
  makes_calls_ = makes_calls_ || (failed > kCallDetectionThreshold &&
                                  pressure_ > kPressureThresholds.back());
  const bool low_pressure = max_pressure_ && *max_pressure_ < kLowPressure;
  max_pressure_.reset();
  if (failed > failure_threshold_ && !low_pressure) {
    share_ = std::max(kMinShare, share_ * (1 - kDecrease * failed));
    increase_ = kIncrease;
  } else if (!under_pressure || !makes_calls_) {
    share_ = std::min(1.0, share_ + increase_);
    increase_ = std::min(kMaxIncrease, 2 * increase_);
  }
  ended_ = 0;
  failed_ = 0;
}

}  // namespace pistachioweir
