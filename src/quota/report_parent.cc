// The parent and the report under way.
#include "include/quota/report_parent.h"

#include <utility>

namespace pistachioweir {

std::optional<std::optional<std::string>> report_parent::Choose(
    time_point now) {
  std::optional<std::string> chosen = tree_.Parent(now);
  if (chosen == parent_) {
    return std::nullopt;
  }
  sent_at_.reset();
  answered_in_time_ = false;
  return std::exchange(parent_, std::move(chosen));
}

std::optional<std::uint64_t> report_parent::Begin(time_point now) {
  const bool under_way = sent_at_ && now - *sent_at_ < kResponseTimeout;
  if (!parent_ || under_way) {
    return std::nullopt;
  }
  if (sent_at_) {
    answered_in_time_ = false;
  }
  sent_at_ = now;
  return ++last_number_;
}

std::optional<time_point> report_parent::OnResponse(const std::string& ip,
                                                    std::uint64_t number,
                                                    time_point now) {
  if (ip != parent_ || number != last_number_) {
    return std::nullopt;
  }
  tree_.OnResponse(ip, now);
  if (sent_at_) {
    answered_in_time_ = now - *sent_at_ <= kResponseTimeout;
  }
  return std::exchange(sent_at_, std::nullopt);
}

// The report under way, if any, was sent over the connection before.
void report_parent::OnConnected(const std::string& ip) {
  if (ip == parent_) {
    sent_at_.reset();
    answered_in_time_ = false;
  }
}

}  // namespace pistachioweir
