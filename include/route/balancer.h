// balancer: chooses for one called service the target that a call is sent to,
// or refuses the call at the entrance.
//
// Pure logic: no I/O, no threads, time and random bits are arguments. The
// owner, a daemon that makes calls, keeps one per called service under its own
// lock. It decides by what it has seen itself, its own calls in flight and the
// load that rode on answers; health and load endpoints lag or mislead.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "include/admit/admission_controller.h"
#include "include/admit/admission_rank.h"
#include "include/base/ids.h"
#include "include/base/outcome.h"
#include "include/base/priority.h"
#include "include/base/time.h"
#include "include/route/target_estimates.h"

namespace pistachioweir {

// How a target is chosen among those that may take the call.
enum class placement_policy : std::uint8_t {
  kRandom,
  kPowerOfTwo,
  // All targets are compared by when and how surely the call is expected to end
  // there; for callers that have many kinds of calls to few targets.
  kExpectedEnd,
};

struct balancer_options {
  std::string data_centre;  // Of the daemon that makes the calls.
  placement_policy policy = placement_policy::kPowerOfTwo;
  bool use_levels = true;    // Refuse at the entrance.
  bool use_ejection = true;  // Eject targets that fail, slow start.
  // Methods of the called service, so that nothing is allocated later; more
  // can follow.
  std::uint32_t methods = 1;
  // Tries of one call, the first included, over different targets. Those that
  // found nobody don't count: after a loss of machines four in a row may be
  // gone, while others are well.
  std::uint32_t max_tries = 3;
};

// One target as membership tells it.
struct target_info {
  vm_id vm;
  std::string data_centre;
  // Its daemon's present start, if known. Another one makes it a new target:
  // what was known of the earlier start, also that it was leaving, is over.
  incarnation_id incarnation{};
  bool leaving = false;
  // Has just started: gets its share step by step.
  bool cold = false;
  // How much longer it is slow after its start, if that is known.
  milliseconds warm_up_left{0};
  // Requests that it runs at a time, if that is known; its load tells later.
  std::uint32_t slots = 1;
};

// Names a target until it is dropped from the list; a stale one is harmless.
struct target_ref {
  std::uint32_t index = 0;
  std::uint32_t generation = 0;

  friend bool operator==(const target_ref&, const target_ref&) = default;
};

// Where one call has been tried already.
struct tried_targets {
  static constexpr std::uint32_t kMax = 8;

  std::array<target_ref, kMax> refs{};
  std::uint32_t count = 0;        // At most kMax.
  std::uint32_t unavailable = 0;  // Of those, where nobody was.
};

struct placement_request {
  std::uint32_t method = 0;  // Index in the called service's manifest.
  priority level = priority::kNormal;
  std::uint8_t ticket = 0;
  // Made by a target while it serves another call: see IsRefusedBy().
  bool is_nested = false;
  tried_targets tried;
  // Within which the call should end; weighs what time is worth against other
  // ends.
  milliseconds objective{1000};
  // Must not be sent again once it has failed.
  bool at_most_once = false;
};

// Either a target, or why there is none: kNoTarget or kOverload, with a time
// to come back. Nothing ran.
struct placement {
  bool placed = false;
  target_ref target;
  reason why = reason::kNone;
  milliseconds retry_after{0};
};

// How a call to a target ended, from the caller's side.
enum class call_result : std::uint8_t {
  kAnswered,  // Completed, whatever the target's status says.
  kErrored,   // Completed; the target says that it failed.
  kRefused,   // Definitely not executed; the daemon there is well.
  kFailed,    // Connection refused or lost, target crashed.
  kTimedOut,  // No answer by the deadline.
  kCancelled  // By this side; says nothing about the target.
};

class balancer {
 public:
  explicit balancer(const balancer_options& options);

  // The list of targets has changed. Targets that stay keep what is known of
  // them; those that are gone or leaving get no new calls.
  void SetTargets(const std::vector<target_info>& targets, time_point now);

  // Chooses a target and counts the call as in flight there, until Finish().
  // The random bits decide ties, candidates and probes.
  placement Place(const placement_request& request,
                  time_point now,
                  std::uint64_t random);

  // The call that Place() counted has ended. `report` is what rode on the
  // answer, or nullptr.
  void Finish(target_ref target,
              std::uint32_t method,
              call_result result,
              duration latency,
              const load_report* report,
              time_point now);

  // The target said itself that it is leaving: no new calls from now on.
  void MarkLeaving(target_ref target);

  // No connection to the target's daemon can be had; or one can again.
  void SetReachable(target_ref target, bool reachable);
  // The target's daemon is stopping, or a new one serves in its place. Unlike
  // leaving, this ends. The target still gets calls that no other can take:
  // the daemons of all targets of a service may be stopping at once.
  void SetStopping(target_ref target, bool stopping);
  // The target's load was heard of apart from an answer.
  void UpdateLoad(target_ref target, const load_report& report, time_point now);

