// Lookup and cross checks of several manifests.
#include "include/config/manifest_set.h"

#include <algorithm>
#include <utility>

#include "src/config/call_graph.h"

namespace pistachioweir {
namespace {

void Append(config_errors more, config_errors* errors) {
  errors->insert(errors->end(), std::make_move_iterator(more.begin()),
                 std::make_move_iterator(more.end()));
}

std::string Version(const service_manifest& manifest) {
  return "version " + std::to_string(manifest.version);
}

}  // namespace

manifest_set::manifest_set(std::vector<service_manifest> manifests)
    : manifests_(std::move(manifests)) {
  DropOlder();
  for (std::size_t i = 0; i < manifests_.size(); ++i) {
    by_service_[manifests_[i].service] = i;
  }
  DeriveAtMostOnce();
}

void manifest_set::DropOlder() {
  std::ranges::stable_sort(
      manifests_, [](const service_manifest& a, const service_manifest& b) {
        return a.service != b.service ? a.service < b.service
                                      : a.version > b.version;
      });
  std::vector<service_manifest> newest;
  for (service_manifest& manifest : manifests_) {
    const bool first =
        newest.empty() || newest.back().service != manifest.service;
    (first ? newest : shadowed_).push_back(std::move(manifest));
  }
  manifests_ = std::move(newest);
}

void manifest_set::DeriveAtMostOnce() {
  at_most_once_.resize(manifests_.size());
  const call_graph graph(*this);
  const std::vector<bool> reaches = graph.ReachesAtMostOnce();
  for (std::size_t i = 0; i < reaches.size(); ++i) {
    const call_graph::node& node = graph.nodes()[i];
    if (reaches[i]) {
      const std::size_t service = by_service_.at(node.manifest->service);
      at_most_once_[service].insert(node.method->name);
    }
  }
}

const service_manifest* manifest_set::Find(std::string_view service) const {
  const auto found = by_service_.find(service);
  return found == by_service_.end() ? nullptr : &manifests_[found->second];
}

const method_spec* manifest_set::FindMethod(std::string_view service,
                                            std::string_view method) const {
  const service_manifest* manifest = Find(service);
  return manifest == nullptr ? nullptr : manifest->FindMethod(method);
}

bool manifest_set::IsAtMostOnce(std::string_view service,
                                std::string_view method) const {
  const auto found = by_service_.find(service);
  if (found == by_service_.end() ||
      manifests_[found->second].FindMethod(method) == nullptr) {
    return true;
  }
  const name_set& methods = at_most_once_[found->second];
  return methods.find(method) != methods.end();
}

config_errors manifest_set::Check() const {
  config_errors errors;
  for (const service_manifest& other : shadowed_) {
    const service_manifest& newest = *Find(other.service);
    if (!(other == newest)) {
      errors.push_back(
          {.place = "service " + other.service,
           .problem =
               other.version == newest.version
                   ? Version(other) + " stands twice, with other contents"
                   : Version(other) + " stands beside " + Version(newest),
           .expected = "one manifest for each service"});
    }
  }
  const call_graph graph(*this);
  Append(graph.MissingCallees(), &errors);
  Append(graph.CyclesAndDepth(), &errors);
  Append(graph.TimeoutInversions(), &errors);
  return errors;
}

config_errors manifest_set::Warnings() const {
  return call_graph(*this).PriorityInversions();
}

config_errors CheckSuccessor(const service_manifest& old,
                             const service_manifest& next) {
  const std::string place = "service " + next.service;
  if (next.service != old.service) {
    return {{.place = place,
             .problem = "takes the place of " + old.service,
             .expected = "a manifest of the same service"}};
  }
  if (next.version < old.version) {
    return {{.place = place,
             .problem = Version(next) + " goes back behind " + Version(old),
             .expected = "a version above " + std::to_string(old.version)}};
  }
  if (next.version == old.version && !(next == old)) {
    return {{.place = place,
             .problem = Version(next) + " is in force with other contents",
             .expected = "a version above " + std::to_string(old.version)}};
  }
  return {};
}

}  // namespace pistachioweir
