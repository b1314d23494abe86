// Attribution of target crashes to interrupted requests.
#include "include/quarantine/crash_suspects.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace pistachioweir {

void crash_suspects::OnInterrupted(const request_fingerprint& request,
                                   time_point started,
                                   time_point now) {
  std::erase_if(interrupted_, [now](const interrupted_run& each) {
    return now - each.interrupted_at > kInterruptedRunRetention;
  });
  interrupted_.push_back(
      {.request = request, .started = started, .interrupted_at = now});
}

bool crash_suspects::OnAnswered(const request_fingerprint& request,
                                time_point started,
                                time_point now) {
  std::erase_if(interrupted_, [started](const interrupted_run& each) {
    return each.interrupted_at < started;
  });
  return OnCompleted(request, now);
}

bool crash_suspects::OnCompleted(const request_fingerprint& request,
                                 time_point now) {
  completed_[request.low % kCompletedSlots] = {.request = request, .at = now};
  return quarantine_.Clear(request);
}

std::vector<request_fingerprint> crash_suspects::OnCleared(
    const std::vector<request_fingerprint>& requests,
    time_point now) {
  std::vector<request_fingerprint> updates;
  for (const request_fingerprint& request : requests) {
    if (OnCompleted(request, now)) {
      updates.push_back(request);
    }
  }
  return updates;
}

std::vector<request_fingerprint> crash_suspects::RecentlyCompleted(
    const std::vector<quarantine_entry>& entries,
    time_point now) const {
  std::vector<request_fingerprint> completed;
  for (const quarantine_entry& entry : entries) {
    if (HasCompletedRecently(entry.fingerprint, now)) {
      completed.push_back(entry.fingerprint);
    }
  }
  return completed;
}

bool crash_suspects::HasCompletedRecently(const request_fingerprint& request,
                                          time_point now) const {
  const completed_request& known = completed_[request.low % kCompletedSlots];
  return known.request == request && now - known.at <= kCompletionRetention;
}

bool crash_suspects::IsSuspect(const interrupted_run& run,
                               time_point now) const {
  return now - run.interrupted_at <= kInterruptedRunRetention &&
         !HasCompletedRecently(run.request, now) &&
         (run.interrupted_at - run.started <= kStartWindow ||
          !quarantine_.HasManyUnrelatedCrashes(run.request, now));
}

std::vector<quarantine_entry> crash_suspects::OnTargetCrash(time_point now) {
  std::vector<interrupted_run> interrupted = std::exchange(interrupted_, {});
  std::erase_if(interrupted, [&](const interrupted_run& each) {
    return !IsSuspect(each, now);
  });
  if (interrupted.empty()) {
    return {};
  }
  ++crashes_;
  const crash_id crash = CrashIdOf(static_cast<std::uint64_t>(self_), crashes_);
  std::ranges::sort(interrupted, std::greater<>(), &interrupted_run::started);
  std::vector<quarantine_entry> published;
  for (const interrupted_run& each : interrupted) {
    quarantine_.OnCrash(each.request, crash, now);
    dedup_cache_.Add(each.request, crash, now);
    if (published.size() < kMaxPublishedSuspects) {
      published.push_back({.fingerprint = each.request,
                           .crashes = {crash},
                           .remaining = quarantine_options{}.period});
    }
  }
  return published;
}

std::vector<quarantine_entry> crash_suspects::Import(
    const std::vector<quarantine_entry>& entries,
    time_point now) {
  std::vector<quarantine_entry> updates;
  for (const quarantine_entry& entry : entries) {
    if (HasCompletedRecently(entry.fingerprint, now)) {
      continue;
    }
    if (const auto forwarded = ImportUnseen(entry, now)) {
      updates.push_back(*forwarded);
    }
  }
  return updates;
}

std::optional<quarantine_entry> crash_suspects::ImportUnseen(
    const quarantine_entry& entry,
    time_point now) {
  quarantine_entry unseen = entry;
  quarantine_entry forwarded = entry;
  unseen.crashes = forwarded.crashes = {};
  std::size_t unseen_count = 0;
  std::size_t forwarded_count = 0;
  for (const crash_id crash : entry.crashes) {
    if (crash == crash_id{}) {
      continue;
    }
    const dedup_result result = dedup_cache_.Add(entry.fingerprint, crash, now);
    if (result != dedup_result::kDuplicate) {
      unseen.crashes[unseen_count++] = crash;
    }
    if (result == dedup_result::kNew) {
      forwarded.crashes[forwarded_count++] = crash;
    }
  }
  const bool added = unseen_count > 0 && quarantine_.Import(unseen, now);
  return added && forwarded_count > 0 ? std::optional(forwarded) : std::nullopt;
}

}  // namespace pistachioweir
