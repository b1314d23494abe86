// Ordering of daemons and choice of the parent.
#include "include/quota/usage_tree.h"

#include <algorithm>
#include <map>
#include <string_view>
#include <utility>

namespace pistachioweir {
namespace {

// Fleets of up to this many fan-outs are one heap: divided, they would have a
// level of reports more.
constexpr std::size_t kUndividedFanOuts = 2;
// Daemons that the first one of a data centre may report to. Some of those that
// precede it may be gone.
constexpr std::size_t kMaxFirst = 16;

}  // namespace

// Data centres with more levels than tokens survive are not divided
// (ranked_repeat_budget::kTreeLevels).
bool usage_tree::IsDivided(const daemon_order& order) const {
  if (order.daemons().size() <= kUndividedFanOuts * options_.fan_out) {
    return false;
  }
  std::map<std::string_view, std::size_t> sizes;
  for (const ordered_daemon& each : order.daemons()) {
    ++sizes[each.location.data_centre];
  }
  const std::size_t max_size = options_.fan_out * (options_.fan_out + 1);
  return std::ranges::all_of(
      sizes, [&](const auto& size) { return size.second <= max_size; });
}

void usage_tree::SetDaemons(const daemon_order& order) {
  const std::vector<ordered_daemon>& daemons = order.daemons();
  daemons_ = std::max<std::size_t>(1, daemons.size());
  predecessors_.clear();
  first_.clear();
  const bool divided = IsDivided(order);
  const auto end = order.PositionOf(options_.self);
  for (auto it = daemons.begin(); it != end; ++it) {
    if (!divided || it->location.data_centre == options_.data_centre) {
      predecessors_.push_back(it->location.ip);
    }
    if (divided && first_.size() < kMaxFirst) {
      first_.push_back(it->location.ip);
    }
  }
}

void usage_tree::OnResponse(const std::string& ip, time_point now) {
  unresponsive_.erase(ip);
  if (parent_ == ip) {
    last_response_at_ = now;
  }
}

std::optional<std::string> usage_tree::ParentInHeap(
    const std::vector<std::string>& predecessors) const {
  std::vector<const std::string*> usable;
  usable.reserve(predecessors.size());
  for (const std::string& ip : predecessors) {
    if (!unresponsive_.contains(ip)) {
      usable.push_back(&ip);
    }
  }
  if (usable.empty()) {
    return std::nullopt;
  }
  return *usable[(usable.size() - 1) / options_.fan_out];
}

std::optional<std::string> usage_tree::Choose() const {
  auto parent = ParentInHeap(predecessors_);
  return parent ? parent : ParentInHeap(first_);
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
