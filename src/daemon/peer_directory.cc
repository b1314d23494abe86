// Addresses and starts of other daemons.
#include "src/daemon/peer_directory.h"

#include <utility>

namespace pistachioweir {
namespace {

// An executor accepts its present epoch and the one before, each of 30 s. What
// was heard within less than one epoch is therefore still accepted.
constexpr duration kStartFreshness = seconds(20);

constexpr duration kTellInterval = seconds(1);

}  // namespace

void peer_directory::SetView(const fleet_view& view) {
  const std::lock_guard lock(mutex_);
  std::unordered_map<vm_id, entry> entries;
  for (const fleet_service& service : view.services) {
    for (const fleet_target& target : service.targets) {
      entry& added = entries[target.vm];
      const auto known = entries_.find(target.vm);
      if (known != entries_.end()) {
        added = known->second;
      }
      added.address = target.peer;
    }
  }
  entries_ = std::move(entries);
}

bool peer_directory::NoteStart(const vm_id& vm,
                               const executor_start& start,
                               time_point now) {
  const std::lock_guard lock(mutex_);
  const auto known = entries_.find(vm);
  if (known == entries_.end()) {
    return false;
  }
  entry& heard = known->second;
  const bool restarted = heard.start.incarnation != start.incarnation;
  const bool news =
      restarted || heard.failing || now - heard.told >= kTellInterval;
  heard.start = start;
  heard.heard = now;
  heard.failing = false;
  if (news) {
    heard.told = now;
  }
  return news;
}

void peer_directory::NoteLoad(const vm_id& vm, bool loaded) {
  const std::lock_guard lock(mutex_);
  const auto known = entries_.find(vm);
  if (known != entries_.end()) {
    known->second.loaded = loaded;
  }
}

bool peer_directory::IsLoaded(const vm_id& vm) const {
  const std::lock_guard lock(mutex_);
  const auto known = entries_.find(vm);
  return known != entries_.end() && known->second.loaded;
}

void peer_directory::NoteFailure(const vm_id& vm) {
  const std::lock_guard lock(mutex_);
  const auto known = entries_.find(vm);
  if (known != entries_.end()) {
    known->second.failing = true;
  }
}

std::optional<endpoint> peer_directory::AddressOf(const vm_id& vm) const {
  const std::lock_guard lock(mutex_);
  const auto known = entries_.find(vm);
  if (known == entries_.end()) {
    return std::nullopt;
  }
  return known->second.address;
}

std::optional<time_point> peer_directory::HeardAt(const vm_id& vm) const {
  const std::lock_guard lock(mutex_);
  const auto known = entries_.find(vm);
  if (known == entries_.end() || known->second.heard == time_point()) {
    return std::nullopt;
  }
  return known->second.heard;
}

std::optional<executor_start> peer_directory::StartOf(const vm_id& vm,
                                                      time_point now) const {
  const std::lock_guard lock(mutex_);
  const auto known = entries_.find(vm);
  if (known == entries_.end() || known->second.heard == time_point() ||
      now - known->second.heard > kStartFreshness) {
    return std::nullopt;
  }
  return known->second.start;
}

}  // namespace pistachioweir
