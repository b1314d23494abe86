// view_holder: the view of the fleet that calls are judged by, with what
// follows from its manifests.
#pragma once

#include <memory>
#include <mutex>

#include "include/config/manifest_set.h"
#include "include/fleet/fleet_view.h"

namespace pistachioweir {

// Immutable once set; shared between threads without a lock.
struct daemon_view {
  std::shared_ptr<const fleet_view> fleet;
  // The manifests in force, of the own service and all that it reaches.
  manifest_set manifests;

  // Whether calls may be judged by it.
  [[nodiscard]] bool ready() const {
    return fleet != nullptr && fleet->ready && fleet->fresh;
  }
};

// Thread-safe; the lock is held for copying a pointer.
class view_holder {
 public:
  view_holder() : view_(std::make_shared<const daemon_view>()) {}

  void Set(std::shared_ptr<const fleet_view> view);

  // Never null.
  [[nodiscard]] std::shared_ptr<const daemon_view> Get() const {
    const std::lock_guard lock(mutex_);
    return view_;
  }

 private:
  mutable std::mutex mutex_;
  std::shared_ptr<const daemon_view> view_;
};

}  // namespace pistachioweir
