// quarantine: refuses a request that has crashed targets, whoever sends it.
//
// Made for a request that takes down each target that runs it while its caller
// sends it again and again: without it one caller empties the service. It is
// refused for a period, and may run again after that, since its target may have
// been mended; if it crashes that one too, it is refused for another period at
// once. Without this, such a request crashed 52 targets in the minute after its
// first period: its crashes were known already, and one more was no news. What
// is known is a fingerprint, a count of different crashes and a time; entries
// are values that daemons exchange. The owner keeps one under its own lock.
#pragma once

#include <array>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "include/base/time.h"
#include "include/once/fingerprint.h"

namespace pistachioweir {

// Names one death of one target, the same wherever it is told; never zero.
enum class crash_id : std::uint64_t {};

// Of the target beside the daemon with this incarnation, which has seen
// `crashes` of it so far.
[[nodiscard]] crash_id CrashIdOf(std::uint64_t incarnation,
                                 std::uint32_t crashes);

struct quarantine_options {
  // Different crashes that quarantine a request. One is no evidence: all other
  // requests in progress then are suspects too.
  static constexpr std::uint32_t kCrashThreshold = 2;
  // Where targets crash without it as well, being there twice is likely for a
  // request that takes seconds. The third crash is the last that a request may
  // cause.
  static constexpr std::uint32_t kCrashThresholdWhenUnstable = 3;
  // Crashes of others within `period` from which on that holds.
  static constexpr std::size_t kUnrelatedCrashThreshold = 4;

  // How long a request is refused, and how long a suspect is remembered.
  milliseconds period{60000};
  // Entries; the oldest suspect goes first when full.
  std::uint32_t max_entries = 4096;
};

// What daemons tell each other of one request.
struct quarantine_entry {
  request_fingerprint fingerprint;
  // The newest first.
  std::array<crash_id, quarantine_options::kCrashThresholdWhenUnstable>
      crashes{};
  milliseconds remaining{0};  // Relative: no clock is compared between VMs.
};

class quarantine {
 public:
  explicit quarantine(const quarantine_options& options = {});

  // The request was in progress when a target died.
  void OnCrash(const request_fingerprint& request,
               crash_id crash,
               time_point now);
  // The request ran to its end: it was in progress by chance. Clears a
  // suspect, not a request that is quarantined.
  void OnCompleted(const request_fingerprint& request);
  // The request crashes nothing. True if it was suspected or quarantined.
  bool Clear(const request_fingerprint& request);

  // How long the request is still refused; zero if it isn't.
  [[nodiscard]] milliseconds Remaining(const request_fingerprint& request,
                                       time_point now) const;
  // Whether targets crash often without the request.
  [[nodiscard]] bool HasManyUnrelatedCrashes(const request_fingerprint& request,
                                             time_point now) const;
  // Whether no request is suspected, so that callers need not hash bodies.
  [[nodiscard]] bool empty() const { return entries_.empty(); }

  // Up to `max` entries: quarantined requests first, then suspects, the newest
  // first. All that were in progress at a crash are equally suspect, so `max`
  // must have room for as many: where the second crash happens, the first must
  // be known of each.
  [[nodiscard]] std::vector<quarantine_entry> Export(time_point now,
                                                     std::size_t max) const;
  // True if a crash of it was not known.
  bool Import(const quarantine_entry& entry, time_point now);
  // Forgets what has ended; call every few seconds.
  void Expire(time_point now);

 private:
  // Crashes of one request that are told apart. Once it is quarantined it
  // causes one a period at most, and what is told of it is not older than two.
  static constexpr std::size_t kMaxCrashesPerRequest = 8;

  struct state {
    std::array<crash_id, kMaxCrashesPerRequest> crashes{};  // The newest first.
    time_point until;     // In force, if enough of `crashes` are known.
    time_point evict_at;  // Later than `until`.
  };

  struct recent_crash {
    crash_id id{};
    time_point at;
  };

  // More crashes within a period than decide anything.
  static constexpr std::size_t kMaxRecentCrashes = 64;

  struct fingerprint_hash {
    std::size_t operator()(const request_fingerprint& value) const {
      return value.low;
    }
  };

  // True if `crash` was not known of `entry`.
  static bool AddCrash(state& entry, crash_id crash);
  // Whether it has crashed that many targets.
  static bool HasCrashed(const state& entry, std::uint32_t targets);
  [[nodiscard]] bool IsQuarantined(const state& entry, time_point now) const;
  [[nodiscard]] bool ExceedsUnrelatedThreshold(const state& entry,
                                               time_point now) const;
  void RecordCrash(crash_id crash, time_point now);
  state& FindOrAdd(const request_fingerprint& request, time_point now);
  void EvictOne();

  quarantine_options options_;
  // Of all requests; a ring, in which `next_recent_crash_` is the oldest.
  std::array<recent_crash, kMaxRecentCrashes> recent_crashes_{};
  std::size_t next_recent_crash_ = 0;
  // At most max_entries.
  std::unordered_map<request_fingerprint, state, fingerprint_hash> entries_;
};

}  // namespace pistachioweir
