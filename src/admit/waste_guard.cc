// The admitted share, by what ends well.
#include "include/admit/waste_guard.h"

#include <algorithm>

namespace pistachioweir {

void waste_guard::SetRank(std::uint32_t rank) {
  const auto place = std::min<std::size_t>(rank, kBorne.size() - 1);
  borne_ = kBorne[place];
  borne_pressure_ = kBornePressure[place];
}

bool waste_guard::Admit(bool ahead) {
  credit_ += share_;
  const double least = ahead ? 1 - kMostBorrowed : 1;
  if (credit_ < least) {
    return false;
  }
  credit_ = std::min(credit_ - 1, 1.0);
  return true;
}

void waste_guard::OnEnd(bool well, time_point now) {
  ++ended_;
  failed_ += well ? 0 : 1;
  if (now < period_end_ || ended_ < kFewest) {
    return;
  }
  EndPeriod();
  period_end_ = now + kPeriod;
}

void waste_guard::OnPressure(std::optional<double> told, time_point now) {
  const double pressure = told.value_or(0);
  pressure_ = pressure;
  if (told) {
    most_pressure_ = std::max(pressure, most_pressure_.value_or(0));
  }
  if (!makes_calls_ || now < pressure_period_end_) {
    return;
  }
  pressure_period_end_ = now + kPressurePeriod;
  const double above = (pressure - borne_pressure_) / borne_pressure_;
  if (above > 0) {
    share_ = std::max(kLeastShare,
                      share_ * (1 - kPressureDecrease * std::min(1.0, above)));
    increase_ = kIncrease;
  }
}

void waste_guard::EndPeriod() {
  const double failed = static_cast<double>(failed_) / ended_;
  const bool pressed = pressure_ > borne_pressure_;
  makes_calls_ = makes_calls_ ||
                 (failed > kShowsCalls && pressure_ > kBornePressure.back());
  const bool room_below = most_pressure_ && *most_pressure_ < kNoPressure;
  most_pressure_.reset();
  if (failed > borne_ && !room_below) {
    share_ = std::max(kLeastShare, share_ * (1 - kDecrease * failed));
    increase_ = kIncrease;
  } else if (!pressed || !makes_calls_) {
    share_ = std::min(1.0, share_ + increase_);
    increase_ = std::min(kMostIncrease, 2 * increase_);
  }
  ended_ = 0;
  failed_ = 0;
}

}  // namespace pistachioweir
