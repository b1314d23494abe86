// quarantine: refuses a request that has crashed targets, whoever sends it.
//
// Protects against a request that crashes every target that runs it while its
// caller keeps retrying: without quarantine one caller takes down all targets
// of the service. The request is refused for a period and may run again after
// that, since the target may have been fixed; if it crashes one more target, it
// is refused for another period at once. When a further crash of a known
// request was not counted, such a request crashed 52 targets in the minute
// after its first period. The state consists of a fingerprint, a count of
// different crashes and a time; daemons exchange entries as values. The owner
// keeps one quarantine and guards it with its own lock.
#pragma once

#include <array>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "include/base/time.h"
#include "include/once/fingerprint.h"

namespace pistachioweir {

// Identifies one crash of one target, the same on all daemons; never zero.
enum class crash_id : std::uint64_t {};

// The id of the latest crash of the target beside the daemon with this
// incarnation, which has counted `crashes` crashes so far.
[[nodiscard]] crash_id CrashIdOf(std::uint64_t incarnation,
                                 std::uint32_t crashes);

struct quarantine_options {
  // Number of different crashes that quarantine a request. One is no evidence:
  // all other requests in progress at that crash are suspects too.
  static constexpr std::uint32_t kCrashThreshold = 2;
  // Threshold while targets also crash without the request: a request that
  // takes seconds is then likely to be in progress at two crashes by chance.
  // The third crash is the last that a request can cause.
  static constexpr std::uint32_t kCrashThresholdWhenUnstable = 3;
  // Number of unrelated crashes within `period` from which
  // kCrashThresholdWhenUnstable applies.
  static constexpr std::size_t kUnrelatedCrashThreshold = 4;

  // How long a request is refused, and how long a suspect is retained.
  milliseconds period{60000};
  // Capacity; the oldest suspect is evicted first when it is full.
  std::uint32_t max_entries = 4096;
};

// The state of one request as daemons exchange it.
struct quarantine_entry {
  request_fingerprint fingerprint;
  // Newest first.
  std::array<crash_id, quarantine_options::kCrashThresholdWhenUnstable>
      crashes{};
  // Relative, as clocks are not compared between VMs.
  milliseconds remaining{0};
};

class quarantine {
 public:
  explicit quarantine(const quarantine_options& options = {});

  // The request was in progress when a target crashed.
  void OnCrash(const request_fingerprint& request,
               crash_id crash,
               time_point now);
  // The request completed, so it was in progress at the crash by chance. Clears
  // a suspect, but not a quarantined request.
  void OnCompleted(const request_fingerprint& request);
  // Clears the request because it crashes nothing. Returns true if it was
  // suspected or quarantined.
  bool Clear(const request_fingerprint& request);

  // How long the request is still refused; zero if it is not refused.
  [[nodiscard]] milliseconds Remaining(const request_fingerprint& request,
                                       time_point now) const;
  // Whether kUnrelatedCrashThreshold crashes without the request were recorded
  // within the period.
  [[nodiscard]] bool HasManyUnrelatedCrashes(const request_fingerprint& request,
                                             time_point now) const;
  // Whether no request is suspected, so that callers need not hash bodies.
  [[nodiscard]] bool empty() const { return entries_.empty(); }

  // Returns up to `max` entries: quarantined requests first, then suspects,
  // newest first. All requests in progress at a crash are equally suspect, so
  // `max` must be large enough for all of them: the daemon beside the target of
  // the second crash must know the first crash of each.
  [[nodiscard]] std::vector<quarantine_entry> Export(time_point now,
                                                     std::size_t max) const;
  // Returns true if a crash of the entry was not known here.
  bool Import(const quarantine_entry& entry, time_point now);
  // Removes entries past their retention; call every few seconds.
  void Expire(time_point now);

 private:
  // Number of crashes that are distinguished per request. A quarantined request
  // causes at most one crash per period, and received entries are at most two
  // periods old.
  static constexpr std::size_t kMaxCrashesPerRequest = 8;

  struct state {
    std::array<crash_id, kMaxCrashesPerRequest> crashes{};  // Newest first.
    time_point until;     // End of the refusal, if quarantined.
    time_point evict_at;  // Later than `until`.
  };

  struct recent_crash {
    crash_id id{};
    time_point at;
  };

  // More crashes within a period than any threshold needs.
  static constexpr std::size_t kMaxRecentCrashes = 64;

  struct fingerprint_hash {
    std::size_t operator()(const request_fingerprint& value) const {
      return value.low;
    }
  };

  // Returns true if `crash` was not yet recorded in `entry`.
  static bool AddCrash(state& entry, crash_id crash);
  // Whether at least `targets` different crashes are recorded in `entry`.
  static bool HasCrashed(const state& entry, std::uint32_t targets);
  [[nodiscard]] bool IsQuarantined(const state& entry, time_point now) const;
  [[nodiscard]] bool ExceedsUnrelatedThreshold(const state& entry,
                                               time_point now) const;
  void RecordCrash(crash_id crash, time_point now);
  state& FindOrAdd(const request_fingerprint& request, time_point now);
  void EvictOne();

  quarantine_options options_;
  // Crashes of all requests; a ring buffer whose oldest element is
  // `next_recent_crash_`.
  std::array<recent_crash, kMaxRecentCrashes> recent_crashes_{};
  std::size_t next_recent_crash_ = 0;
  // At most max_entries.
  std::unordered_map<request_fingerprint, state, fingerprint_hash> entries_;
};

}  // namespace pistachioweir
