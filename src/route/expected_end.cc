// Placing by the expected end of a call: when, and whether well.
#include <algorithm>
#include <limits>
#include <vector>

#include "include/route/balancer.h"

namespace pistachioweir {
namespace {

// A target in another data centre must be expected to end the call earlier by
// this part of its objective. Traffic between data centres costs money and the
// links' room, and a call that ends well within its objective gains nothing by
// ending earlier.
constexpr double kRemoteCost = 1.0 / 8;
// What a failure costs, in objectives: the time of another try. A call that may
// not be sent again is lost instead.
constexpr double kFailureCost = 2;
constexpr double kLostCost = 6;
// Failures below this part, and those that the best target has as well, are no
// reason to go elsewhere: they swing by chance, and where a service further
// down refuses, the targets of all data centres fail alike.
constexpr double kToleratedFailures = 0.15;
// Targets whose expected ends differ by less than this part of the objective
// are as good as each other, and the emptiest of them is taken. Else the
// fastest would get all calls until it is full, and a new one none.
constexpr double kCostTolerance = 1.0 / 16;
// From this part of its slots on a target is taken to become slower, up to half
// as slow again when it is full.
constexpr double kBusyThreshold = 0.7;
constexpr double kBusySlowdown = 0.5;
// A target that has just started takes about twice the time.
constexpr double kColdFactor = 2;

double Count(duration time) {
  return static_cast<double>(time.count());
}

}  // namespace

// How full the target would be with one more call.
double balancer::Utilization(const target& of) {
  return (of.in_flight + of.other_load + 1) / std::max(1.0, of.limit);
}

// In nanoseconds.
double balancer::ExpectedCost(std::uint32_t index,
                              const placement_request& request,
                              double tolerated_failures,
                              time_point now) const {
  const target& of = targets_[index];
  const double objective = Count(request.objective);
  double run = Count(estimates_.RunTime(index, request.method));
  if (now < of.warm_from) {
    run *= kColdFactor;
  }
  const double full = Utilization(of);
  const double busy =
      std::clamp((full - kBusyThreshold) / (1 - kBusyThreshold), 0.0, 1.0);
  const double wait =
      std::max(0.0, full - 1) * Count(estimates_.MeanRunTime(index));
  const double failed =
      std::max(0.0, estimates_.FailureRate(index, now) - tolerated_failures);
  return run * (1 + kBusySlowdown * busy) + wait +
         (of.local ? 0 : kRemoteCost * objective) +
         failed * objective * (request.at_most_once ? kLostCost : kFailureCost);
}

std::uint32_t balancer::ChooseByExpectedEnd(const placement_request& request,
                                            target_tier tier,
                                            time_point now,
                                            std::uint64_t random) const {
  struct option {
    std::uint32_t index = kNone;
    double cost = 0;
  };
  std::vector<option> options;
  double lowest_failure_rate = 1;
  for (const std::uint32_t index : all_) {
    if (Usable(targets_[index], tier, now) && !WasTried(request, index) &&
        !Refuses(targets_[index], request, now)) {
      options.push_back({.index = index});
      lowest_failure_rate =
          std::min(lowest_failure_rate, estimates_.FailureRate(index, now));
    }
  }
  double min_cost = std::numeric_limits<double>::max();
  for (option& each : options) {
    each.cost = ExpectedCost(each.index, request,
                             lowest_failure_rate + kToleratedFailures, now);
    min_cost = std::min(min_cost, each.cost);
  }
  const double max_cost = min_cost + kCostTolerance * Count(request.objective);
  std::uint32_t chosen = kNone;
  // From a random place on, so that equals get equal shares.
  for (std::size_t i = 0; i < options.size(); ++i) {
    const option& examined = options[(random + i) % options.size()];
    const bool less_utilized =
        chosen == kNone ||
        Utilization(targets_[examined.index]) < Utilization(targets_[chosen]);
    if (examined.cost <= max_cost && less_utilized) {
      chosen = examined.index;
    }
  }
  return chosen;
}

}  // namespace pistachioweir
