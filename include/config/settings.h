// settings: what one daemon is told about itself at its start. Never changes
// while it runs; everything else comes from manifests.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "include/base/ids.h"
#include "include/base/time.h"
#include "include/config/config_error.h"

namespace pistachioweir {

// An IP number and a port; names are not resolved.
struct endpoint {
  std::string ip;
  std::uint16_t port = 0;

  friend auto operator<=>(const endpoint&, const endpoint&) = default;
};

[[nodiscard]] std::string ToString(const endpoint& address);

struct daemon_settings {
  vm_id vm;
  std::string service;
  std::string data_centre;
  std::string region;

  endpoint caller;  // HTTP for callers.
  endpoint local;   // HTTP for the target's own calls; loopback only.
  endpoint peer;    // TCP calls and UDP gossip of other daemons.
  // Where other daemons reach `peer`; the same unless an address is translated
  // between them.
  endpoint advertised_peer;
  endpoint admin;   // Status, metrics, health; reads only.
  endpoint target;  // The target beside this daemon.
  std::vector<endpoint> platform;

  // Shared keys that authenticate daemons to each other; the first signs, all
  // verify, so that keys can be rotated.
  std::vector<std::string> fleet_keys;

  std::uint32_t threads = 2;
  std::uint32_t max_connections = 4096;
  // How long a stopping daemon waits for calls in progress before it gives up.
  milliseconds stop_timeout{30000};
};

// Reads settings from JSON with comments. Unknown keys, wrong types, values
// out of range and clashes are errors, each named with its place below
// `origin`.
[[nodiscard]] parse_result<daemon_settings> ParseSettings(
    std::string_view json,
    std::string_view origin);

}  // namespace pistachioweir
