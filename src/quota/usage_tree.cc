// Order and choice of the daemon to report to.
#include "include/quota/usage_tree.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace pistachioweir {
namespace {

std::pair<std::uint64_t, std::string_view> PlaceOf(std::string_view ip) {
  return {XXH3_64bits(ip.data(), ip.size()), ip};
}

}  // namespace

void usage_tree::SetDaemons(std::vector<std::string> ips) {
  const auto before = [](const std::string& a, const std::string& b) {
    return PlaceOf(a) < PlaceOf(b);
  };
  std::ranges::sort(ips, before);
  ips.erase(std::unique(ips.begin(), ips.end()), ips.end());
  daemons_ = std::max<std::size_t>(1, ips.size());
  ips.erase(std::ranges::lower_bound(ips, options_.self, before), ips.end());
  earlier_ = std::move(ips);
}

void usage_tree::OnAnswer(const std::string& ip, time_point now) {
  passed_over_.erase(ip);
  if (parent_ == ip) {
    heard_ = now;
  }
}

std::optional<std::string> usage_tree::Choose(time_point now) const {
  std::vector<const std::string*> usable;
  usable.reserve(earlier_.size());
  for (const std::string& ip : earlier_) {
    const auto passed = passed_over_.find(ip);
    if (passed == passed_over_.end() ||
        now - passed->second >= options_.passed_over) {
      usable.push_back(&ip);
    }
  }
  if (usable.empty()) {
    return std::nullopt;
  }
  return *usable[(usable.size() - 1) / options_.fan_out];
}

std::optional<std::string> usage_tree::Parent(time_point now) {
  const bool stood_still = now - asked_ > options_.silence;
  asked_ = now;
  if (stood_still) {
    heard_ = now;  // It has not listened meanwhile.
  }
  if (parent_ && now - heard_ > options_.silence) {
    passed_over_[*parent_] = now;
  }
  std::optional<std::string> chosen = Choose(now);
  if (chosen != parent_) {
    parent_ = std::move(chosen);
    heard_ = now;
  }
  return parent_;
}

}  // namespace pistachioweir
