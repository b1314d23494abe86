// capacity_shares: which share of each kind of root requests a target has
// capacity for, from the slot time that their calls take.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "include/admit/entrance_limiter.h"
#include "include/base/time.h"
#include "include/route/kind_index.h"

namespace pistachioweir {

// A call as it arrives at a target.
struct capacity_call {
  std::uint32_t root = 0;  // Index of the root's kind.
  std::uint32_t rank = 0;
  double admitted_share = 1;  // Of the root.
  // Hash of the root request's id. If ids don't tell the root, that of the
  // call: each call is then taken for a root of its own.
  std::uint64_t request = 0;
};

// For demand above the capacity of a service that other services call for their
// requests. What it refuses has cost all hops above; so each root kind is
// assigned a share here, which the daemons at the entrance of the call trees
// apply before anything runs.
//
// Demand is the number of roots that calls arrive for, times the calls and the
// slot time that a root of the kind takes here when nothing is refused. A root
// that was admitted with the share s stands for 1/s roots. The measured demand
// is therefore that before any admission and without refusals, and shares
// follow from it directly: they don't change what is measured, so there is no
// control loop that could oscillate. Slot time includes the target's speed.
//
// Pure logic; the owner keeps one per target. Roots are given by the indices of
// a kind_index.
class capacity_shares {
 public:
  // Index of calls that can't be attributed to a root: their demand takes
  // capacity, but nothing can be refused for it.
  static constexpr std::uint32_t kUnattributed = kind_index::kMaxKinds;

  // Interval of measurement and assignment.
  static constexpr milliseconds kPeriod{200};
  // Weight of the last period in the measured demand: averages over about four
  // periods, so that the return of the shares fits into two seconds with three
  // hops of averaging above.
  static constexpr double kDemandWeight = 0.4;
  // What remains of the older sums of run times, and of calls per root, after
  // each period. Both are properties of a kind and change slowly.
  static constexpr double kCostMemory = 0.9;
  static constexpr double kRootMemory = 0.98;
  // Reserve for variation, as a part of the usable slots.
  static constexpr double kReserve = 0.05;
  // Each kind gets at least this part of the mean share, so that none starves.
  static constexpr double kFloor = 0.3;
  // Calls that can't be attributed reduce the capacity at most to this part.
  static constexpr double kMinAssignable = 0.1;
  // Kinds of a rank whose costs differ by less than this factor share in
  // proportion: an order by costs that are nearly equal would change at random.
  static constexpr double kSimilarCost = 1.25;
  // Demand above the usable slots counts as overload if more than this part of
  // the calls is refused, or if it exceeds them by this factor: on a busy day
  // without overload, the measured demand exceeds the slots now and then by
  // chance.
  static constexpr double kRefusedInOverload = 0.02;
  static constexpr double kCertainOverload = 1.25;
  // Overload has ended once the demand is below the first factor, or below the
  // second one while hardly any call is refused: targets of a service are not
  // loaded equally, and what one has no room for may fit on another.
  static constexpr double kOverloadEnd = 0.97;
  static constexpr double kUnrefusedOverloadEnd = 1.1;
  static constexpr double kHardlyRefused = 0.005;
  // Calls per root are learnt only while at most this part of a kind's calls is
  // refused or fails: a call without success ends its root, whose later calls
  // are then missing.
  static constexpr double kFailedWhileLearning = 0.05;
  // Bounds the weight of a call and thereby the noise.
  static constexpr double kMinShare = entrance_limiter::kMinShare;

  capacity_shares();

  // Usable slots of this target, and the number of targets of its service, over
  // which the calls of a root are spread. A refused call is sent to at most
  // `max_sends` of them.
  void SetCapacity(double slots,
                   std::uint32_t targets,
                   std::uint32_t max_sends);

  // A call has arrived, whatever becomes of it. Not for repeats, or calls of
  // runs that are repeats: they aren't demand of their own.
  void OnArrival(const capacity_call& call, time_point now);
  // A call reported to OnArrival() was refused for lack of capacity without
  // running.
  void OnRefused(const capacity_call& call);
  // A run of a call reported to OnArrival() has failed. Like a refused call, it
  // may end its root; unlike that, it isn't sent to other targets for nothing.
  // Not for calls that the target rejected without running them: they are sent
  // again, and tell nothing of the slots.
  void OnFailed(const capacity_call& call);
  // A run has succeeded within `served`. Not for failed ones: a target that
  // rejects calls at once would seem fast.
  void OnCompleted(std::uint32_t root, duration served);

  // Assigns the shares again if a period has passed.
  void Update(time_point now);

  // Between kMinShare and 1.
  [[nodiscard]] double share(std::uint32_t root) const {
    return kinds_[root].share;
  }
  // In slots, of all kinds, before any admission.
  [[nodiscard]] double demand() const;
  [[nodiscard]] double demand(std::uint32_t root) const {
    return kinds_[root].demand;
  }
  [[nodiscard]] bool overloaded() const { return overloaded_; }
  // Estimated slot time of one root request, on all targets of the service.
  [[nodiscard]] double CostSeconds(std::uint32_t root) const;

 private:
  struct kind {
    // In this period; weighted with 1 / admitted share.
    double arrived = 0;
    double refused = 0;
    double failed = 0;
    double arrived_roots = 0;  // Different root requests in `arrived`.
    // In this period, not weighted.
    double new_calls = 0;
    double new_roots = 0;
    // Decaying sums.
    double run_seconds = 0;
    double runs = 0;
    double calls = 0;
    double roots = 0;  // Different root requests in `calls`.
    double rank = 0;   // Mean of the last calls.
    // Results of the last update.
    double calls_per_root = 1;
    double demand = 0;  // In slots.
    double refused_part = 0;
    double share = 1;
  };

  [[nodiscard]] double MeanRunSeconds(const kind& state) const;
  [[nodiscard]] double PeriodCalls(const kind& state) const;
  void LearnCallsPerRoot(kind* state, double keep) const;
  void Measure(double periods, double seconds);
  void UpdateOverload();
  void Assign();

  double slots_ = 1;
  std::uint32_t targets_ = 1;
  std::uint32_t max_sends_ = 1;
  std::array<kind, kind_index::kMaxKinds + 1> kinds_{};
  kind all_;  // Run times of all kinds, for those without a completed run.
  // Upper bits of the last root request's hash, by its lower bits. A root's
  // calls arrive within its duration; in that time, few others take its place.
  std::vector<std::uint32_t> recent_roots_;
  time_point updated_;
  bool overloaded_ = false;
};

}  // namespace pistachioweir
