// service_manifest: what operators publish about one service, as their build
// pipeline generates it. A manifest is a plain value; manifest_parser.h reads
// it, manifest_set.h checks a set of them against each other.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "include/base/priority.h"
#include "include/base/time.h"

namespace pistachioweir {

// A call that a method's implementation may make.
struct downstream_call {
  std::string service;
  std::string method;

  friend bool operator==(const downstream_call&,
                         const downstream_call&) = default;
};

struct method_spec {
  std::string name;
  priority level = priority::kNormal;
  // Declared by the operator. Whether the system treats a method so is derived
  // over the call graph: manifest_set::IsAtMostOnce().
  bool at_most_once = false;
  // How long a caller waits if it names no deadline of its own.
  milliseconds timeout{1000};
  // Largest deadline a caller may ask for.
  milliseconds max_timeout{10000};
  // Extra executions that one root request may cause over its whole call tree.
  std::uint32_t retry_credit = 2;
  std::vector<downstream_call> calls;

  friend bool operator==(const method_spec&, const method_spec&) = default;
};

// One target VM of a service, as the manifest's author knows it. Which of
// them are live or leaving comes from the platform's list and from gossip.
struct service_manifest {
  std::string service;
  std::uint64_t version = 0;  // Only rises.
  // Requests that one target runs at a time.
  std::uint32_t slots = 0;
  // Connections that one target accepts.
  std::uint32_t connections = 0;
  // Whether a target's own 503 means that nothing ran.
  bool refusal_is_not_executed = false;
  // Answers larger than this, and request bodies, are refused.
  std::uint32_t max_body_bytes = 1 << 20;
  // How long a key that was issued can start an execution.
  milliseconds key_lifetime{30000};
  std::vector<method_spec> methods;

  // The method called `name`, or nullptr. Owned by this manifest.
  [[nodiscard]] const method_spec* FindMethod(std::string_view name) const;

  friend bool operator==(const service_manifest&,
                         const service_manifest&) = default;
};

}  // namespace pistachioweir
