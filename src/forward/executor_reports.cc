// Reports of the executor to other daemons: its load, its view, the target that
// it vouches for, and what that target says about itself.
#include <algorithm>
#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "include/base/call_log.h"
#include "include/base/log.h"
#include "src/forward/executor.h"

namespace pistachioweir {
namespace {

// Pressure reports older than this are ignored; under pressure many calls and
// answers are exchanged within this time.
constexpr milliseconds kPressureValidity{1000};

std::string LimitText(std::optional<double> per_second) {
  return per_second ? std::to_string(*per_second) : "none";
}

}  // namespace

load_report executor::Load() const {
  const time_point now = monotonic_clock::now();
  load_report load = admission_.Report(0, now);
  if (draining_ || !slots_known_ || IsTargetDown(now)) {
    load.admission_level = kRankCount;
  }
  constexpr double kThousandths = 1000;
  constexpr double kMaxPressure = 100;
  const double pressure =
      std::max(OwnPressure(now), DownstreamPressure(now).value_or(0));
  load.pressure = static_cast<std::uint32_t>(kThousandths *
                                             std::min(kMaxPressure, pressure));
  return load;
}

neighbour_report executor::Report() const {
  if (!view_state_) {
    return {};
  }
  const view_state view = view_state_();
  const time_point now = monotonic_clock::now();
  std::string vouched = vouching_.VouchedStart(view, now);
  const milliseconds ago = vouched.empty()
                               ? milliseconds(0)
                               : ToMilliseconds(now - vouching_.answered());
  return {.revision = view.revision,
          .age = view_age_(),
          .vouched = std::move(vouched),
          .vouched_ago = ago,
          .store_answered_ago = store_answered_ago_()};
}

// Maximum ratio of the estimated wait of calls made by targets to half of their
// objective.
double executor::OwnPressure(time_point now) const {
  constexpr double kHalf = 0.5;
  double max_pressure = 0;
  for (std::uint32_t i = 0; i < kinds_.size(); ++i) {
    const kind_state& kind = by_kind_[i];
    if (now - kind.last_call > kPressureValidity ||
        kind.objective <= milliseconds(0) || !kind.callers.IsMadeByTargets()) {
      continue;
    }
    const std::chrono::duration<double> wait =
        admission_.EstimatedWait(kind.level, now);
    const std::chrono::duration<double> objective = kind.objective;
    max_pressure = std::max(max_pressure, wait / (kHalf * objective));
  }
  return max_pressure;
}

void executor::UpdateDownstreamPressure(const std::string& service,
                                        double pressure,
                                        time_point now) {
  downstream_[service] = {.pressure = pressure, .received_at = now};
}

std::optional<double> executor::DownstreamPressure(time_point now) const {
  std::optional<double> max_pressure;
  for (const auto& [service, state] : downstream_) {
    if (now - state.received_at <= kPressureValidity) {
      max_pressure = std::max(max_pressure.value_or(0), state.pressure);
    }
  }
  return max_pressure;
}

void executor::LogVouching(const view_state& view, time_point now) {
  std::string vouched = vouching_.VouchedStart(view, now);
  if (vouched == logged_vouched_) {
    return;
  }
  LogEvent(
      vouched.empty() ? "target_not_vouched" : "target_vouched",
      {{.name = "start", .value = vouched.empty() ? logged_vouched_ : vouched},
       {.name = "answered_ms",
        .value =
            std::to_string(ToMilliseconds(now - vouching_.answered()).count())},
       {.name = "store_lost", .value = view.lost_since ? "yes" : "no"},
       {.name = "revision", .value = std::to_string(view.revision)}});
  logged_vouched_ = std::move(vouched);
}

void executor::LogOverload() {
  const capacity_shares& shares = entrance_->local();
  if (shares.overloaded() == overload_logged_) {
    return;
  }
  overload_logged_ = shares.overloaded();
  LogEvent(overload_logged_ ? "target_overloaded" : "target_not_overloaded",
           {{.name = "demand", .value = std::to_string(shares.demand())},
            {.name = "slots", .value = std::to_string(admission_.limit())}});
}

void executor::ChangeNotices(const std::function<void()>& update,
                             std::string_view source) {
  const time_point now = monotonic_clock::now();
  const std::optional<double> limit_before = notices_.rate_limit();
  const bool left_before = notices_.leaving_since().has_value();
  const std::string target_before = notices_.target();
  update();
  const std::optional<double> limit = notices_.rate_limit();
  const bool leaving = notices_.leaving_since().has_value();
  const bool says_anything = limit || leaving;
  const bool is_other_target =
      says_anything && notices_.target() != target_before;
  if (limit == limit_before && leaving == left_before && !is_other_target) {
    return;
  }
  if (limit != limit_before) {
    LogEvent(
        "target_rate_limit",
        {{.name = "target", .value = notices_.target()},
         {.name = "limit", .value = LimitText(limit)},
         {.name = "before", .value = LimitText(limit_before)},
         {.name = "starts_per_s", .value = std::to_string(recent_starts(now))},
         {.name = "source", .value = std::string(source)}});
    admission_.SetRateLimit(limit, now);
  }
  if (leaving != left_before) {
    LogEvent("target_leaving",
             {{.name = "target", .value = notices_.target()},
              {.name = "leaving", .value = leaving ? "yes" : "no"},
              {.name = "source", .value = std::string(source)}});
  }
  // A limit that moves a little with each answer isn't published each time.
  const bool is_urgent = limit.has_value() != limit_before.has_value() ||
                         leaving != left_before || is_other_target;
  notice_pending_ = true;
  if (is_urgent) {
    PublishNotice();
  }
}

void executor::PublishNotice() {
  if (std::exchange(notice_pending_, false) && on_notice_) {
    on_notice_(Notice());
  }
}

void executor::LogRateLimited(std::uint64_t id,
                              const served_call& served,
                              time_point now) {
  log_.Add(
      id, served.call.request_id, "rate_limited",
      {{.name = "target", .value = notices_.target()},
       {.name = "limit", .value = LimitText(notices_.rate_limit())},
       {.name = "starts_per_s", .value = std::to_string(recent_starts(now))},
       {.name = "heard_ms",
        .value =
            std::to_string(ToMilliseconds(now - notices_.heard_at()).count())},
       {.name = "wait_ms",
        .value = std::to_string(
            ToMilliseconds(admission_.rate().Wait(admission_.queued(), now))
                .count())}});
}

bool executor::HasTargetLeft(const std::string& target, time_point now) const {
  const auto said = notices_.leaving_since();
  if (said && target == notices_.target() &&
      now - *said > target_vouching::kLeavingGrace) {
    return true;
  }
  return !vouching_.IsListed() && view_state_ &&
         !vouching_.MayServe(view_state_(), now);
}

}  // namespace pistachioweir
