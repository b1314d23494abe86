// Requests that were cut, and the deaths of the target that cut them.
#include "include/quarantine/crash_suspects.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace pistachioweir {

void crash_suspects::OnCut(const request_fingerprint& request,
                           time_point began,
                           time_point now) {
  std::erase_if(
      cut_, [now](const cut_run& each) { return now - each.cut > kCutMemory; });
  cut_.push_back({.request = request, .began = began, .cut = now});
}

bool crash_suspects::OnAnswered(const request_fingerprint& request,
                                time_point began,
                                time_point now) {
  std::erase_if(cut_,
                [began](const cut_run& each) { return each.cut < began; });
  return OnCompleted(request, now);
}

bool crash_suspects::OnCompleted(const request_fingerprint& request,
                                 time_point now) {
  completed_[request.low % kCompletedPlaces] = {.request = request, .at = now};
  return quarantine_.Clear(request);
}

std::vector<request_fingerprint> crash_suspects::OnCleared(
    const std::vector<request_fingerprint>& requests,
    time_point now) {
  std::vector<request_fingerprint> news;
  for (const request_fingerprint& request : requests) {
    if (OnCompleted(request, now)) {
      news.push_back(request);
    }
  }
  return news;
}

std::vector<request_fingerprint> crash_suspects::Innocent(
    const std::vector<quarantine_entry>& entries,
    time_point now) const {
  std::vector<request_fingerprint> innocent;
  for (const quarantine_entry& entry : entries) {
    if (HasCompletedLately(entry.fingerprint, now)) {
      innocent.push_back(entry.fingerprint);
    }
  }
  return innocent;
}

bool crash_suspects::HasCompletedLately(const request_fingerprint& request,
                                        time_point now) const {
  const completed_request& known = completed_[request.low % kCompletedPlaces];
  return known.request == request && now - known.at <= kCompletedMemory;
}

bool crash_suspects::IsSuspect(const cut_run& run, time_point now) const {
  return now - run.cut <= kCutMemory && !HasCompletedLately(run.request, now) &&
         (run.cut - run.began <= kBegins ||
          !quarantine_.CrashesAmongOthers(run.request, now));
}

std::vector<quarantine_entry> crash_suspects::OnDied(time_point now) {
  std::vector<cut_run> cut = std::exchange(cut_, {});
  std::erase_if(cut,
                [&](const cut_run& each) { return !IsSuspect(each, now); });
  if (cut.empty()) {
    return {};
  }
  ++crashes_;
  const crash_id crash = CrashIdOf(static_cast<std::uint64_t>(self_), crashes_);
  std::ranges::sort(cut, std::greater<>(), &cut_run::began);
  std::vector<quarantine_entry> told;
  for (const cut_run& each : cut) {
    quarantine_.OnCrash(each.request, crash, now);
    told_.Add(each.request, crash, now);
    if (told.size() < kMostTold) {
      told.push_back({.fingerprint = each.request,
                      .crashes = {crash},
                      .remaining = quarantine_options{}.period});
    }
  }
  return told;
}

std::vector<quarantine_entry> crash_suspects::Import(
    const std::vector<quarantine_entry>& entries,
    time_point now) {
  std::vector<quarantine_entry> news;
  for (const quarantine_entry& entry : entries) {
    if (HasCompletedLately(entry.fingerprint, now)) {
      continue;
    }
    if (const auto first = ImportUntold(entry, now)) {
      news.push_back(*first);
    }
  }
  return news;
}

std::optional<quarantine_entry> crash_suspects::ImportUntold(
    const quarantine_entry& entry,
    time_point now) {
  quarantine_entry untold = entry;
  quarantine_entry first = entry;
  untold.crashes = first.crashes = {};
  std::size_t untold_count = 0;
  std::size_t first_count = 0;
  for (const crash_id crash : entry.crashes) {
    if (crash == crash_id{}) {
      continue;
    }
    const told_verdict verdict = told_.Add(entry.fingerprint, crash, now);
    if (verdict != told_verdict::kBefore) {
      untold.crashes[untold_count++] = crash;
    }
    if (verdict == told_verdict::kFirst) {
      first.crashes[first_count++] = crash;
    }
  }
  const bool added = untold_count > 0 && quarantine_.Import(untold, now);
  return added && first_count > 0 ? std::optional(first) : std::nullopt;
}

}  // namespace pistachioweir
