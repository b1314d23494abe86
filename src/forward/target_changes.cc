// Comparison of two lists, and the index of a directory.
#include "include/forward/target_changes.h"

#include <algorithm>
#include <utility>

namespace pistachioweir {
namespace {

// Walks both lists, which are in the order of the ids.
target_changes ChangesBetween(const target_list& before,
                              const target_list& after) {
  target_changes changes;
  auto old = before.begin();
  auto now = after.begin();
  while (old != before.end() || now != after.end()) {
    if (now == after.end() || (old != before.end() && old->id < now->id)) {
      changes.removed.push_back(*old++);
    } else if (old == before.end() || now->id < old->id) {
      changes.added.push_back(*now++);
    } else {
      if (*old != *now) {
        changes.changed.push_back({.before = *old, .after = *now});
      }
      ++old;
      ++now;
    }
  }
  return changes;
}

}  // namespace

std::shared_ptr<const target_list> TargetsOf(
    std::shared_ptr<const service_view> view) {
  const target_list* const targets = &view->targets;
  return {std::move(view), targets};
}

target_changes target_directory::Set(
    std::shared_ptr<const target_list> targets) {
  if (!std::ranges::is_sorted(*targets, {}, &target_entry::id)) {
    auto sorted = std::make_shared<target_list>(*targets);
    std::ranges::sort(*sorted, {}, &target_entry::id);
    targets = std::move(sorted);
  }
  target_changes changes = ChangesBetween(*targets_, *targets);
  targets_ = std::move(targets);
  for (const target_entry& each : changes.removed) {
    Unplace(each);
  }
  for (const changed_target& each : changes.changed) {
    if (each.before.address.ip != each.after.address.ip) {
      Unplace(each.before);
      Place(each.after);
    }
  }
  for (const target_entry& each : changes.added) {
    Place(each);
  }
  return changes;
}

void target_directory::Place(const target_entry& target) {
  ids_at_[target.address.ip].push_back(target.id);
}

void target_directory::Unplace(const target_entry& target) {
  const auto place = ids_at_.find(target.address.ip);
  std::erase(place->second, target.id);
  if (place->second.empty()) {
    ids_at_.erase(place);
  }
}

const target_entry* target_directory::Find(std::string_view id) const {
  const auto found =
      std::ranges::lower_bound(*targets_, id, {}, &target_entry::id);
  return found != targets_->end() && found->id == id ? &*found : nullptr;
}

std::vector<const target_entry*> target_directory::At(
    const std::string& ip) const {
  std::vector<const target_entry*> found;
  const auto place = ids_at_.find(ip);
  if (place != ids_at_.end()) {
    for (const std::string& id : place->second) {
      found.push_back(Find(id));
    }
  }
  return found;
}

bool target_directory::IsListed(const endpoint& address) const {
  return std::ranges::any_of(At(address.ip), [&](const target_entry* each) {
    return each->address == address;
  });
}

}  // namespace pistachioweir
