// usage_tree: selects the daemon to which a daemon reports.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "include/base/time.h"
#include "include/route/daemon_order.h"

namespace pistachioweir {

struct usage_tree_options {
  std::string self;  // IP address.
  std::string data_centre;
  // Maximum number of children of a daemon; bounds its work for any fleet size.
  std::size_t fan_out = 64;
  // A parent that does not respond for `parent_timeout` is skipped, and retried
  // after `parent_backoff`. Several reports fall into `parent_timeout`.
  milliseconds parent_timeout{700};
  milliseconds parent_backoff{3000};
};

// Each daemon reports to one that precedes it in the order of all daemons, so
// that reports never form a cycle even if the lists of the daemons differ.
//
// A small fleet is one heap. In a larger one each data centre is a heap, and
// the first daemon of each data centre reports to the first of all: one heap
// would send nearly all reports across data centres, at a cost that grows with
// the fleet.
//
// Pure logic; each report_parent keeps one.
class usage_tree {
 public:
  explicit usage_tree(usage_tree_options options)
      : options_(std::move(options)) {}

  void SetDaemons(const daemon_order& order);
  void OnResponse(const std::string& ip, time_point now);

  // Returns nullopt if this daemon is the root, that is, no predecessor is
  // usable. Call several times within `parent_timeout`.
  [[nodiscard]] std::optional<std::string> Parent(time_point now);

  [[nodiscard]] std::size_t daemons() const { return daemons_; }

 private:
  [[nodiscard]] std::optional<std::string> Choose() const;
  // The parent in a heap of these daemons, without unresponsive ones.
  [[nodiscard]] std::optional<std::string> ParentInHeap(
      const std::vector<std::string>& predecessors) const;
  [[nodiscard]] bool IsDivided(const daemon_order& order) const;

  const usage_tree_options options_;
  // Predecessors in order: those of the heap that this daemon belongs to, and
  // if that is of its data centre, the first ones of all.
  std::vector<std::string> predecessors_;
  std::vector<std::string> first_;
  std::size_t daemons_ = 1;
  // Since when; for `parent_backoff`.
  std::map<std::string, time_point> unresponsive_;
  std::optional<std::string> parent_;
  time_point last_response_at_;  // Of the parent, or when it was chosen.
  time_point last_call_at_;      // The last call of Parent().
};

}  // namespace pistachioweir
