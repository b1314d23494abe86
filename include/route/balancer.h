// balancer: selects the target of each call to one service, or refuses the call
// before it is sent.
//
// Pure logic: no I/O and no threads; time and random bits are arguments. The
// owner, a daemon that makes calls, keeps one per called service under its own
// lock. Decisions use its own observations, its calls in flight and the load
// piggybacked on answers; health and load endpoints lag or mislead.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "include/admit/admission_controller.h"
#include "include/admit/admission_rank.h"
#include "include/base/ids.h"
#include "include/base/outcome.h"
#include "include/base/priority.h"
#include "include/base/time.h"
#include "include/route/target_estimates.h"
#include "include/route/target_ring.h"

namespace pistachioweir {

// How a target is selected among the eligible ones.
enum class placement_policy : std::uint8_t {
  kRandom,
  kPowerOfTwo,
  // Compares the targets of the caller's rings by the expected completion time
  // and failure rate of the call; for callers with many kinds of calls.
  kExpectedEnd,
};

struct balancer_options {
  std::string data_centre;  // Of the daemon that makes the calls.
  placement_policy policy = placement_policy::kPowerOfTwo;
  bool use_levels = true;    // Refuse by targets' levels.
  bool use_ejection = true;  // Eject targets that fail, slow start.
  // Methods of the called service, to allocate their state up front; more can
  // follow.
  std::uint32_t methods = 1;
  // Attempts of one call, the first included, over different targets. Attempts
  // at unavailable targets don't count: after a loss of machines four in a row
  // may be down while others are healthy.
  std::uint32_t max_tries = 3;
};

// One target as reported by membership.
struct target_info {
  vm_id vm;
  std::string data_centre;
  // Its daemon's current incarnation, if known. A different one makes it a new
  // target: everything known of the earlier one, including that it was leaving,
  // is discarded.
  incarnation_id incarnation{};
  bool leaving = false;
  // Has just started: gets its share gradually.
  bool cold = false;
  // Remaining warm-up time after its start, if known.
  milliseconds warm_up_left{0};
  // Concurrency limit, if known; replaced by its load reports.
  std::uint32_t slots = 1;
};

// What has changed in the list of targets.
struct target_list_changes {
  std::vector<target_info>
      updated;  // New targets, or new values of known ones.
  std::vector<vm_id> removed;
};

// Identifies a target until it is removed from the list; a stale reference is
// harmless.
struct target_ref {
  std::uint32_t index = 0;
  std::uint32_t generation = 0;

  friend bool operator==(const target_ref&, const target_ref&) = default;
};

// The targets at which one call has been attempted.
struct tried_targets {
  static constexpr std::uint32_t kMax = 8;

  std::array<target_ref, kMax> refs{};
  std::uint32_t count = 0;        // At most kMax.
  std::uint32_t unavailable = 0;  // Included in `count`.
};

struct placement_request {
  std::uint32_t method = 0;  // Index in the called service's manifest.
  priority level = priority::kNormal;
  std::uint8_t ticket = 0;
  // Made by a target while it serves another call: see IsRefusedBy().
  bool is_nested = false;
  tried_targets tried;
  // Only the targets in `tried` are eligible, instead of all others.
  bool among_tried = false;
  // Latency objective of the call; weighs completion time against other costs.
  milliseconds objective{1000};
  // Must not be sent again after a failure.
  bool at_most_once = false;
};

// Either a target, or the reason why there is none (kNoTarget or kOverload) and
// a retry delay; nothing ran.
struct placement {
  bool placed = false;
  target_ref target;
  reason why = reason::kNone;
  milliseconds retry_after{0};
};

// How a call to a target ended, from the caller's side.
enum class call_result : std::uint8_t {
  kAnswered,  // Completed, with any status of the target.
  kErrored,   // Completed; the target reports a failure.
  kRefused,   // Definitely not executed; the daemon is healthy.
  kFailed,    // Connection refused or lost, target crashed.
  kTimedOut,  // No answer by the deadline.
  kCancelled  // By the caller; says nothing about the target.
};

class balancer {
 public:
  explicit balancer(const balancer_options& options);

  // Updates the list of targets. Targets that remain keep their state; removed
  // or leaving ones get no new calls.
  void SetTargets(const std::vector<target_info>& targets, time_point now);
  // The same for a list of which only the changes are known: the work is
  // proportional to those.
  void UpdateTargets(const target_list_changes& changes, time_point now);

  // Sets the caller's position on the rings, from 0 up to 1.
  void SetPosition(double position);

  // Selects a target and counts the call as in flight there until Finish(). The
  // random bits decide ties, candidates and probes.
  placement Place(const placement_request& request,
                  time_point now,
                  std::uint64_t random);

