// call_graph: which method calls which, over a set of manifests.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "include/config/config_error.h"
#include "include/config/manifest_set.h"

namespace pistachioweir {

// Refers to a manifest_set that outlives it.
class call_graph {
 public:
  explicit call_graph(const manifest_set& set);

  // Calls whose service or method is not in the set.
  [[nodiscard]] config_errors MissingCallees() const;
  // One error for each cycle that a walk meets, with the path around it; else
  // one for each root of a chain of more than kMaxCallDepth methods.
  [[nodiscard]] config_errors CyclesAndDepth() const;
  [[nodiscard]] config_errors TimeoutInversions() const;
  // Calls of an at-most-once method by a less important one.
  [[nodiscard]] config_errors PriorityInversions() const;

  // For each node whether an at-most-once or unknown method can be reached.
  [[nodiscard]] std::vector<bool> ReachesAtMostOnce() const;

  struct node {
    const service_manifest* manifest = nullptr;
    const method_spec* method = nullptr;
    std::vector<std::size_t> callees;  // Indices of nodes.
    std::vector<std::size_t> callers;
    bool calls_unknown = false;
  };

  // In the order of the set's manifests and their methods.
  [[nodiscard]] const std::vector<node>& nodes() const { return nodes_; }

 private:
  struct walk;
  void Visit(std::size_t index, walk* state) const;
  [[nodiscard]] std::string Name(std::size_t index) const;
  [[nodiscard]] std::string Place(std::size_t index) const;

  const manifest_set& set_;
  std::vector<node> nodes_;
};

}  // namespace pistachioweir
