// crash_suspects: finds out, beside one target, which requests may have crashed
// it, and refuses those that did so twice.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "include/base/ids.h"
#include "include/base/time.h"
#include "include/once/fingerprint.h"
#include "include/quarantine/crash_dedup_cache.h"
#include "include/quarantine/quarantine.h"

namespace pistachioweir {

// Requests that were cut shortly before the target was found dead are suspects,
// and one that is among those of two crashes is refused. What has completed
// lately anywhere is no suspect: requests that are alike share a fingerprint,
// and a whole kind of work would be refused for two lost machines.
//
// Pure logic; the owner has one for its target.
class crash_suspects {
 public:
  // Lost runs within this time before the target is found dead count as cut by
  // its death. It is found with the next connection, or at its next start.
  static constexpr milliseconds kInterruptedRunRetention{2000};
  // Targets crash when they begin to run such a request. Where they crash often
  // for other reasons, only what they had begun this lately is suspected.
  static constexpr milliseconds kStartWindow{500};
  // What has completed within this time is no suspect. Longer than a target's
  // restart, after which a repeated request crashes it again.
  static constexpr milliseconds kCompletionRetention{10000};
  // Suspects of one crash that others are told of, those that began last:
  // targets crash when they begin to run such a request.
  static constexpr std::size_t kMaxPublishedSuspects = 16;
  // Of all crashes, what a daemon that connects is told: those of the last
  // dozen.
  static constexpr std::size_t kMaxSnapshotEntries = 12 * kMaxPublishedSuspects;

  explicit crash_suspects(incarnation_id self) : self_(self) {}

  // The connection of a run that began at `began` ended without an answer.
  void OnInterrupted(const request_fingerprint& request,
                     time_point started,
                     time_point now);
  // A run that began at `began` was answered. True as OnCompleted().
  bool OnAnswered(const request_fingerprint& request,
                  time_point started,
                  time_point now);
  // A request of a caller here has completed, at whatever target. True if it
  // was suspected: others should know that it crashes nothing.
  bool OnCompleted(const request_fingerprint& request, time_point now);
  // Others have seen these complete. Returns those that were suspected here:
  // each daemon passes them on, as it did when it heard of them as suspects.
  std::vector<request_fingerprint> OnCleared(
      const std::vector<request_fingerprint>& requests,
      time_point now);
  // The target is dead. Returns what other daemons should know, if anything.
  [[nodiscard]] std::vector<quarantine_entry> OnTargetCrash(time_point now);
  // What another daemon told. Returns what of it was told for the first time:
  // each daemon passes that on, since it is told by those only that have a
  // connection to it. Each crash of a request is passed on once, so it ends.
  std::vector<quarantine_entry> Import(
      const std::vector<quarantine_entry>& entries,
      time_point now);
  // Those of the suspects that have completed here lately: whoever tells of
  // them should know.
  [[nodiscard]] std::vector<request_fingerprint> RecentlyCompleted(
      const std::vector<quarantine_entry>& entries,
      time_point now) const;
  // What a daemon should know that connects now, and heard nothing before.
  [[nodiscard]] std::vector<quarantine_entry> Snapshot(time_point now) const {
    return quarantine_.Export(now, kMaxSnapshotEntries);
  }
  // Call every few seconds.
  void Expire(time_point now) { quarantine_.Expire(now); }

  // Whether nothing is suspected, so that callers need not hash bodies.
  [[nodiscard]] bool empty() const { return quarantine_.empty(); }
  // How long the request is refused; zero if it isn't.
  [[nodiscard]] milliseconds RemainingQuarantine(
      const request_fingerprint& request,
      time_point now) const {
    return HasCompletedRecently(request, now)
               ? milliseconds(0)
               : quarantine_.Remaining(request, now);
  }

 private:
  struct interrupted_run {
    request_fingerprint request;
    time_point started;
    time_point interrupted_at;
  };

  // Of a request that has completed; the newest of those with one place.
  struct completed_request {
    request_fingerprint request;
    time_point at;
  };

  static constexpr std::size_t kCompletedSlots = 4096;

  // Imports those crashes that were not told before. Returns the entry with
  // those that others should be told, if there are any.
  std::optional<quarantine_entry> ImportUnseen(const quarantine_entry& entry,
                                               time_point now);
  // Whether the target's death may be its doing.
  [[nodiscard]] bool IsSuspect(const interrupted_run& run,
                               time_point now) const;
  [[nodiscard]] bool HasCompletedRecently(const request_fingerprint& request,
                                          time_point now) const;

  const incarnation_id self_;
  quarantine quarantine_;
  crash_dedup_cache dedup_cache_;
  std::vector<interrupted_run>
      interrupted_;  // None older than kInterruptedRunRetention after
                     // OnInterrupted().
  std::vector<completed_request> completed_ =
      std::vector<completed_request>(kCompletedSlots);
  std::uint32_t crashes_ = 0;
};

}  // namespace pistachioweir
