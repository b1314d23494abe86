// Requests and failures of one service.
#include "include/retry/repeat_forecast.h"

#include <algorithm>
#include <cmath>

namespace pistachioweir {
namespace {

constexpr milliseconds kRecent{1000};
constexpr milliseconds kLatest{300};
// If nearly all sends fail, repeats serve nobody.
constexpr double kMaxFailureRate = 0.9;

}  // namespace

repeat_forecast::repeat_forecast(duration window)
    : requests_(window, slot_expiry::kOldest),
      recent_(kRecent, slot_expiry::kOldest),
      latest_(kLatest, slot_expiry::kOldest) {}

void repeat_forecast::OnRequest(priority level, time_point now) {
  requests_.Add(static_cast<std::size_t>(level), 1, now);
  Add(kSends, now);
}

void repeat_forecast::OnFailure(time_point now) {
  Add(kFailures, now);
}

void repeat_forecast::OnRepeat(time_point now) {
  Add(kSends, now);
}

void repeat_forecast::Add(kind what, time_point now) {
  recent_.Add(what, 1, now);
  latest_.Add(what, 1, now);
}

void repeat_forecast::Expire(time_point now) {
  requests_.Expire(now);
  recent_.Expire(now);
  latest_.Expire(now);
}

// A few failures don't show a rate: less the standard deviation of a count.
double repeat_forecast::FailureRate(const slot_counts<kKinds>& sends) {
  const auto all = static_cast<double>(sends.sum(kSends));
  const auto failures = static_cast<double>(sends.sum(kFailures));
  return all == 0 ? 0 : (failures - std::sqrt(failures)) / all;
}

double repeat_forecast::NeedOf(std::size_t rank) const {
  const double rate =
      std::clamp(std::max(FailureRate(recent_), FailureRate(latest_)), 0.0,
                 kMaxFailureRate);
  return static_cast<double>(requests_.sum(rank)) * rate / (1 - rate);
}

}  // namespace pistachioweir
