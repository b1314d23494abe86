// The deployments of the brief at its sizes, and the scenarios.
#include "tools/load_model/scenario.h"

#include <algorithm>

namespace pistachioweir {

namespace {

// Between a daemon and another in its own data centre, one way.
constexpr double kNearestRoundTrip = 0.0002;

// Eleven services share the same 200 ms.
duration OwnTime(std::uint32_t depth) {
  return depth > 3 ? milliseconds(4) : milliseconds(10);
}

std::vector<model_service> Chain(std::uint32_t depth,
                                 const model_service& outer,
                                 const model_service& deepest) {
  std::vector<model_service> chain(depth - 1, outer);
  chain.push_back(deepest);
  for (std::uint32_t i = 0; i < depth; ++i) {
    chain[i].name += "-" + std::to_string(i + 1);
    chain[i].own_time = OwnTime(depth);
  }
  return chain;
}

}  // namespace

std::vector<deployment> Deployments(std::uint32_t depth) {
  return {
      {.name = "maszty-razem",
       .data_centre_latency = microseconds(1500),
       .client_latency = milliseconds(8),
       .chain =
           Chain(depth, {.name = "contracts", .slots = 40, .connections = 300},
                 {.name = "lease-terms", .slots = 15, .connections = 200}),
       .methods = {{"sign", priority::kCritical, 0.05},
                   {"invoice", priority::kCritical, 0.05},
                   {"lookup", priority::kNormal, 0.6},
                   {"availability", priority::kLow, 0.3}}},
      {.name = "oficinas-andinas",
       .data_centre_latency = milliseconds(1),
       .client_latency = milliseconds(3),
       .chain = Chain(
           depth, {.name = "mail", .slots = 140, .connections = 900},
           depth == 1
               ? model_service{.name = "mail", .slots = 140, .connections = 900}
               : model_service{.name = "organisation-records",
                               .slots = 30,
                               .connections = 300}),
       .methods = {{"register", priority::kCritical, 0.05},
                   {"invoice", priority::kCritical, 0.05},
                   {"records", priority::kNormal, 0.4},
                   {"listing", priority::kLow, 0.5}}}};
}

std::vector<scenario> Scenarios() {
  return {
      {.name = "burst",
       .surge = 5,
       .burst_period = seconds(1),
       .burst_length = milliseconds(100)},
      {.name = "skewed-entry", .load = 0.85, .skewed_entry = true},
      {.name = "skewed-method", .skewed_method = 6},
      {.name = "slow-target", .slow_targets = 1, .slow_factor = 5},
      {.name = "mixed-work", .surge = 2, .long_share = 0.1, .long_factor = 8},
      {.name = "saturation",
       .trigger_end = seconds(62),
       .end = seconds(66),
       .surge = 3},
      {.name = "saturation-honour",
       .surge = 4,
       .callers = caller_kind::kHonours},
      {.name = "surge",
       .surge = 3,
       .callers = caller_kind::kResends,
       .slow_targets = kTargetsPerService,
       .slow_factor = 5},
      {.name = "cold-start", .replaced = true},
      {.name = "crashing", .callers = caller_kind::kResends, .crashing = true},
      {.name = "misleading", .surge = 1.5, .missing_slots = 0.5},
      {.name = "old-view", .silent = true},
  };
}

double Capacity(const deployment& where) {
  double held = 0;
  double least = 1e12;
  for (std::size_t i = where.chain.size(); i-- > 0;) {
    const model_service& service = where.chain[i];
    held += std::chrono::duration<double>(service.own_time).count();
    least = std::min(least, kTargetsPerService * service.slots / held);
    held += kNearestRoundTrip;
  }
  return least;
}

bool InTrigger(const scenario& what, duration at) {
  return at >= what.trigger_start && at < what.trigger_end;
}

double DemandAt(const deployment& where, const scenario& what, duration at) {
  const double normal = Capacity(where) * what.load;
  if (!InTrigger(what, at)) {
    return normal;
  }
  if (what.burst_period.count() > 0 &&
      (at - what.trigger_start) % what.burst_period >= what.burst_length) {
    return normal;
  }
  const double last = where.methods.back().share;
  return normal * what.surge * (1 + last * (what.skewed_method - 1));
}

}  // namespace pistachioweir
