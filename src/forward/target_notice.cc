// Selection among the statements of a target's answers.
#include "include/forward/target_notice.h"

#include <algorithm>
#include <limits>

namespace pistachioweir {
namespace {

bool IsStartOf(std::string_view start, std::string_view target) {
  return start.size() > target.size() && start.starts_with(target) &&
         start[target.size()] == '@';
}

}  // namespace

void target_notices::Reset() {
  target_.clear();
  start_.clear();
  answered_ = false;
  rate_limit_.reset();
  lowest_ignored_.reset();
  leaving_since_.reset();
}

void target_notices::SetStart(const std::string& start) {
  listed_ = start;
  if (target_.empty()) {
    return;
  }
  const bool same =
      start_.empty() ? IsStartOf(start, target_) : start == start_;
  if (same) {
    start_ = start;
  } else {
    Reset();
  }
}

void target_notices::OnAnswer(const std::string& target,
                              const target_notice& notice,
                              time_point sent,
                              time_point now) {
  if (target != target_) {
    const bool is_older = !target_.empty() && answered_ && sent < answered_at_;
    if (is_older) {
      return;
    }
    Reset();
    target_ = target;
    start_ = IsStartOf(listed_, target) ? listed_ : std::string();
  }
  answered_ = true;
  answered_at_ = now;
  if (!notice.rate_limit_unreadable) {
    OnRateLimit(notice.rate_limit, sent, now);
  }
  if (notice.leaving && !leaving_since_) {
    leaving_since_ = now;
  }
}

void target_notices::OnRateLimit(std::optional<double> limit,
                                 time_point sent,
                                 time_point now) {
  constexpr double kUnlimited = std::numeric_limits<double>::infinity();
  const double value = limit.value_or(kUnlimited);
  const double known = rate_limit_.value_or(kUnlimited);
  const bool is_newer = sent >= heard_at_;
  if (value > known && !is_newer) {
    lowest_ignored_ = std::min(value, lowest_ignored_.value_or(kUnlimited));
    ignored_at_ = now;
    return;
  }
  // An ignored answer that was read after this one's request was sent may be
  // newer than this one.
  const bool may_be_older = lowest_ignored_ && ignored_at_ > sent;
  const double accepted =
      may_be_older ? std::min(value, *lowest_ignored_) : value;
  rate_limit_ = accepted == kUnlimited ? std::nullopt : std::optional(accepted);
  heard_at_ = now;
  lowest_ignored_.reset();
}

bool target_notices::Import(const known_notice& notice, time_point now) {
  const std::size_t end = notice.start.rfind('@');
  const bool is_listed = listed_.empty() || listed_ == notice.start;
  const time_point learnt_at = now - notice.age;
  const bool is_older = !target_.empty() && learnt_at <= answered_at_;
  if (!notice.says_anything() || end == std::string::npos || answered_ ||
      !is_listed || is_older) {
    return false;
  }
  Reset();
  target_ = notice.start.substr(0, end);
  start_ = notice.start;
  rate_limit_ = notice.rate_limit;
  heard_at_ = now;
  answered_at_ = learnt_at;
  if (notice.leaving) {
    leaving_since_ = learnt_at;
  }
  return true;
}

known_notice target_notices::Known(time_point now) const {
  if (target_.empty()) {
    return {};
  }
  return {.start = start_.empty() ? target_ + "@0" : start_,
          .rate_limit = rate_limit_,
          .leaving = leaving_since_.has_value(),
          .age = ToMilliseconds(now - answered_at_)};
}

}  // namespace pistachioweir
