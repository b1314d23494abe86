// Order of the daemons, and the state of those that are followed.
#include "include/forward/view_following.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace pistachioweir {
namespace {

// By a hash of the address: the same at all daemons, and unlike the order of
// the addresses themselves, which are given out service by service.
void SortByPlace(std::vector<std::string>* ips) {
  std::vector<std::pair<std::uint64_t, std::string>> places;
  places.reserve(ips->size());
  for (std::string& ip : *ips) {
    const std::uint64_t place = XXH3_64bits(ip.data(), ip.size());
    places.emplace_back(place, std::move(ip));
  }
  std::ranges::sort(places);
  ips->clear();
  for (auto& [place, ip] : places) {
    if (ips->empty() || ips->back() != ip) {
      ips->push_back(std::move(ip));
    }
  }
}

bool Contains(const std::vector<std::string>& ips, const std::string& ip) {
  return std::ranges::find(ips, ip) != ips.end();
}

}  // namespace

view_following::view_following(view_following_options options)
    : options_(std::move(options)) {}

void view_following::SetDaemons(const std::vector<daemon_place>& daemons) {
  near_.clear();
  far_.clear();
  for (const daemon_place& each : daemons) {
    const bool near = each.data_centre == options_.self.data_centre;
    (near ? near_ : far_).push_back(each.ip);
  }
  SortByPlace(&near_);
  SortByPlace(&far_);
}

void view_following::OnReport(const std::string& ip,
                              milliseconds age,
                              bool same,
                              time_point now) {
  if (age > options_.alone) {
    return;
  }
  if (same) {
    // The age says nothing of the report's own way. What two daemons tell each
    // other on every frame would get no older, and keep both fresh.
    const milliseconds way =
        age > milliseconds(0) ? kReportWay : milliseconds(0);
    confirmed_ = std::max(confirmed_, now - age - way);
  }
  const auto known = sources_.find(ip);
  if (known == sources_.end()) {
    return;
  }
  if (age == milliseconds(0) || !known->second.should_read) {
    known->second.reported = now;
    known->second.lost.reset();
  }
}

void view_following::OnLost(const std::string& ip, time_point now) {
  const auto known = sources_.find(ip);
  if (known != sources_.end() && !known->second.lost) {
    known->second.lost = now;
  }
}

void view_following::OnReading(bool well) {
  reads_well_ = well;
  reads_badly_ = !well;
}

milliseconds view_following::Age(time_point now) const {
  if (reads_well_) {
    return milliseconds(0);
  }
  return std::max(milliseconds(1),
                  std::chrono::duration_cast<milliseconds>(now - confirmed_));
}

bool view_following::IsPassedOver(const std::string& ip, time_point now) const {
  const auto known = sources_.find(ip);
  return known != sources_.end() && known->second.lost &&
         now - *known->second.lost < options_.passed_over;
}

// A source speaks several times within `silence`. If this daemon itself stood
// still meanwhile, it has not listened, and nobody is to blame.
void view_following::JudgeSources(time_point now) {
  const bool stood_still = now - planned_ > options_.silence;
  planned_ = now;
  if (stood_still && listens_since_) {
    listens_since_ = now;
  }
  for (auto& [ip, each] : sources_) {
    if (stood_still) {
      each.since = now;
    }
    if (!each.lost &&
        now - std::max(each.since, each.reported) > options_.silence) {
      each.lost = now;
    }
  }
  std::erase_if(sources_, [&](const auto& entry) {
    return entry.second.lost && !IsPassedOver(entry.first, now);
  });
}

std::vector<std::string> view_following::Serving(time_point now) const {
  std::vector<std::string> serving;
  for (const std::string& ip : near_) {
    // A daemon that the store fails can't read for others.
    const bool serves =
        ip == options_.self.ip ? !reads_badly_ : !IsPassedOver(ip, now);
    if (serves) {
      serving.push_back(ip);
    }
  }
  return serving;
}

bool view_following::IsAmongFirst(const std::vector<std::string>& order) const {
  const auto place = std::ranges::find(order, options_.self.ip);
  return place != order.end() &&
         static_cast<std::size_t>(place - order.begin()) < options_.readers;
}

