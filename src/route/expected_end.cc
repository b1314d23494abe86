// Target selection by the expected completion time and failure rate of a call.
#include <algorithm>
#include <limits>
#include <vector>

#include "include/route/balancer.h"

namespace pistachioweir {
namespace {

// A remote target must be expected to complete the call earlier by this
// fraction of its objective. Cross-data-centre traffic costs money and link
// capacity, and a call that ends well within its objective gains nothing by
// ending earlier.
constexpr double kRemoteCost = 1.0 / 8;
// Cost of a failure, in objectives: the time of another attempt. A call that
// may not be sent again is lost instead.
constexpr double kFailureCost = 2;
constexpr double kLostCost = 6;
// Failure rates below this, and the rate that the best target has as well,
// don't affect selection: they fluctuate randomly, and where a downstream
// service refuses, the targets of all data centres fail alike.
constexpr double kToleratedFailures = 0.15;
// Targets whose costs differ by less than this fraction of the objective are
// equivalent, and the least utilized of them is selected. Otherwise the fastest
// would get all calls until it is full, and a new one none.
constexpr double kCostTolerance = 1.0 / 16;
// Above this utilization a target is expected to become slower, by up to half
// when it is full.
constexpr double kBusyThreshold = 0.7;
constexpr double kBusySlowdown = 0.5;
// A target that has just started takes about twice as long.
constexpr double kColdFactor = 2;

double Count(duration time) {
  return static_cast<double>(time.count());
}

}  // namespace

// Utilization of the target with one more call.
double balancer::Utilization(const target& of, time_point now) {
  return (of.in_flight + OtherLoad(of, now) + 1) / std::max(1.0, of.limit);
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
  const double full = Utilization(of, now);
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
  std::vector<std::uint32_t> eligible;
  for (const target_ring* const ring : {&local_, &remote_}) {
    ring->Choose(
        [&](std::uint32_t index) {
          return Usable(targets_[index], tier, now) &&
                 !IsExcluded(request, index) &&
                 !Refuses(targets_[index], request, now);
        },
        [&](std::uint32_t index) {
          return Utilization(targets_[index], now) <= 1;
        },
        &eligible);
  }
  std::ranges::sort(eligible);
  std::vector<option> options;
  options.reserve(eligible.size());
  double lowest_failure_rate = 1;
  for (const std::uint32_t index : eligible) {
    options.push_back({.index = index});
    lowest_failure_rate =
        std::min(lowest_failure_rate, estimates_.FailureRate(index, now));
  }
  double min_cost = std::numeric_limits<double>::max();
  for (option& each : options) {
    each.cost = ExpectedCost(each.index, request,
                             lowest_failure_rate + kToleratedFailures, now);
    min_cost = std::min(min_cost, each.cost);
  }
  const double max_cost = min_cost + kCostTolerance * Count(request.objective);
  std::uint32_t chosen = kNone;
  // Starts at a random index, so that equivalent targets get equal shares.
  for (std::size_t i = 0; i < options.size(); ++i) {
    const option& examined = options[(random + i) % options.size()];
    const bool less_utilized =
        chosen == kNone || Utilization(targets_[examined.index], now) <
                               Utilization(targets_[chosen], now);
    if (examined.cost <= max_cost && less_utilized) {
      chosen = examined.index;
    }
  }
  return chosen;
}

}  // namespace pistachioweir
