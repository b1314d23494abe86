// load_model: runs one scenario on a virtual clock: callers, a chain of
// services with three targets each, and beside each target the decision
// classes of the daemon itself. Targets and network are small fakes.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <queue>
#include <random>
#include <vector>

#include "include/admit/admission_controller.h"
#include "include/quarantine/quarantine.h"
#include "include/retry/retry_ratio.h"
#include "include/route/balancer.h"
#include "tools/load_model/scenario.h"

namespace pistachioweir {

inline constexpr milliseconds kModelBin{20};

struct model_count {
  std::uint64_t sent = 0;
  std::uint64_t in_deadline = 0;  // Of those sent.
  std::uint64_t answered = 0;     // In deadline, whenever they were sent.
};

struct model_result {
  std::vector<model_count> bins;  // By time of the request's first sending.
  std::array<model_count, kPriorityCount> trigger;  // Sent in the trigger.
  std::uint64_t critical_refused = 0;  // Final, for want of capacity.
  // Of those, how many while some target still took less important ones.
  std::uint64_t critical_refused_early = 0;
  std::uint32_t most_executions = 0;  // Of one request over the chain.
  std::uint32_t most_retries = 0;     // Of one request over the chain.
  std::uint64_t crashes = 0;
  double work = 0;               // Seconds of targets' own time in the trigger,
  double wasted = 0;             // and the part that served no one.
  std::vector<float> latencies;  // Seconds, of those in deadline.
};

class load_model {
 public:
  load_model(const deployment& where,
             const scenario& what,
             const mechanism_set& with,
             std::uint64_t seed);
  load_model(const load_model&) = delete;
  load_model& operator=(const load_model&) = delete;

  // Runs the scenario to its end. Call once.
  model_result Run();

 private:
  static constexpr std::uint32_t kNone = UINT32_MAX;
  static constexpr std::uint32_t kResends = 3;
  static constexpr std::uint32_t kRetryCredit = 2;
  static constexpr std::uint32_t kTriesPerHop = 3;  // Of the pass-through.

  enum class event_kind : std::uint8_t {
    kDemand,
    kPoison,
    kTryArrives,
    kTryEnds,
    kTryTimeout,
    kResend,
    kExecutionArrives,
    kPhaseEnds,
    kAnswerArrives,
    kCallTimeout,
    kCancelArrives,
    kWake,
    kRestart,
    kGossip,
  };

  // `index` names a request, call, execution or node by kind; one that has
  // ended meanwhile is told by its generation.
  struct event {
    time_point at;
    std::uint64_t order = 0;
    event_kind kind{};
    std::uint32_t index = 0;
    std::uint32_t generation = 0;

