// Merging of changes into the order.
#include "include/route/daemon_order.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <string_view>
#include <utility>

namespace pistachioweir {
namespace {

using sort_key = std::pair<std::uint64_t, std::string_view>;

sort_key KeyOf(const ordered_daemon& of) {
  return {of.hash, of.location.ip};
}

sort_key KeyOfIp(const std::string& ip) {
  return {daemon_order::HashOf(ip), ip};
}

}  // namespace

std::uint64_t daemon_order::HashOf(const std::string& ip) {
  return XXH3_64bits(ip.data(), ip.size());
}

daemon_order::daemon_order(const std::vector<daemon_location>& daemons) {
  std::vector<daemon_target> added;
  added.reserve(daemons.size());
  for (const daemon_location& each : daemons) {
    added.push_back({.location = each});
  }
  Update({}, added);
}

std::vector<ordered_daemon>::const_iterator daemon_order::PositionOf(
    const std::string& ip) const {
  return std::ranges::lower_bound(daemons_, KeyOfIp(ip), {}, KeyOf);
}

bool daemon_order::Contains(const std::string& ip) const {
  const auto position = PositionOf(ip);
  return position != daemons_.end() && position->location.ip == ip;
}

double daemon_order::FractionBefore(const daemon_location& daemon) const {
  const auto is_local = [&](const ordered_daemon& each) {
    return each.location.data_centre == daemon.data_centre;
  };
  const auto before =
      std::count_if(daemons_.begin(), PositionOf(daemon.ip), is_local);
  const auto listed = std::ranges::count_if(daemons_, is_local);
  const auto all = Contains(daemon.ip) && listed > 0 ? listed : listed + 1;
  return static_cast<double>(before) / static_cast<double>(all);
}

daemon_order daemon_order::InOneDataCentre(
    const std::vector<std::string>& ips) {
  std::vector<daemon_location> daemons;
  daemons.reserve(ips.size());
  for (const std::string& ip : ips) {
    daemons.push_back({.ip = ip, .data_centre = {}});
  }
  return daemon_order(daemons);
}

void daemon_order::Update(const std::vector<daemon_target>& removed,
                          const std::vector<daemon_target>& added) {
  if (removed.empty() && added.empty()) {
    return;
  }
  for (const daemon_target& each : removed) {
    const sort_key key = KeyOfIp(each.location.ip);
    const auto found = std::ranges::lower_bound(daemons_, key, {}, KeyOf);
    if (found != daemons_.end() && KeyOf(*found) == key) {
      --found->targets;
      found->ready -= each.is_ready ? 1 : 0;
    }
  }
  std::vector<ordered_daemon> fresh;
  fresh.reserve(added.size());
  for (const daemon_target& each : added) {
    fresh.push_back({.hash = HashOf(each.location.ip),
                     .location = each.location,
                     .targets = 1,
                     .ready = each.is_ready ? 1U : 0U});
  }
  std::ranges::sort(fresh, {}, KeyOf);
  std::vector<ordered_daemon> merged;
  merged.reserve(daemons_.size() + fresh.size());
  std::merge(std::make_move_iterator(daemons_.begin()),
             std::make_move_iterator(daemons_.end()),
             std::make_move_iterator(fresh.begin()),
             std::make_move_iterator(fresh.end()), std::back_inserter(merged),
             [](const ordered_daemon& a, const ordered_daemon& b) {
               return KeyOf(a) < KeyOf(b);
             });
  daemons_.clear();
  for (ordered_daemon& each : merged) {
    if (!daemons_.empty() && KeyOf(daemons_.back()) == KeyOf(each)) {
      daemons_.back().targets += each.targets;
      daemons_.back().ready += each.ready;
      daemons_.back().location.data_centre =
          std::move(each.location.data_centre);
    } else {
      daemons_.push_back(std::move(each));
    }
  }
  std::erase_if(daemons_,
                [](const ordered_daemon& each) { return each.targets == 0; });
}

}  // namespace pistachioweir
