// Lookups in a fleet_view.
#include "include/fleet/fleet_view.h"

#include <algorithm>

namespace pistachioweir {

const fleet_service* fleet_view::Find(std::string_view service) const {
  const auto found =
      std::ranges::lower_bound(services, service, {}, &fleet_service::service);
  if (found == services.end() || found->service != service) {
    return nullptr;
  }
  return &*found;
}

const service_manifest* fleet_view::FindManifest(
    std::string_view service) const {
  const fleet_service* found = Find(service);
  return found == nullptr ? nullptr : found->manifest.get();
}

}  // namespace pistachioweir
