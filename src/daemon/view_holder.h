// view_holder: the view of the fleet that calls are judged by, with what
// follows from its manifests.
#pragma once

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "include/base/time.h"
#include "include/config/manifest_set.h"
#include "include/fleet/fleet_view.h"

namespace pistachioweir {

class daemon_metrics;
class method_metrics;

// Immutable once set; shared between threads without a lock.
struct daemon_view {
  std::shared_ptr<const fleet_view> fleet;
  // The manifests in force, of the own service and all that it reaches; never
  // null. Owned by `fleet`.
  const manifest_set* manifests = nullptr;
  // Counters of outbound calls, by service and method index; valid as long as
  // the daemon's metrics. Kept here so that no call looks them up by name.
  std::unordered_map<std::string, std::vector<method_metrics*>> counters;
  // Since when each service's manifest has been in force here.
  std::unordered_map<std::string, time_point> held_since;

  // Whether calls may be judged by it. A daemon that was paused must be asked
  // for at each call: see fleet_agent::IsFresh().
  [[nodiscard]] bool ready() const { return fleet != nullptr && fleet->ready; }
};

// Thread-safe; the lock is held for copying a pointer.
class view_holder {
 public:
  explicit view_holder(daemon_metrics& metrics)
      : metrics_(metrics), view_(std::make_shared<const daemon_view>()) {}

  void Set(std::shared_ptr<const fleet_view> view);

  // Never null.
  [[nodiscard]] std::shared_ptr<const daemon_view> Get() const {
    const std::lock_guard lock(mutex_);
    return view_;
  }

 private:
  daemon_metrics& metrics_;
  mutable std::mutex mutex_;
  std::shared_ptr<const daemon_view> view_;
};

}  // namespace pistachioweir
