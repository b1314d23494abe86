// When to read which document.
#include "include/fleet/reader_schedule.h"

#include <algorithm>

namespace pistachioweir {
namespace {

constexpr std::string_view kIndex = "index";

double Uniform(std::mt19937_64& random) {
  return std::uniform_real_distribution<double>(0, 1)(random);
}

milliseconds Jittered(milliseconds span, std::mt19937_64& random) {
  const double factor = 0.5 + Uniform(random);
  return milliseconds(
      static_cast<std::int64_t>(static_cast<double>(span.count()) * factor));
}

milliseconds SpanFor(double reads, double per_second) {
  return milliseconds(static_cast<std::int64_t>(reads / per_second * 1000));
}

// A random part of the time that this many reads take at this rate.
milliseconds Spread(double reads, double per_second, std::mt19937_64& random) {
  return milliseconds(
      static_cast<std::int64_t>(Uniform(random) * reads / per_second * 1000));
}

}  // namespace

reader_schedule::reader_schedule(std::uint64_t fleet_size,
                                 time_point now,
                                 std::mt19937_64& random)
    : first_read_(now + Spread(static_cast<double>(fleet_size) * kStartTogether,
                               kFirstReadsPerSecond,
                               random)) {}

void reader_schedule::NoteHave(const std::string& key,
                               const reader_situation& situation,
                               time_point now,
                               std::mt19937_64& random) {
  const auto found = documents_.find(key);
  if (found != documents_.end() && !found->second.under_way) {
    found->second.next = now + Jittered(RefreshSpan(situation), random);
  }
}

std::vector<std::string> reader_schedule::Keys(
    const reader_situation& situation) {
  std::vector<std::string> keys = {std::string(kIndex)};
  for (const std::string& service : situation.lists) {
    keys.push_back("live/" + service);
  }
  return keys;
}

void reader_schedule::Prepare(const reader_situation& situation,
                              time_point now,
                              std::mt19937_64& random) {
  const std::vector<std::string> keys = Keys(situation);
  const std::string own = "live/" + situation.own_service;
  const double others = static_cast<double>(situation.fleet_size) *
                        static_cast<double>(keys.size());
  std::erase_if(documents_, [&](const auto& item) {
    return !item.second.under_way &&
           std::ranges::find(keys, item.first) == keys.end();
  });
  for (const std::string& key : keys) {
    const auto [found, added] = documents_.try_emplace(key);
    if (added) {
      found->second.next =
          key == own ? now : now + Spread(others, kOtherReadsPerSecond, random);
    }
  }
}

double reader_schedule::WatchChance(const std::string& key,
                                    const reader_situation& situation) const {
  if (key == kIndex) {
    return kIndexWatchers / static_cast<double>(std::max<std::uint64_t>(
                                situation.fleet_size, 1));
  }
  if (key == "live/" + situation.own_service) {
    return kListWatchers / static_cast<double>(std::max<std::uint64_t>(
                               situation.service_size, 1));
  }
  return 0;
}

void reader_schedule::Draw(const std::string& key,
                           document& entry,
                           const reader_situation& situation,
                           time_point now,
                           std::mt19937_64& random) {
  if (entry.drawn && now < entry.drawn_at + kWatch) {
    return;
  }
  entry.drawn = true;
  entry.drawn_at = now;
  if (Uniform(random) < WatchChance(key, situation)) {
    entry.watch_until = now + kWatch;
    entry.next = std::min(entry.next, now);
  }
}

std::vector<scheduled_read> reader_schedule::Due(
    const reader_situation& situation,
    time_point now,
    std::mt19937_64& random) {
  std::vector<scheduled_read> due;
  if (now < first_read_) {
    return due;
  }
  Prepare(situation, now, random);
  for (auto& [key, entry] : documents_) {
    // While the platform is down one document stands for all.
    if (entry.under_way || (platform_down_ && key != kIndex)) {
      continue;
    }
    // The first read brings what the draw depends on.
    if (entry.revision != 0 && !platform_down_) {
      Draw(key, entry, situation, now, random);
    }
    if (now < entry.next) {
      continue;
    }
    const bool watch = !platform_down_ && now < entry.watch_until;
    entry.under_way = true;
    due.push_back({.key = key,
                   .after = watch ? entry.revision : 0,
                   .wait = watch ? kWatch : milliseconds(0)});
  }
  return due;
}

void reader_schedule::Done(const std::string& key,
                           bool failed,
                           std::uint64_t revision,
                           const reader_situation& situation,
                           time_point now,
                           std::mt19937_64& random) {
  const auto found = documents_.find(key);
  if (found == documents_.end()) {
    return;
  }
  found->second.under_way = false;
  if (failed) {
    found->second.next = now + Jittered(RefreshSpan(situation), random);
    BackOff(situation, now, random);
    return;
  }
  document& entry = found->second;
  entry.revision = std::max(entry.revision, revision);
  if (key == kIndex) {
    platform_down_ = false;
    failures_ = 0;
  }
  if (now < entry.watch_until) {
    entry.next = now + Jittered(kWatchPause, random);
    return;
  }
  entry.next = now + Jittered(RefreshSpan(situation), random);
}

void reader_schedule::BackOff(const reader_situation& situation,
                              time_point now,
                              std::mt19937_64& random) {
  platform_down_ = true;
  failures_ = std::min<std::uint32_t>(failures_ + 1, 10);
  const milliseconds ceiling = std::clamp(
      SpanFor(static_cast<double>(situation.fleet_size), kRetryPerSecond),
      kMinCeiling, kMaxCeiling);
  const milliseconds backoff = std::min(ceiling, kMinRetry * (1 << failures_));
  documents_[std::string(kIndex)].next = now + Jittered(backoff, random);
}

milliseconds reader_schedule::RefreshSpan(const reader_situation& situation) {
  const double reads = static_cast<double>(situation.fleet_size) *
                       (static_cast<double>(situation.lists.size()) + 1);
  return std::max(kMinRefresh, SpanFor(reads, kRefreshPerSecond));
}

void reader_schedule::Hasten(const std::string& key, time_point now) {
  const auto found = documents_.find(key);
  if (found != documents_.end()) {
    found->second.next = std::min(found->second.next, now);
  }
}

void AddStranger(const manifest_store& manifests,
                 std::mt19937_64& random,
                 std::string* stranger,
                 std::vector<std::string>* lists) {
  if (stranger->empty()) {
    *stranger = manifests.PickUnrelated(random());
  }
  if (!stranger->empty() &&
      std::ranges::find(*lists, *stranger) == lists->end()) {
    lists->push_back(*stranger);
  }
}

milliseconds DocumentReadDelay(std::uint64_t wanting, std::mt19937_64& random) {
  constexpr double kMillisecondsEach = 50;
  constexpr double kMax = 2000;
  const double span =
      std::min(kMax, static_cast<double>(wanting) * kMillisecondsEach);
  return milliseconds(static_cast<std::int64_t>(Uniform(random) * span));
}

}  // namespace pistachioweir
