// Ordering of daemons and choice of the parent.
#include "include/quota/usage_tree.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace pistachioweir {
namespace {

std::pair<std::uint64_t, std::string_view> SortKey(std::string_view ip) {
  return {XXH3_64bits(ip.data(), ip.size()), ip};
}

}  // namespace

void usage_tree::SetDaemons(std::vector<std::string> ips) {
  const auto before = [](const std::string& a, const std::string& b) {
    return SortKey(a) < SortKey(b);
  };
  std::ranges::sort(ips, before);
  ips.erase(std::unique(ips.begin(), ips.end()), ips.end());
  daemons_ = std::max<std::size_t>(1, ips.size());
  ips.erase(std::ranges::lower_bound(ips, options_.self, before), ips.end());
  predecessors_ = std::move(ips);
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
