// Builds what follows from a view.
#include "src/daemon/view_holder.h"

#include <utility>
#include <vector>

namespace pistachioweir {

void view_holder::Set(std::shared_ptr<const fleet_view> view) {
  std::vector<service_manifest> manifests;
  for (const fleet_service& service : view->services) {
    if (service.manifest != nullptr) {
      manifests.push_back(*service.manifest);
    }
  }
  auto made = std::make_shared<daemon_view>();
  made->fleet = std::move(view);
  made->manifests = manifest_set(std::move(manifests));
  const std::lock_guard lock(mutex_);
  view_ = std::move(made);
}

}  // namespace pistachioweir
