// Ordering of daemons and choice of the parent.
#include "include/quota/usage_tree.h"

#include <algorithm>
#include <utility>

namespace pistachioweir {
void usage_tree::SetDaemons(const daemon_order& order) {
  const std::vector<ordered_daemon>& daemons = order.daemons();
  daemons_ = std::max<std::size_t>(1, daemons.size());
  predecessors_.clear();
  for (auto it = daemons.begin(); it != order.PositionOf(options_.self); ++it) {
    predecessors_.push_back(it->location.ip);
  }
}

void usage_tree::OnResponse(const std::string& ip, time_point now) {
  unresponsive_.erase(ip);
  if (parent_ == ip) {
    last_response_at_ = now;
  }
}

std::optional<std::string> usage_tree::Choose() const {
  std::vector<const std::string*> usable;
  usable.reserve(predecessors_.size());
  for (const std::string& ip : predecessors_) {
    if (!unresponsive_.contains(ip)) {
      usable.push_back(&ip);
    }
  }
  if (usable.empty()) {
    return std::nullopt;
  }
  return *usable[(usable.size() - 1) / options_.fan_out];
}

std::optional<std::string> usage_tree::Parent(time_point now) {
  const bool was_suspended = now - last_call_at_ > options_.parent_timeout;
  last_call_at_ = now;
  std::erase_if(unresponsive_, [&](const auto& each) {
    return now - each.second >= options_.parent_backoff;
  });
  if (was_suspended) {
    last_response_at_ = now;  // This process received nothing while suspended.
  }
  if (parent_ && now - last_response_at_ > options_.parent_timeout) {
    unresponsive_[*parent_] = now;
  }
  std::optional<std::string> chosen = Choose();
  if (chosen != parent_) {
    parent_ = std::move(chosen);
    last_response_at_ = now;
  }
  return parent_;
}

}  // namespace pistachioweir
