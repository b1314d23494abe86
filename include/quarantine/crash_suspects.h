// crash_suspects: determines, beside one target, which requests may have
// crashed it, and refuses those suspected of two crashes.
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

// Requests interrupted shortly before the target was found dead are suspects,
// and a request that is a suspect of two crashes is refused. A request that has
// completed recently on any target is no suspect: identical requests share a
// fingerprint, and two lost machines would otherwise make a whole kind of
// request unavailable.
//
// Pure logic; the owner keeps one per target.
class crash_suspects {
 public:
  // A run counts as interrupted by the death of the target if its connection
  // was lost within this time before the target is found dead. The death is
  // detected at the next connection attempt, or at the next start of the
  // target.
  static constexpr milliseconds kInterruptedRunRetention{2000};
  // Targets crash when they start to run such a request. Where targets often
  // crash for other reasons, only runs that started within this time before the
  // crash are suspected.
  static constexpr milliseconds kStartWindow{500};
  // A request that completed within this time is no suspect. Longer than the
  // restart of a target, after which a repeated request crashes it again.
  static constexpr milliseconds kCompletionRetention{10000};
  // Maximum number of suspects published per crash, the most recently started
  // ones: targets crash when they start to run such a request.
  static constexpr std::size_t kMaxPublishedSuspects = 16;
  // Maximum number of entries sent to a daemon that connects: the suspects of
  // the last dozen crashes.
  static constexpr std::size_t kMaxSnapshotEntries = 12 * kMaxPublishedSuspects;

  explicit crash_suspects(incarnation_id self) : self_(self) {}

  // The connection of a run that started at `started` ended without an answer.
  void OnInterrupted(const request_fingerprint& request,
                     time_point started,
                     time_point now);
  // A run that started at `started` was answered. Returns as OnCompleted().
  bool OnAnswered(const request_fingerprint& request,
                  time_point started,
                  time_point now);
  // A request of a local caller has completed, at whatever target. Returns true
  // if it was suspected: other daemons should then be notified that it crashes
  // nothing.
  bool OnCompleted(const request_fingerprint& request, time_point now);
  // Other daemons have seen these complete. Returns those that were suspected
  // here, which the caller forwards as it forwarded the suspicion.
  std::vector<request_fingerprint> OnCleared(
      const std::vector<request_fingerprint>& requests,
      time_point now);
  // The target was found dead. Returns the suspects to publish to other
  // daemons, if any.
  [[nodiscard]] std::vector<quarantine_entry> OnTargetCrash(time_point now);
  // Imports suspects received from another daemon. Returns those received for
  // the first time, which the caller forwards, since a daemon publishes only to
  // daemons with a connection to it. Each crash of a request is forwarded once,
  // so forwarding terminates.
  std::vector<quarantine_entry> Import(
      const std::vector<quarantine_entry>& entries,
      time_point now);
  // Returns the suspects that have completed here recently, to be sent back to
  // the daemon that published them.
  [[nodiscard]] std::vector<request_fingerprint> RecentlyCompleted(
      const std::vector<quarantine_entry>& entries,
      time_point now) const;
  // Entries for a daemon that connects now and has received none before.
  [[nodiscard]] std::vector<quarantine_entry> Snapshot(time_point now) const {
    return quarantine_.Export(now, kMaxSnapshotEntries);
  }
  // Removes expired entries; call every few seconds.
  void Expire(time_point now) { quarantine_.Expire(now); }

  // Whether nothing is suspected, so that callers need not hash bodies.
  [[nodiscard]] bool empty() const { return quarantine_.empty(); }
  // How long the request is still refused; zero if it is not refused.
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

  // The most recently completed request of a slot.
  struct completed_request {
    request_fingerprint request;
    time_point at;
  };

  static constexpr std::size_t kCompletedSlots = 4096;

  // Imports the crashes of `entry` that were not received before. Returns the
  // entry reduced to the crashes to forward, if there are any.
  std::optional<quarantine_entry> ImportUnseen(const quarantine_entry& entry,
                                               time_point now);
  // Whether the run may have caused the death of the target.
  [[nodiscard]] bool IsSuspect(const interrupted_run& run,
                               time_point now) const;
  [[nodiscard]] bool HasCompletedRecently(const request_fingerprint& request,
                                          time_point now) const;

  const incarnation_id self_;
  quarantine quarantine_;
  crash_dedup_cache dedup_cache_;
  // None older than kInterruptedRunRetention after OnInterrupted().
  std::vector<interrupted_run> interrupted_;
  std::vector<completed_request> completed_ =
      std::vector<completed_request>(kCompletedSlots);
  std::uint32_t crashes_ = 0;
};

}  // namespace pistachioweir
