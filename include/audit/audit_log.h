// audit_log: the last changes of state of one daemon, kept in memory and
// written as log lines, since VMs have no disks. What happens to single
// requests is not in it.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

#include "include/base/enum_table.h"
#include "include/base/time.h"

namespace pistachioweir {

// For people only; no decision compares it.
using wall_time = std::chrono::system_clock::time_point;

enum class audit_kind : std::uint8_t {
  kStarted,
  kReady,
  kStopping,
  kStopped,
  kManifestAccepted,
  kManifestRefused,
  kLevelChanged,
  kTargetLeaving,
  kTargetEjected,
  kTargetRestored,
  kQuarantined,
  kQuarantineEnded,
  kPlatformLost,
  kPlatformRestored,
  kPaused,
};

inline constexpr std::size_t kAuditKindCount =
    static_cast<std::size_t>(audit_kind::kPaused) + 1;

inline constexpr enum_table<audit_kind, kAuditKindCount> kAuditKindNames({
    "started",
    "ready",
    "stopping",
    "stopped",
    "manifest_accepted",
    "manifest_refused",
    "level_changed",
    "target_leaving",
    "target_ejected",
    "target_restored",
    "quarantined",
    "quarantine_ended",
    "platform_lost",
    "platform_restored",
    "paused",
});

struct audit_event {
  audit_kind kind = audit_kind::kStarted;
  std::string subject;  // A service, a VM or a method, by kind.
  std::string before;   // Old and new value, where there is one.
  std::string after;
  std::string cause;

  // Set by the log.
  wall_time at{};
  std::uint64_t number = 0;   // Counts up from one; gaps show what was dropped.
  std::uint32_t repeats = 0;  // Later events that were merged into this one.
};

struct audit_options {
  std::size_t capacity = 1000;
  // Events of one kind and subject that follow each other faster are merged:
  // a value that swings under load would otherwise flood the log and push
  // everything else out of memory.
  milliseconds merge_within{1000};
  std::function<wall_time()> now = std::chrono::system_clock::now;
};

// Thread-safe under one lock, since events are rare.
class audit_log {
 public:
  explicit audit_log(audit_options options = {});

  // Keeps the event and writes its line, unless it is merged into an earlier
  // one, whose `after` and `cause` it replaces.
  void Add(audit_event event);

  // The last `max` events, oldest first.
  [[nodiscard]] std::vector<audit_event> Recent(std::size_t max) const;

 private:
  // The event that `event` merges into, or nullptr.
  audit_event* FindMergeable(const audit_event& event);

  const audit_options options_;
  mutable std::mutex mutex_;
  std::deque<audit_event> events_;  // At most options_.capacity.
  std::uint64_t last_number_ = 0;
};

}  // namespace pistachioweir
