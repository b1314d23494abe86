// fleet_view: what one daemon knows of the fleet at one moment: the manifests
// in force and the targets of its own service and of those that it calls.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "include/base/enum_table.h"
#include "include/base/ids.h"
#include "include/config/manifest.h"
#include "include/config/manifest_set.h"
#include "include/config/settings.h"

namespace pistachioweir {

// What is believed of a VM. Later states override earlier ones of the same
// incarnation.
enum class member_state : std::uint8_t {
  kLive,
  kSuspect,  // Does not answer; calls go there only if nothing else is left.
  kLeaving,  // Finishes its calls in progress; gets no new ones.
  kDead,
};

inline constexpr std::size_t kMemberStateCount = 4;

inline constexpr enum_table<member_state, kMemberStateCount> kMemberStateNames(
    {"live", "suspect", "leaving", "dead"});

// One VM of a service, with the address of the daemon beside it.
struct fleet_target {
  vm_id vm;
  std::string data_centre;
  std::string region;
  endpoint peer;
  member_state state = member_state::kLive;
  // Known once the daemon was heard of through gossip or an answer.
  std::optional<incarnation_id> incarnation;

  friend bool operator==(const fleet_target&, const fleet_target&) = default;
};

struct fleet_service {
  std::string service;
  // The manifest in force; null until one is known.
  std::shared_ptr<const service_manifest> manifest;
  // Empty for services that are only reached through others.
  std::vector<fleet_target> targets;

  friend bool operator==(const fleet_service&, const fleet_service&) = default;
};

// Opaque bytes that a daemon spreads over the fleet for a bounded time, as an
// entry of the quarantine list.
struct fleet_blob {
  std::string id;  // Unique over the fleet; a second blob of an id is ignored.
  std::string bytes;
  milliseconds remaining{0};
};

// Immutable once published; shared between threads without a lock.
struct fleet_view {
  // Whether this daemon may act on the view: it has a manifest of its own
  // service, and a newcomer has heard from peers with a history.
  bool ready = false;
  // Cleared while a daemon that was paused refreshes its view.
  bool fresh = true;
  // kLive or kLeaving.
  member_state own_state = member_state::kLive;
  std::vector<fleet_service> services;  // Sorted by name.
  // The manifests of all services, and what follows from all of them
  // together; never null.
  std::shared_ptr<const manifest_set> manifests =
      std::make_shared<const manifest_set>();
  std::vector<fleet_blob> blobs;

  // The entry of `service`, or nullptr. Owned by this view.
  [[nodiscard]] const fleet_service* Find(std::string_view service) const;
  // The manifest in force for `service`, or nullptr.
  [[nodiscard]] const service_manifest* FindManifest(
      std::string_view service) const;
};

}  // namespace pistachioweir
