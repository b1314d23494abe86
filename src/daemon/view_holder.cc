// Builds what follows from a view.
#include "src/daemon/view_holder.h"

#include <utility>

#include "include/metrics/metrics.h"

namespace pistachioweir {

void view_holder::Set(std::shared_ptr<const fleet_view> view) {
  auto made = std::make_shared<daemon_view>();
  made->manifests = view->manifests.get();
  made->fleet = std::move(view);
  for (const service_manifest& manifest : made->manifests->manifests()) {
    auto& counters = made->counters[manifest.service];
    for (const method_spec& method : manifest.methods) {
      counters.push_back(metrics_.ForMethod(call_role::kOutbound,
                                            manifest.service, method.name));
    }
  }
  const auto last = Get();
  const time_point now = monotonic_clock::now();
  for (const service_manifest& manifest : made->manifests->manifests()) {
    const service_manifest* before =
        last->manifests == nullptr ? nullptr
                                   : last->manifests->Find(manifest.service);
    const bool same = before != nullptr && before->version == manifest.version;
    made->held_since[manifest.service] =
        same ? last->held_since.at(manifest.service) : now;
  }
  const std::lock_guard lock(mutex_);
  view_ = std::move(made);
}

}  // namespace pistachioweir