  // Mean pressure that the usable targets told of, from 0 on; what was told
  // longer ago than kPressureLifetime counts as none.
  [[nodiscard]] double Pressure(time_point now) const;
  static constexpr milliseconds kPressureLifetime{500};

  // The present reference of a target, or nothing if it isn't listed.
  [[nodiscard]] std::optional<target_ref> RefOf(std::string_view vm) const;

  // Whether a call that was refused may be tried on another target.
  [[nodiscard]] bool MayTryElsewhere(const placement_request& request,
                                     time_point now) const;
  // Calls of `method` below this are refused here, wherever they would go.
  [[nodiscard]] admission_rank EntranceLevel(std::uint32_t method,
                                             time_point now) const;
  // Empty for a target that is not in the list any more.
  [[nodiscard]] std::string_view VmOf(target_ref target) const;
  // Targets that may get new calls.
  [[nodiscard]] std::uint32_t usable(time_point now) const;

 private:
  static constexpr std::uint32_t kNone = UINT32_MAX;

  struct reported_level {
    admission_rank level = 0;
    time_point received_at;
  };

  struct target {
    target_info info;
    std::uint32_t generation = 0;
    bool listed = false;
    bool leaving = false;
    bool stopping = false;     // Its daemon says so.
    bool unreachable = false;  // Its daemon can't be connected to.
    bool local = false;        // In the caller's own data centre.
    std::uint32_t in_flight = 0;
    // In flight and queued there for other callers, when last heard.
    double other_load = 0;
    double limit = 1;                // Until its load is known.
    double latency = 0;              // Nanoseconds; recent average.
    time_point latency_measured_at;  // When `latency` was last measured.
    time_point warm_from;
    std::uint32_t failures = 0;  // In a row.
    std::uint32_t ejections = 0;
    time_point ejected_until;
    time_point next_probe;
    std::vector<reported_level> levels;  // By method.
    double pressure = 0;
    time_point pressure_received_at;
  };

  // Targets whose daemons serve come first, those with stopping ones second.
  enum class target_tier : std::uint8_t { kServing, kStopping };

  struct candidate {
    std::uint32_t index = kNone;
    double latency = 0;
    double load = 0;
  };

  [[nodiscard]] static bool IsSameIncarnation(const target_info& known,
                                              const target_info& reported);
  [[nodiscard]] bool Reachable(const target& candidate, time_point now) const;
  [[nodiscard]] bool Usable(const target& candidate,
                            target_tier tier,
                            time_point now) const;
  [[nodiscard]] bool WasTried(const placement_request& request,
                              std::uint32_t index) const;
  [[nodiscard]] admission_rank LevelOf(const target& candidate,
                                       std::uint32_t method,
                                       time_point now) const;
  [[nodiscard]] bool Refuses(const target& candidate,
                             const placement_request& request,
                             time_point now) const;
  [[nodiscard]] double LatencyOf(const target& of, time_point now) const;
  [[nodiscard]] double LoadOf(const target& of, time_point now) const;
  [[nodiscard]] candidate Best(const std::vector<std::uint32_t>& group,
                               const placement_request& request,
                               target_tier tier,
                               time_point now,
                               std::uint64_t random) const;
  [[nodiscard]] std::uint32_t Choose(const placement_request& request,
                                     target_tier tier,
                                     time_point now,
                                     std::uint64_t random) const;
  [[nodiscard]] std::uint32_t ChooseByExpectedEnd(
      const placement_request& request,
      target_tier tier,
      time_point now,
      std::uint64_t random) const;
  // A target that refuses calls like this one, to be asked nevertheless.
  [[nodiscard]] std::uint32_t ChooseProbe(const placement_request& request,
                                          time_point now,
                                          bool* any);
  [[nodiscard]] double ExpectedCost(std::uint32_t index,
                                    const placement_request& request,
                                    double tolerated_failures,
                                    time_point now) const;
  [[nodiscard]] static double Utilization(const target& of);
  void RecordFailure(target& failed, time_point now);
  static void SetLoad(target& of, const load_report& report, time_point now);
  [[nodiscard]] bool MayEject(time_point now) const;
  [[nodiscard]] target* Find(target_ref ref);
  [[nodiscard]] const target* Find(target_ref ref) const;

  balancer_options options_;
  target_estimates estimates_;   // By place in `targets_`.
  std::vector<target> targets_;  // Places are reused, never erased.
  std::uint32_t listed_ = 0;
  // Places in `targets_` that are listed; all, and by data centre.
  std::vector<std::uint32_t> all_;
  std::vector<std::uint32_t> local_;
  std::vector<std::uint32_t> remote_;
};

}  // namespace pistachioweir