  // The call counted by Place() has ended. `report` is the load report of the
  // answer, or nullptr.
  void Finish(target_ref target,
              std::uint32_t method,
              call_result result,
              duration latency,
              const load_report* report,
              time_point now);

  // The target has announced that it is leaving: it gets no new calls.
  void MarkLeaving(target_ref target);

  // Whether the target's daemon can be connected to.
  void SetReachable(target_ref target, bool reachable);
  // The target's daemon is stopping, or a new one serves in its place. Unlike
  // leaving, this state is temporary. The target still gets calls that no other
  // can take: the daemons of all targets of a service may be stopping at once.
  void SetStopping(target_ref target, bool stopping);
  // The target's load was received apart from an answer.
  void UpdateLoad(target_ref target, const load_report& report, time_point now);

  // How many requests a second the target takes, as it says itself; nothing for
  // any number.
  void SetRateLimit(target_ref target, std::optional<double> per_second);

  // Mean pressure reported by the usable targets, from 0 up; reports older than
  // kPressureLifetime count as 0.
  [[nodiscard]] double Pressure(time_point now) const;
  static constexpr milliseconds kPressureLifetime{500};

  // The current reference of a target, or nothing if it isn't listed.
  [[nodiscard]] std::optional<target_ref> RefOf(std::string_view vm) const;

  // Whether a refused call may be attempted at another target.
  [[nodiscard]] bool MayTryElsewhere(const placement_request& request,
                                     time_point now) const;
  // Calls of `method` below this level are refused before sending, whatever the
  // target.
  [[nodiscard]] admission_rank EntranceLevel(std::uint32_t method,
                                             time_point now) const;
  // Empty for a target that is no longer listed.
  [[nodiscard]] std::string_view VmOf(target_ref target) const;
  // Number of targets that may get new calls.
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
    bool stopping = false;     // Announced by its daemon.
    bool unreachable = false;  // Its daemon can't be connected to.
    bool local = false;        // In the caller's own data centre.
    std::uint32_t in_flight = 0;
    // In flight and queued there for other callers, by its last load report.
    double other_load = 0;
    time_point load_received_at;
    std::optional<double> rate_limit;  // Requests a second.
    double limit = 1;                  // Until its load is known.
    double latency = 0;                // Nanoseconds; recent average.
    time_point latency_measured_at;    // Last sample.
    time_point warm_from;
    std::uint32_t failures = 0;  // In a row.
    std::uint32_t ejections = 0;
    time_point ejected_until;
    time_point next_probe;
    std::vector<reported_level> levels;  // By method.
    double pressure = 0;
    time_point pressure_received_at;
  };

  // Targets with serving daemons are preferred to those with stopping ones.
  enum class target_tier : std::uint8_t { kServing, kStopping };

  struct candidate {
    std::uint32_t index = kNone;
    double latency = 0;
    double load = 0;
  };

  [[nodiscard]] static bool IsSameIncarnation(const target_info& known,
                                              const target_info& reported);
  void Unlist(const vm_id& vm);
  [[nodiscard]] target_ring& RingOf(const target& of);
  // Returns an entry for a new target: the first unlisted one, which is sought
  // from `*free` on.
  [[nodiscard]] target& AddEntry(const target_info& info,
                                 std::size_t* free,
                                 bool cold,
                                 time_point now);
  [[nodiscard]] bool Reachable(const target& candidate, time_point now) const;
  [[nodiscard]] bool Usable(const target& candidate,
                            target_tier tier,
                            time_point now) const;
  [[nodiscard]] bool IsExcluded(const placement_request& request,
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
  // Selects a target that refuses calls like this one, to check whether it
  // still does. Sets `*any` if any target is reachable and untried.
  [[nodiscard]] std::uint32_t ChooseProbe(const placement_request& request,
                                          time_point now,
                                          bool* any);
  [[nodiscard]] double ExpectedCost(std::uint32_t index,
                                    const placement_request& request,
                                    double tolerated_failures,
                                    time_point now) const;
  // Requests of other callers there now.
  [[nodiscard]] static double OtherLoad(const target& of, time_point now);
  [[nodiscard]] static double Utilization(const target& of, time_point now);
  void RecordFailure(target& failed, time_point now);
  static void SetLoad(target& of, const load_report& report, time_point now);
  [[nodiscard]] bool MayEject(time_point now) const;
  [[nodiscard]] target* Find(target_ref ref);
  [[nodiscard]] const target* Find(target_ref ref) const;

  balancer_options options_;
  target_estimates estimates_;   // By index in `targets_`.
  std::vector<target> targets_;  // Entries are reused, never erased.
  // Indices in `targets_` of listed targets, by VM.
  std::unordered_map<vm_id, std::uint32_t> index_of_;
  // Indices in `targets_` of listed targets; all, and by data centre.
  std::vector<std::uint32_t> all_;
  target_ring local_;
  target_ring remote_;
};

}  // namespace pistachioweir
