// Walks over the call graph. Depth of recursion is bounded by the number of
// methods, since no method is visited twice.
#include "src/config/call_graph.h"

#include <algorithm>
#include <map>
#include <utility>

namespace pistachioweir {
namespace {

enum class visit_state { kNew, kOnPath, kDone };

std::string Milliseconds(milliseconds value) {
  return std::to_string(value.count()) + " ms";
}

}  // namespace

call_graph::call_graph(const manifest_set& set) : set_(set) {
  std::map<const method_spec*, std::size_t> index_of;
  for (const service_manifest& manifest : set.manifests()) {
    for (const method_spec& method : manifest.methods) {
      index_of[&method] = nodes_.size();
      nodes_.push_back({.manifest = &manifest, .method = &method});
    }
  }
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    for (const downstream_call& call : nodes_[i].method->calls) {
      const method_spec* callee = set.FindMethod(call.service, call.method);
      if (callee == nullptr) {
        nodes_[i].calls_unknown = true;
        continue;
      }
      const std::size_t target = index_of.at(callee);
      nodes_[i].callees.push_back(target);
      nodes_[target].callers.push_back(i);
    }
  }
}

std::string call_graph::Name(std::size_t index) const {
  return nodes_[index].manifest->service + "/" + nodes_[index].method->name;
}

std::string call_graph::Place(std::size_t index) const {
  return "method " + Name(index);
}

config_errors call_graph::MissingCallees() const {
  config_errors errors;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    for (const downstream_call& call : nodes_[i].method->calls) {
      if (set_.Find(call.service) == nullptr) {
        errors.push_back(
            {.place = Place(i),
             .problem = "calls service " + call.service + ", which is missing",
             .expected = "a manifest of " + call.service});
      } else if (set_.FindMethod(call.service, call.method) == nullptr) {
        errors.push_back(
            {.place = Place(i),
             .problem = "calls " + call.service + "/" + call.method +
                        ", which is missing",
             .expected = "a method that " + call.service + " has"});
      }
    }
  }
  return errors;
}

struct call_graph::walk {
  std::vector<visit_state> states;
  // Methods on the longest chain that starts at a node; valid once it is done.
  std::vector<std::size_t> depths;
  std::vector<std::size_t> path;
  config_errors cycles;
};

void call_graph::Visit(std::size_t index, walk* state) const {
  state->states[index] = visit_state::kOnPath;
  state->path.push_back(index);
  std::size_t below = 0;
  for (const std::size_t callee : nodes_[index].callees) {
    if (state->states[callee] == visit_state::kNew) {
      Visit(callee, state);
    } else if (state->states[callee] == visit_state::kOnPath) {
      std::string around;
      const auto start = std::ranges::find(state->path, callee);
      for (auto it = start; it != state->path.end(); ++it) {
        around += Name(*it) + " -> ";
      }
      state->cycles.push_back(
          {.place = Place(callee),
           .problem = "calls itself: " + around + Name(callee),
           .expected = "a call graph without cycles"});
    }
    below = std::max(below, state->depths[callee]);
  }
  state->depths[index] = below + 1;
  state->states[index] = visit_state::kDone;
  state->path.pop_back();
}

config_errors call_graph::CyclesAndDepth() const {
  walk state{.states = std::vector<visit_state>(nodes_.size()),
             .depths = std::vector<std::size_t>(nodes_.size()),
             .path = {},
             .cycles = {}};
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (state.states[i] == visit_state::kNew) {
      Visit(i, &state);
    }
  }
  config_errors errors = std::move(state.cycles);
  if (!errors.empty()) {
    return errors;  // Depths mean nothing around a cycle.
  }
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (nodes_[i].callers.empty() && state.depths[i] > kMaxCallDepth) {
      errors.push_back(
          {.place = Place(i),
           .problem = "starts a chain of " + std::to_string(state.depths[i]) +
                      " methods",
           .expected = "at most " + std::to_string(kMaxCallDepth)});
    }
  }
  return errors;
}

config_errors call_graph::TimeoutInversions() const {
  config_errors errors;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    const method_spec& caller = *nodes_[i].method;
    for (const std::size_t callee : nodes_[i].callees) {
      const method_spec& called = *nodes_[callee].method;
      if (called.timeout > caller.timeout) {
        errors.push_back(
            {.place = Place(callee),
             .problem = "timeout of " + Milliseconds(called.timeout) +
                        " is longer than its caller " + Name(i) + " waits",
             .expected = "at most " + Milliseconds(caller.timeout)});
      }
    }
  }
  return errors;
}

config_errors call_graph::PriorityInversions() const {
  config_errors warnings;
  const std::vector<bool> at_most_once = ReachesAtMostOnce();
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    const priority level = nodes_[i].method->level;
    for (const std::size_t callee : nodes_[i].callees) {
      if (!at_most_once[callee] || nodes_[callee].method->level >= level) {
        continue;
      }
      warnings.push_back(
          {.place = Place(i),
           .problem =
               std::string(kPriorityNames.Name(level)) + " method calls " +
               Name(callee) + ", which is " +
               std::string(kPriorityNames.Name(nodes_[callee].method->level)) +
               " but inherits the lower priority here",
           .expected = "a caller as important as what it calls"});
    }
  }
  return warnings;
}

std::vector<bool> call_graph::ReachesAtMostOnce() const {
  std::vector<bool> reaches(nodes_.size());
  std::vector<std::size_t> todo;
  const auto mark = [&](std::size_t index) {
    if (!reaches[index]) {
      reaches[index] = true;
      todo.push_back(index);
    }
  };
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (nodes_[i].method->at_most_once || nodes_[i].calls_unknown) {
      mark(i);
    }
  }
  while (!todo.empty()) {
    const std::size_t index = todo.back();
    todo.pop_back();
    std::ranges::for_each(nodes_[index].callers, mark);
  }
  return reaches;
}

}  // namespace pistachioweir
