// Order of the daemons and state of the sources.
#include "include/forward/view_following.h"

#include <algorithm>
#include <utility>

namespace pistachioweir {
namespace {

bool Contains(const std::vector<std::string>& ips, const std::string& ip) {
  return std::ranges::find(ips, ip) != ips.end();
}

}  // namespace

view_following::view_following(view_following_options options)
    : options_(std::move(options)) {}

void view_following::SetDaemons(const daemon_order& order) {
  local_.clear();
  remote_.clear();
  for (const ordered_daemon& each : order.daemons()) {
    if (each.ready == 0) {
      continue;
    }
    const bool local = each.location.data_centre == options_.self.data_centre;
    (local ? local_ : remote_).push_back(each.location.ip);
  }
}

void view_following::OnReport(const std::string& ip,
                              milliseconds age,
                              bool same,
                              time_point now) {
  if (age > options_.max_age) {
    return;
  }
  if (same) {
    // The age doesn't include the transit of the report itself. Unless it is
    // added, confirmations that two daemons exchange on every frame would not
    // age and would keep both views fresh.
    const milliseconds delay =
        age > milliseconds(0) ? kReportDelay : milliseconds(0);
    confirmed_ = std::max(confirmed_, now - age - delay);
  }
  const auto known = sources_.find(ip);
  if (known == sources_.end()) {
    return;
  }
  if (age == milliseconds(0) || !known->second.should_read) {
    known->second.last_report = now;
    known->second.excluded_since.reset();
  }
}

void view_following::OnChanges(milliseconds read_ago, time_point now) {
  confirmed_ = std::max(confirmed_, now - read_ago - kReportDelay);
}

void view_following::OnLost(const std::string& ip, time_point now) {
  const auto known = sources_.find(ip);
  if (known != sources_.end() && !known->second.excluded_since) {
    known->second.excluded_since = now;
  }
}

void view_following::OnReadResult(bool ok) {
  last_read_ok_ = ok;
  last_read_failed_ = !ok;
}

milliseconds view_following::Age(time_point now) const {
  if (last_read_ok_) {
    return milliseconds(0);
  }
  return std::max(milliseconds(1),
                  std::chrono::duration_cast<milliseconds>(now - confirmed_));
}

bool view_following::IsExcluded(const std::string& ip, time_point now) const {
  const auto known = sources_.find(ip);
  return known != sources_.end() && known->second.excluded_since &&
         now - *known->second.excluded_since < options_.exclusion;
}

// A source sends several reports within `source_timeout`. If this daemon itself
// was stalled, it could not receive them, and no source is excluded.
void view_following::ExpireSources(time_point now) {
  const bool was_stalled = now - last_plan_ > options_.source_timeout;
  last_plan_ = now;
  if (was_stalled && listening_since_) {
    listening_since_ = now;
  }
  for (auto& [ip, each] : sources_) {
    if (was_stalled) {
      each.since = now;
    }
    if (!each.excluded_since && now - std::max(each.since, each.last_report) >
                                    options_.source_timeout) {
      each.excluded_since = now;
    }
  }
  std::erase_if(sources_, [&](const auto& entry) {
    return entry.second.excluded_since && !IsExcluded(entry.first, now);
  });
}

std::vector<std::string> view_following::Serving(time_point now) const {
  std::vector<std::string> serving;
  for (const std::string& ip : local_) {
    // A daemon whose reads fail can't read for others.
    const bool serves =
        ip == options_.self.ip ? !last_read_failed_ : !IsExcluded(ip, now);
    if (serves) {
      serving.push_back(ip);
    }
  }
  return serving;
}

bool view_following::IsAmongFirst(const std::vector<std::string>& order) const {
  const auto position = std::ranges::find(order, options_.self.ip);
  return position != order.end() &&
         static_cast<std::size_t>(position - order.begin()) < options_.readers;
}

bool view_following::IsListed() const {
  return Contains(local_, options_.self.ip);
}

// Consecutive pairs of daemons serve consecutive groups of `fan_out`: the first
// pair, which reads the store, serves the first group after it, the second pair
// the second group, and so on.
//
// A daemon that isn't listed yet belongs to no group. While a whole fleet
// starts, nearly all daemons are such, and the few listed ones serve equal
// parts of them. All of them at the last pair would cost that one the square of
// the fleet: each start, told to each.
std::size_t view_following::ServingPair(
    const std::vector<std::string>& serving) const {
  const std::size_t pair = options_.readers;
  const auto position = std::ranges::find(serving, options_.self.ip);
  if (position == serving.end() && !IsListed()) {
    const std::size_t pairs = std::max<std::size_t>(1, serving.size() / pair);
    return pair * (daemon_order::HashOf(options_.self.ip) % pairs);
  }
  const auto own_index = static_cast<std::size_t>(position - serving.begin());
  return own_index < pair ? 0 : pair * ((own_index - pair) / options_.fan_out);
}

std::vector<std::string> view_following::Sources(
    const std::vector<std::string>& serving,
    time_point now) const {
  const std::size_t begin = ServingPair(serving);
  std::vector<std::string> sources;
  for (std::size_t i = begin;
       i < begin + options_.readers && i < serving.size(); ++i) {
    if (serving[i] != options_.self.ip) {
      sources.push_back(serving[i]);
    }
  }
  // The only daemon of its data centre, or the only one left, follows daemons
  // of other data centres; one of two readers follows the other.
  if (sources.empty()) {
    AddRemote(&sources, now);
  }
  return sources;
}

// The first ones, which are readers more often than others. If none of its own
// data centre is listed, all of its daemons are starting, and each chooses its
// own, as in ServingPair().
void view_following::AddRemote(std::vector<std::string>* sources,
                               time_point now) const {
  const std::size_t limit = sources->size() + options_.readers;
  const std::size_t size = remote_.size();
  const std::size_t first = local_.empty() && size > 0
                                ? daemon_order::HashOf(options_.self.ip) % size
                                : 0;
  for (std::size_t i = 0; i < size && sources->size() < limit; ++i) {
    const std::string& ip = remote_[(first + i) % size];
    if (!IsExcluded(ip, now)) {
      sources->push_back(ip);
    }
  }
}

// Excluded sources are kept until their exclusion ends: a report ends it early.
void view_following::SetSources(const std::vector<std::string>& sources,
                                const std::vector<std::string>& serving,
                                time_point now) {
  std::erase_if(sources_, [&](const auto& entry) {
    return !entry.second.excluded_since && !Contains(sources, entry.first);
  });
  const auto front =
      static_cast<std::ptrdiff_t>(std::min(serving.size(), options_.readers));
  for (const std::string& ip : sources) {
    source& chosen = sources_
                         .try_emplace(ip, source{.since = now,
                                                 .last_report = {},
                                                 .excluded_since = {}})
                         .first->second;
    const bool should_read = std::find(serving.begin(), serving.begin() + front,
                                       ip) != serving.begin() + front;
    if (should_read && !chosen.should_read) {
      chosen.since = now;  // From now on it has to read.
    }
    chosen.should_read = should_read;
  }
}

// Excluded sources are still followed, since a report ends the exclusion. Only
// the first in the order are, which other daemons choose first: during an
// outage of the store all sources are excluded one after the other.
void view_following::AddExcluded(std::vector<std::string>* sources) const {
  const std::size_t count = std::min(local_.size(), 2 * options_.readers);
  for (std::size_t i = 0; i < count; ++i) {
    const auto known = sources_.find(local_[i]);
    if (known != sources_.end() && known->second.excluded_since &&
        !Contains(*sources, local_[i])) {
      sources->push_back(local_[i]);
    }
  }
}

store_reading view_following::Reading(const std::vector<std::string>& serving,
                                      time_point now) const {
  if (IsAmongFirst(serving) && !last_read_failed_) {
    return store_reading::kEager;
  }
  const bool alone =
      !listening_since_ ||
      now - std::max(confirmed_, *listening_since_) > options_.max_age;
  if (!alone) {
    return last_read_failed_ ? store_reading::kPatient : store_reading::kNone;
  }
  const bool few = local_.size() + remote_.size() <= options_.readers;
  return few || IsAmongFirst(local_) ? store_reading::kEager
                                     : store_reading::kPatient;
}

following_plan view_following::Plan(time_point now) {
  ExpireSources(now);
  std::vector<std::string> serving = Serving(now);
  const bool none_serving = serving.empty();
  if (none_serving) {
    serving = local_;
  }
  following_plan plan;
  plan.sources = Sources(serving, now);
  // The store may reject the whole data centre and serve the others.
  if (none_serving && !local_.empty()) {
    AddRemote(&plan.sources, now);
  }
  SetSources(plan.sources, serving, now);
  if (!plan.sources.empty() && !listening_since_) {
    listening_since_ = now;
  }
  AddExcluded(&plan.sources);
  plan.reading = Reading(serving, now);
  if (plan.reading == store_reading::kNone) {
    last_read_ok_ = false;
  }
  return plan;
}

}  // namespace pistachioweir
