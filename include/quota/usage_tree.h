// usage_tree: which daemon a daemon reports the use of quotas to.
//
// Pure logic; quota_sharing keeps one.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "include/base/time.h"

namespace pistachioweir {

struct usage_tree_options {
  std::string self;  // IP number.
  // Daemons that report to one; bounds its work whatever the fleet's size.
  std::size_t fan_out = 64;
  // A daemon that doesn't answer for this long is passed over, and tried again
  // after the second time. Several reports fall into the first.
  milliseconds parent_timeout{700};
  milliseconds parent_backoff{3000};
};

// A heap over the daemons in the order of a hash of their addresses. Each
// reports to one that stands before it, so that there is no ring however the
// daemons' lists differ.
class usage_tree {
 public:
  explicit usage_tree(usage_tree_options options)
      : options_(std::move(options)) {}

  void SetDaemons(std::vector<std::string> ips);
  void OnResponse(const std::string& ip, time_point now);

  // Nothing for the first daemon that is in reach. Call several times within
  // `silence`.
  [[nodiscard]] std::optional<std::string> Parent(time_point now);

  [[nodiscard]] std::size_t daemons() const { return daemons_; }

 private:
  [[nodiscard]] std::optional<std::string> Choose(time_point now) const;

  const usage_tree_options options_;
  std::vector<std::string> predecessors_;  // In the order, before this daemon.
  std::size_t daemons_ = 1;
  std::map<std::string, time_point> unresponsive_;  // Since when.
  std::optional<std::string> parent_;
  time_point last_response_at_;  // From the parent, or since it was chosen.
  time_point last_call_at_;      // The last call of Parent().
};

}  // namespace pistachioweir
