// target_changes: what differs between two lists of targets.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "include/forward/service_view.h"

namespace pistachioweir {

struct changed_target {
  target_entry before;
  target_entry after;
};

struct target_changes {
  std::vector<target_entry> added;
  std::vector<changed_target> changed;
  std::vector<target_entry> removed;

  [[nodiscard]] bool empty() const {
    return added.empty() && changed.empty() && removed.empty();
  }
};

using target_list = std::vector<target_entry>;

// Returns the list of a view, which it keeps alive.
[[nodiscard]] std::shared_ptr<const target_list> TargetsOf(
    std::shared_ptr<const service_view> view);

// Finds targets by id and by address. A new list replaces the one before, and
// everything derived from it is updated by the changes alone: while a whole
// fleet starts, each registration changes one of some thousand targets.
//
// Pure logic; forward_daemon, origin and lapsed_targets keep one each.
class target_directory {
 public:
  // Replaces the list, whose ids are unique. Returns what changed.
  target_changes Set(std::shared_ptr<const target_list> targets);

  [[nodiscard]] const std::shared_ptr<const target_list>& targets() const {
    return targets_;
  }
  [[nodiscard]] const target_entry* Find(std::string_view id) const;
  // The targets whose addresses have this IP.
  [[nodiscard]] std::vector<const target_entry*> At(
      const std::string& ip) const;
  [[nodiscard]] bool IsListed(const endpoint& address) const;
  // Number of different IP addresses.
  [[nodiscard]] std::size_t hosts() const { return ids_at_.size(); }

 private:
  void Place(const target_entry& target);
  void Unplace(const target_entry& target);

  std::shared_ptr<const target_list> targets_ =
      std::make_shared<const target_list>();  // In the order of their ids.
  std::unordered_map<std::string, std::vector<std::string>> ids_at_;  // By IP.
};

}  // namespace pistachioweir