    bool operator>(const event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  struct entity_ref {
    std::uint32_t index = kNone;
    std::uint32_t generation = 0;
  };

  enum class call_end : std::uint8_t { kOk, kRefused, kFailed, kTimedOut };

  // One request of a caller, with all its re-sends.
  struct root_request {
    time_point first_sent;
    time_point deadline;  // Of the current try.
    std::uint32_t method = 0;
    std::uint8_t ticket = 0;  // Of the current try.
    std::uint32_t tries = 0;
    entity_ref call;               // Of the current try.
    std::uint32_t executions = 0;  // Of the current try.
    std::uint32_t retries = 0;
    double time_factor = 1;
    double work = 0;  // Of the current try, once it has ended.
    call_end end = call_end::kOk;
    milliseconds retry_after{0};
    bool poison = false;
    bool waiting = false;  // For the current try.
  };

  // A call to a service, over all attempts at it.
  struct call {
    std::uint32_t generation = 0;
    bool live = false;
    std::uint32_t root = 0;
    std::uint32_t try_number = 0;
    entity_ref parent;  // Execution that makes the call, or none.
    std::uint32_t service = 0;
    std::uint32_t from = 0;  // Node of the daemon that sends it.
    placement_request where;
    std::uint32_t attempts = 0;
    std::uint32_t credit = 0;
    time_point deadline;
    entity_ref execution;  // Of the current attempt.
    target_ref target;
    time_point sent;
    time_point began;
    double work = 0;  // Of executions that served it.
  };

  enum class execution_state : std::uint8_t {
    kTravels,
    kQueued,  // In the daemon.
    kWaits,   // Inside the target.
    kRuns,
    kCalls,    // Waits for a service further down.
    kAnswers,  // The answer is on its way.
  };

  // One attempt of a call at one target.
  struct execution {
    std::uint32_t generation = 0;
    bool live = false;
    entity_ref for_call;
    std::uint32_t root = 0;
    std::uint32_t try_number = 0;
    std::uint32_t node = 0;
    std::uint32_t from = 0;
    std::uint32_t method = 0;
    std::uint32_t phase = 0;
    duration phase_time{0};
    std::uint32_t credit = 0;
    execution_state state = execution_state::kTravels;
    bool admitted = false;  // Holds a slot of the controller.
    admission_handle handle;
    time_point deadline;
    time_point phase_started;
    time_point call_started;
    duration own_time{0};
    duration downstream{0};
    entity_ref child;
    double work = 0;
    call_end end = call_end::kOk;
    bool lost = false;  // The target died or is not there.
    milliseconds retry_after{0};
    load_report report;
  };

  // A VM: the target and the daemon beside it.
  struct node {
    std::uint32_t service = 0;
    std::uint32_t number = 0;
    std::vector<admission_controller> controller;  // One or none.
    std::vector<balancer> own;   // Entrance to its own service.
    std::vector<balancer> next;  // To the next service, unless the deepest.
    retry_ratio own_ratio;
    retry_ratio next_ratio;
    quarantine suspects;
    std::uint32_t running = 0;
    std::deque<entity_ref> waiting;  // Inside the target.
    std::vector<std::uint32_t> executing;
    bool down = false;
    time_point cold_from;
    time_point wake_at = time_point::max();
    std::uint32_t crashes = 0;
  };

  void BuildNodes();
  void Schedule(time_point at,
                event_kind kind,
                std::uint32_t index,
                std::uint32_t generation = 0);
  void Handle(const event& what);

  // Callers (callers.cc).
  void OnDemand();
  void OnPoison();
  void SendTry(std::uint32_t root);
  void OnTryArrives(std::uint32_t root, std::uint32_t try_number);
  void OnTryEnds(std::uint32_t root, std::uint32_t try_number);
  void OnTryTimeout(std::uint32_t root, std::uint32_t try_number);
  void TryFailed(std::uint32_t root);
  void ReplaceTargets(bool back);

  // Outbound side of daemons (calls.cc).
  void BeginCall(std::uint32_t root,
                 entity_ref parent,
                 std::uint32_t service,
                 std::uint32_t from,
                 time_point deadline,
                 std::uint32_t credit);
  void Attempt(std::uint32_t index);
  void OnAnswer(std::uint32_t execution_index);
  void OnCallTimeout(std::uint32_t index);
  bool MayRetry(call& failed, call_end end, bool lost);
  void CountRetry(const call& failed, bool again);
  void TellLevel(const call& answered);
  void EndCall(std::uint32_t index, call_end end, milliseconds retry_after);
  void Abandon(std::uint32_t call_index, call_result result);

  // Inbound side and targets (targets.cc).
  void OnExecutionArrives(std::uint32_t index);
  void Refuse(std::uint32_t index, milliseconds retry_after);
  void Admitted(std::uint32_t index);
  void StartPhase(std::uint32_t index);
  void OnPhaseEnds(std::uint32_t index);
  void ChildEnded(std::uint32_t index, call_end end);
  void Answer(std::uint32_t index, call_end end, bool lost = false);
  void LeaveTarget(std::uint32_t index, bool answered);
  void Drain(std::uint32_t node_index);
  void ScheduleDrain(std::uint32_t node_index);
  void CountWork(execution& running);
  void OnCancel(std::uint32_t index);
  void Crash(std::uint32_t node_index);
  void OnRestart(std::uint32_t node_index);
  void OnGossip(bool periodic);

  [[nodiscard]] bool Has(mechanism which) const { return with_.Has(which); }
  [[nodiscard]] bool IsLive(entity_ref ref, const std::deque<call>& in) const;
  [[nodiscard]] bool IsLive(entity_ref ref,
                            const std::deque<execution>& in) const;
  [[nodiscard]] duration Latency(std::uint32_t from, std::uint32_t to) const;
  [[nodiscard]] double TimeFactor(const node& where) const;
  [[nodiscard]] balancer& BalancerOf(const call& of);
  [[nodiscard]] retry_ratio& RatioOf(const call& of);
  [[nodiscard]] request_fingerprint FingerprintOfRoot(std::uint32_t root) const;
  [[nodiscard]] std::uint32_t RealSlots(const node& where) const;
  [[nodiscard]] bool Silent(const node& where) const;
  [[nodiscard]] std::size_t BinOf(time_point sent) const;
  [[nodiscard]] bool TriggerNow() const;
  void Waste(double work);
  void RecordCriticalRefusal(const call& refused);
  std::uint32_t NewExecution();
  void FreeExecution(std::uint32_t index);

  const deployment where_;
  const scenario what_;
  const mechanism_set with_;
  std::mt19937_64 demand_random_;  // The same for all sets of mechanisms.
  std::mt19937_64 random_;
  time_point now_;
  std::uint64_t order_ = 0;
  std::priority_queue<event, std::vector<event>, std::greater<>> events_;
  std::deque<root_request> roots_;
  std::deque<call> calls_;
  std::vector<std::uint32_t> free_calls_;
  std::deque<execution> executions_;
  std::vector<std::uint32_t> free_executions_;
  std::vector<node> nodes_;
  model_result result_;
};

}  // namespace pistachioweir