// Pairs of daemons that stand one behind the other serve groups of `fan_out`:
// the first pair, which reads, the first group behind it, the second pair the
// second group, and so on.
std::vector<std::string> view_following::Sources(
    const std::vector<std::string>& serving,
    std::size_t own_place,
    time_point now) const {
  const std::size_t pair = options_.readers;
  std::size_t begin = 0;
  if (own_place >= pair) {
    begin = pair * ((own_place - pair) / options_.fan_out);
  }
  std::vector<std::string> sources;
  for (std::size_t i = begin; i < begin + pair && i < serving.size(); ++i) {
    if (serving[i] != options_.self.ip) {
      sources.push_back(serving[i]);
    }
  }
  // The only daemon of its data centre, or the only one left, has to look
  // elsewhere; one of two that read has the other.
  if (sources.empty()) {
    AddRemote(&sources, now);
  }
  return sources;
}

void view_following::AddRemote(std::vector<std::string>* sources,
                               time_point now) const {
  const std::size_t most = sources->size() + options_.readers;
  for (const std::string& ip : far_) {
    if (sources->size() < most && !IsPassedOver(ip, now)) {
      sources->push_back(ip);
    }
  }
}

// Those that are passed over are kept until then: a report of theirs ends that.
void view_following::Choose(const std::vector<std::string>& sources,
                            const std::vector<std::string>& serving,
                            time_point now) {
  std::erase_if(sources_, [&](const auto& entry) {
    return !entry.second.lost && !Contains(sources, entry.first);
  });
  const auto front =
      static_cast<std::ptrdiff_t>(std::min(serving.size(), options_.readers));
  for (const std::string& ip : sources) {
    source& chosen =
        sources_
            .try_emplace(ip, source{.since = now, .reported = {}, .lost = {}})
            .first->second;
    const bool in_front = std::find(serving.begin(), serving.begin() + front,
                                    ip) != serving.begin() + front;
    if (in_front && !chosen.should_read) {
      chosen.since = now;  // From now on it should.
    }
    chosen.should_read = in_front;
  }
}

// Of a source that is passed over a report is still wanted: it ends that. Only
// of those in front, which others turn to first; while the store is away for
// everybody, all sources are passed over one after the other.
void view_following::AddPassedOver(std::vector<std::string>* sources) const {
  const std::size_t most = std::min(near_.size(), 2 * options_.readers);
  for (std::size_t i = 0; i < most; ++i) {
    const auto known = sources_.find(near_[i]);
    if (known != sources_.end() && known->second.lost &&
        !Contains(*sources, near_[i])) {
      sources->push_back(near_[i]);
    }
  }
}

store_reading view_following::Reading(const std::vector<std::string>& serving,
                                      time_point now) const {
  if (IsAmongFirst(serving) && !reads_badly_) {
    return store_reading::kEager;
  }
  const bool alone =
      !listens_since_ ||
      now - std::max(confirmed_, *listens_since_) > options_.alone;
  if (!alone) {
    return reads_badly_ ? store_reading::kPatient : store_reading::kNone;
  }
  const bool few = near_.size() + far_.size() <= options_.readers;
  return few || IsAmongFirst(near_) ? store_reading::kEager
                                    : store_reading::kPatient;
}

following_plan view_following::Plan(time_point now) {
  JudgeSources(now);
  std::vector<std::string> serving = Serving(now);
  const bool nobody_serves = serving.empty();
  if (nobody_serves) {
    serving = near_;
  }
  const auto place = std::ranges::find(serving, options_.self.ip);
  following_plan plan;
  plan.sources =
      Sources(serving, static_cast<std::size_t>(place - serving.begin()), now);
  // The store may turn the whole data centre away, and serve the others.
  if (nobody_serves) {
    AddRemote(&plan.sources, now);
  }
  Choose(plan.sources, serving, now);
  if (!plan.sources.empty() && !listens_since_) {
    listens_since_ = now;
  }
  AddPassedOver(&plan.sources);
  plan.reading = Reading(serving, now);
  if (plan.reading == store_reading::kNone) {
    reads_well_ = false;
  }
  return plan;
}

}  // namespace pistachioweir
