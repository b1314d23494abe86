// daemon_status: what a daemon says about itself on its admin port. Plain
// values, gathered when somebody asks.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "include/audit/refusal_log.h"
#include "include/base/enum_table.h"
#include "include/base/ids.h"
#include "include/base/priority.h"
#include "include/base/time.h"

namespace pistachioweir {

enum class daemon_state : std::uint8_t {
  kStarting,  // Takes no calls yet: it may hold older manifests than its peers.
  kReady,
  kDraining,  // The platform's list or the target says that it leaves.
  kStopping,  // Finishes calls in progress, then exits.
};

inline constexpr enum_table<daemon_state, 4> kDaemonStateNames(
    {"starting", "ready", "draining", "stopping"});

enum class target_state : std::uint8_t {
  kLive,
  kSlowStart,
  kEjected,
  kLeaving
};

inline constexpr enum_table<target_state, 4> kTargetStateNames(
    {"live", "slow_start", "ejected", "leaving"});

// The manifest of a service that is in force here.
struct manifest_status {
  std::string service;
  std::uint64_t version = 0;
  milliseconds held_for{0};
};

// A target as this daemon sees it.
struct target_status {
  std::string service;
  vm_id vm;
  std::string data_centre;
  target_state state = target_state::kLive;
  std::uint32_t in_flight = 0;  // Calls from here.
  std::uint32_t admission_level = 0;
  milliseconds heard_ago{0};  // Since its last answer.
};

struct quarantine_status {
  std::string service;
  std::string method;
  std::uint64_t fingerprint = 0;
  milliseconds remaining{0};
};

struct daemon_status {
  vm_id vm;
  incarnation_id incarnation{};
  std::string version;  // Of the program.
  std::string service;
  std::string data_centre;
  std::string region;
  daemon_state state = daemon_state::kStarting;
  milliseconds uptime{0};

  // Admission at the target beside this daemon.
  std::uint32_t concurrency_limit = 0;
  std::uint32_t in_flight = 0;
  std::uint32_t queued = 0;
  std::uint32_t admission_level = 0;

  std::uint32_t connections = 0;
  std::uint32_t peers_known = 0;
  bool platform_reachable = false;
  milliseconds platform_age{0};  // Since its last good answer.

  std::vector<manifest_status> manifests;
  std::vector<target_status> targets;
  std::vector<quarantine_status> quarantines;
};

// What a daemon knows of one method, and why its calls were refused.
struct method_explanation {
  bool known = false;  // Whether a manifest in force here has the method.
  priority level = priority::kNormal;
  bool at_most_once = false;  // Derived over the call graph.
  milliseconds timeout{0};
  // When a call of this method would best come now; zero if at once.
  milliseconds retry_after{0};
  refusal_history refusals;
};

}  // namespace pistachioweir
