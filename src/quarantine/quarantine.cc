// Quarantine of requests that crash targets.
#include "include/quarantine/quarantine.h"

#include <xxhash.h>

#include <algorithm>

namespace pistachioweir {

namespace {

// An expired entry is retained for one more period: otherwise a peer that still
// holds it would send it back, and daemons would exchange it forever.
constexpr int kRetentionPeriods = 2;

}  // namespace

crash_id CrashIdOf(std::uint64_t incarnation, std::uint32_t crashes) {
  const std::array<std::uint64_t, 2> parts{incarnation, crashes};
  return crash_id{XXH3_64bits(parts.data(), sizeof(parts)) | 1};
}

quarantine::quarantine(const quarantine_options& options) : options_(options) {}

bool quarantine::HasCrashed(const state& entry, std::uint32_t targets) {
  return entry.crashes[targets - 1] != crash_id{};
}

bool quarantine::IsQuarantined(const state& entry, time_point now) const {
  return HasCrashed(entry, ExceedsUnrelatedThreshold(entry, now)
                               ? quarantine_options::kCrashThresholdWhenUnstable
                               : quarantine_options::kCrashThreshold);
}

bool quarantine::ExceedsUnrelatedThreshold(const state& entry,
                                           time_point now) const {
  const auto unrelated =
      std::ranges::count_if(recent_crashes_, [&](const recent_crash& recent) {
        return recent.id != crash_id{} && now - recent.at < options_.period &&
               std::ranges::find(entry.crashes, recent.id) ==
                   entry.crashes.end();
      });
  return static_cast<std::size_t>(unrelated) >=
         quarantine_options::kUnrelatedCrashThreshold;
}

bool quarantine::HasManyUnrelatedCrashes(const request_fingerprint& request,
                                         time_point now) const {
  const auto found = entries_.find(request);
  return ExceedsUnrelatedThreshold(
      found == entries_.end() ? state{} : found->second, now);
}

void quarantine::RecordCrash(crash_id crash, time_point now) {
  if (std::ranges::find(recent_crashes_, crash, &recent_crash::id) ==
      recent_crashes_.end()) {
    recent_crashes_[next_recent_crash_] = {.id = crash, .at = now};
    next_recent_crash_ = (next_recent_crash_ + 1) % kMaxRecentCrashes;
  }
}

bool quarantine::AddCrash(state& entry, crash_id crash) {
  if (std::ranges::find(entry.crashes, crash) != entry.crashes.end()) {
    return false;
  }
  std::rotate(entry.crashes.begin(), entry.crashes.end() - 1,
              entry.crashes.end());
  entry.crashes.front() = crash;
  return true;
}

void quarantine::OnCrash(const request_fingerprint& request,
                         crash_id crash,
                         time_point now) {
  RecordCrash(crash, now);
  state& entry = FindOrAdd(request, now);
  if (AddCrash(entry, crash)) {
    entry.until = now + options_.period;
    entry.evict_at = now + kRetentionPeriods * options_.period;
  }
}

void quarantine::OnCompleted(const request_fingerprint& request) {
  const auto found = entries_.find(request);
  if (found != entries_.end() &&
      !HasCrashed(found->second, quarantine_options::kCrashThreshold)) {
    entries_.erase(found);
  }
}

bool quarantine::Clear(const request_fingerprint& request) {
  return entries_.erase(request) > 0;
}

milliseconds quarantine::Remaining(const request_fingerprint& request,
                                   time_point now) const {
  const auto found = entries_.find(request);
  if (found == entries_.end() || found->second.until <= now ||
      !IsQuarantined(found->second, now)) {
    return milliseconds(0);
  }
  return std::chrono::ceil<milliseconds>(found->second.until - now);
}

std::vector<quarantine_entry> quarantine::Export(time_point now,
                                                 std::size_t max) const {
  std::vector<quarantine_entry> exported;
  for (const auto& [fingerprint, entry] : entries_) {
    if (entry.until > now) {
      quarantine_entry& copy = exported.emplace_back(quarantine_entry{
          .fingerprint = fingerprint,
          .remaining = std::chrono::ceil<milliseconds>(entry.until - now)});
      std::copy_n(entry.crashes.begin(), copy.crashes.size(),
                  copy.crashes.begin());
    }
  }
  const auto is_quarantined = [](const quarantine_entry& entry) {
    return entry.crashes[quarantine_options::kCrashThreshold - 1] != crash_id{};
  };
  std::ranges::sort(exported, [&](const auto& a, const auto& b) {
    return is_quarantined(a) != is_quarantined(b) ? is_quarantined(a)
                                                  : a.remaining > b.remaining;
  });
  exported.resize(std::min(max, exported.size()));
  return exported;
}

// Only a crash that was not known extends an entry; otherwise two daemons would
// prolong it by sending it to each other.
bool quarantine::Import(const quarantine_entry& entry, time_point now) {
  const milliseconds remaining = std::min(entry.remaining, options_.period);
  if (remaining <= milliseconds(0)) {
    return false;
  }
  state& local = FindOrAdd(entry.fingerprint, now);
  bool added = false;
  for (const crash_id crash : entry.crashes) {
    if (crash != crash_id{}) {
      RecordCrash(crash, now);
      added |= AddCrash(local, crash);
    }
  }
  if (added) {
    local.until = std::max(local.until, now + remaining);
    local.evict_at = now + kRetentionPeriods * options_.period;
  }
  return added;
}

void quarantine::Expire(time_point now) {
  std::erase_if(entries_, [now](const auto& item) {
    return item.second.evict_at <= now;
  });
}

quarantine::state& quarantine::FindOrAdd(const request_fingerprint& request,
                                         time_point now) {
  const auto found = entries_.find(request);
  if (found != entries_.end()) {
    if (found->second.evict_at <= now) {
      found->second = state{};
    }
    return found->second;
  }
  if (entries_.size() >= options_.max_entries) {
    EvictOne();
  }
  return entries_[request];
}

void quarantine::EvictOne() {
  const auto evict_before = [](const auto& a, const auto& b) {
    const bool a_quarantined =
        HasCrashed(a.second, quarantine_options::kCrashThreshold);
    const bool b_quarantined =
        HasCrashed(b.second, quarantine_options::kCrashThreshold);
    return a_quarantined != b_quarantined ? b_quarantined
                                          : a.second.until < b.second.until;
  };
  entries_.erase(std::ranges::min_element(entries_, evict_before));
}

}  // namespace pistachioweir
