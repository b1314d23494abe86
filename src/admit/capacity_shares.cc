// Measurement of demand by root kind, and assignment of capacity to it.
#include "include/admit/capacity_shares.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <tuple>

namespace pistachioweir {
namespace {

// 64 KB. At 2,000 roots per second that take half a second each, one in 16 is
// displaced before its last call.
constexpr std::size_t kRecentRoots = 16384;
constexpr int kTagShift = 32;
// Roots after which the calls per root are known well enough to wait for the
// end of an overload before learning more.
constexpr double kKnownRoots = 20;
// With more, the ids of calls don't tell their roots.
constexpr double kMaxCallsPerRoot = 64;
constexpr int kBisections = 16;
// Demand in slots below which a kind counts as absent.
constexpr double kNoDemand = 1e-3;
// Weight of one call in the mean rank of its kind; organisations may have ranks
// of their own.
constexpr double kRankWeight = 0.05;

double Seconds(duration time) {
  return std::chrono::duration<double>(time).count();
}

// The calls per root, given how many of them one of `targets` equal targets
// sees of each root of which it sees any.
double CallsPerRoot(double seen, std::uint32_t targets) {
  if (targets <= 1) {
    return std::clamp(seen, 1.0, kMaxCallsPerRoot);
  }
  const double elsewhere = 1 - 1.0 / targets;
  double low = 1;
  double high = kMaxCallsPerRoot;
  for (int i = 0; i < kBisections; ++i) {
    const double calls = (low + high) / 2;
    const double seen_of_calls =
        calls / targets / (1 - std::pow(elsewhere, calls));
    (seen_of_calls < seen ? low : high) = calls;
  }
  return (low + high) / 2;
}

double WeightOf(const capacity_call& call) {
  return 1 / std::clamp(call.admitted_share, capacity_shares::kMinShare, 1.0);
}

}  // namespace

capacity_shares::capacity_shares() : recent_roots_(kRecentRoots) {}

void capacity_shares::SetCapacity(double slots,
                                  std::uint32_t targets,
                                  std::uint32_t max_sends) {
  slots_ = std::max(1.0, slots);
  targets_ = std::max(1U, targets);
  max_sends_ = std::max(1U, max_sends);
}

void capacity_shares::OnArrival(const capacity_call& call, time_point now) {
  Update(now);
  kind& state = kinds_[call.root];
  const double weight = WeightOf(call);
  state.arrived += weight;
  ++state.new_calls;
  const auto tag = static_cast<std::uint32_t>(call.request >> kTagShift);
  std::uint32_t& last = recent_roots_[call.request % kRecentRoots];
  if (last != tag) {
    last = tag;
    state.arrived_roots += weight;
    ++state.new_roots;
  }
  state.rank = state.demand > kNoDemand
                   ? state.rank + kRankWeight * (call.rank - state.rank)
                   : call.rank;
}

void capacity_shares::OnRefused(const capacity_call& call) {
  kinds_[call.root].refused += WeightOf(call);
}

void capacity_shares::OnFailed(const capacity_call& call) {
  kinds_[call.root].failed += WeightOf(call);
}

void capacity_shares::OnCompleted(std::uint32_t root, duration served) {
  for (kind* state : {&kinds_[root], &all_}) {
    state->run_seconds += Seconds(served);
    ++state->runs;
  }
}

double capacity_shares::MeanRunSeconds(const kind& state) const {
  const kind& known = state.runs > 0 ? state : all_;
  return known.runs > 0 ? known.run_seconds / known.runs : 0;
}

double capacity_shares::CostSeconds(std::uint32_t root) const {
  return MeanRunSeconds(kinds_[root]) * kinds_[root].calls_per_root;
}

double capacity_shares::demand() const {
  double sum = 0;
  for (const kind& state : kinds_) {
    sum += state.demand;
  }
  return sum;
}

// The calls that the roots of the period make here if all succeed. A refused
// call is sent to other targets without being marked as a repeat, so that more
// targets see its root; if it ends without success, its root makes no more
// calls, so that fewer see it.
double capacity_shares::PeriodCalls(const kind& state) const {
  if (state.arrived <= 0 || state.calls > kMaxCallsPerRoot * state.roots) {
    return state.arrived;
  }
  const double refused = std::min(1.0, state.refused / state.arrived);
  double tries = 0;     // Of each call.
  double unserved = 1;  // Part of the calls that no target accepts.
  for (std::uint32_t i = 0; i < std::min(targets_, max_sends_); ++i) {
    tries += unserved;
    unserved *= refused;
  }
  const double failed = std::min(1.0, state.failed / state.arrived);
  const double lost = std::min(1.0, unserved + failed);
  const double calls = state.calls_per_root;
  const double made = lost > 0 ? (1 - std::pow(1 - lost, calls)) / lost : calls;
  const double seen = 1 - std::pow(1 - tries / targets_, made);
  const double usually_seen = 1 - std::pow(1 - 1.0 / targets_, calls);
  return state.arrived_roots * state.calls / state.roots * usually_seen / seen;
}

void capacity_shares::LearnCallsPerRoot(kind* state, double keep) const {
  const bool failing =
      state->refused + state->failed > kFailedWhileLearning * state->arrived;
  if (state->new_calls > 0 && (!failing || state->roots < kKnownRoots)) {
    state->calls = keep * state->calls + state->new_calls;
    state->roots = keep * state->roots + state->new_roots;
    state->calls_per_root =
        CallsPerRoot(state->calls / std::max(1.0, state->roots), targets_);
  }
  state->new_calls = 0;
  state->new_roots = 0;
}

void capacity_shares::Measure(double periods, double seconds) {
  const double keep_demand = std::pow(1 - kDemandWeight, periods);
  const double keep_cost = std::pow(kCostMemory, periods);
  const double keep_roots = std::pow(kRootMemory, periods);
  for (kind& state : kinds_) {
    LearnCallsPerRoot(&state, keep_roots);
    const double slots = PeriodCalls(state) / seconds * MeanRunSeconds(state);
    state.demand = slots + keep_demand * (state.demand - slots);
    if (state.arrived > 0) {
      const double refused = std::min(1.0, state.refused / state.arrived);
      state.refused_part =
          refused + keep_demand * (state.refused_part - refused);
    } else {
      state.refused_part *= keep_demand;
    }
    state.arrived = 0;
    state.refused = 0;
    state.failed = 0;
    state.arrived_roots = 0;
    state.run_seconds *= keep_cost;
    state.runs *= keep_cost;
  }
  all_.run_seconds *= keep_cost;
  all_.runs *= keep_cost;
}

void capacity_shares::UpdateOverload() {
  const double total = demand();
  double refused = 0;
  for (const kind& state : kinds_) {
    refused += state.refused_part * state.demand;
  }
  if (overloaded_) {
    overloaded_ =
        total > kUnrefusedOverloadEnd * slots_ ||
        (total > kOverloadEnd * slots_ && refused > kHardlyRefused * total);
  } else {
    overloaded_ = total > kCertainOverload * slots_ ||
                  (total > slots_ && refused > kRefusedInOverload * total);
  }
}

void capacity_shares::Assign() {
  struct claim {
    long rank;
    double cost;
    kind* state;
  };
  std::vector<claim> claims;
  double total = 0;
  for (std::uint32_t i = 0; i < kUnattributed; ++i) {
    kind& state = kinds_[i];
    state.share = 1;
    if (state.demand > kNoDemand) {
      claims.push_back({std::lround(state.rank), CostSeconds(i), &state});
      total += state.demand;
    }
  }
  const double capacity = (1 - kReserve) * slots_;
  double left = std::max(kMinAssignable * capacity,
                         capacity - kinds_[kUnattributed].demand);
  if (!overloaded_ || total <= left) {
    return;
  }
  std::ranges::sort(claims, {}, [](const claim& each) {
    return std::tuple(each.rank, each.cost);
  });
  const double floor = std::max(kMinShare, kFloor * left / total);
  left = std::max(0.0, left - floor * total);
  for (auto first = claims.begin(); first != claims.end();) {
    double wanted = 0;
    auto last = first;
    while (last != claims.end() && last->rank == first->rank &&
           last->cost <= kSimilarCost * first->cost) {
      wanted += (1 - floor) * last->state->demand;
      ++last;
    }
    const double given = std::min(left, wanted);
    left -= given;
    for (; first != last; ++first) {
      first->state->share = floor + (1 - floor) * given / wanted;
    }
  }
}

void capacity_shares::Update(time_point now) {
  const duration passed = now - updated_;
  if (passed < kPeriod) {
    return;
  }
  // The first period has no known start.
  if (updated_ != time_point()) {
    Measure(Seconds(passed) / Seconds(kPeriod), Seconds(passed));
    UpdateOverload();
    Assign();
  }
  updated_ = now;
}

}  // namespace pistachioweir
