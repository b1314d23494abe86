// service_view: one daemon's view of the services around it: the routes and
// limits in force, and the live targets.
//
// An immutable shared value; a newer view replaces it as a whole.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "include/base/enum_table.h"
#include "include/base/ids.h"
#include "include/base/time.h"
#include "include/config/settings.h"
#include "include/organisation/organisation_table.h"
#include "include/organisation/precedence.h"
#include "include/route/route_table.h"

namespace pistachioweir {

enum class target_state : std::uint8_t { kReady, kLeaving };

inline constexpr enum_table<target_state, 2> kTargetStateNames({"ready",
                                                                "leaving"});

// One start of one target, as registered by the target.
struct target_entry {
  std::string id;
  // Distinguishes starts under one id: a target that restarts may keep its id
  // but has lost all state. Zero if unknown.
  incarnation_id start{};
  std::string service;
  endpoint address;
  std::string data_centre;
  std::uint32_t slots = 1;  // Requests that it runs concurrently.
  target_state state = target_state::kReady;
  milliseconds warm_up_left{0};  // Remaining time of its slow start.

  friend bool operator==(const target_entry&, const target_entry&) = default;
};

// What callers may send, and how long they may take.
struct caller_limits {
  std::size_t max_head_bytes = 16384;
  std::size_t max_body_bytes = 1 << 20;
  milliseconds head_timeout{10000};
  milliseconds idle_timeout{30000};

  friend bool operator==(const caller_limits&, const caller_limits&) = default;
};

// The name of this start in logs and in comparisons.
[[nodiscard]] inline std::string StartName(const target_entry& target) {
  return target.id + "@" +
         std::to_string(static_cast<std::uint64_t>(target.start));
}

struct service_entry {
  // Connections that one target accepts from all callers together; zero if
  // unknown.
  std::uint32_t max_connections = 0;
};

// The configuration that the operator publishes.
struct service_config {
  std::uint64_t version = 0;
  route_table routes;
  std::unordered_map<std::string, service_entry> services;
  caller_limits limits;
  // nullptr if requests carry no API keys.
  std::shared_ptr<const organisation_table> organisations;
  precedence ranks;
};

struct service_view {
  std::shared_ptr<const service_config>
      config;  // nullptr before the first one.
  std::vector<target_entry> targets;
  // Incremented with every change of the targets.
  std::uint64_t targets_version = 0;
};

}  // namespace pistachioweir
