// inbound_role: the daemon beside a target. Admits, queues or refuses each call
// for the target, runs what is admitted, and answers.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

#include "include/base/ids.h"
#include "include/base/sharded.h"
#include "include/base/time.h"
#include "include/call/envelope.h"
#include "include/config/manifest.h"
#include "include/config/settings.h"
#include "include/once/executor_table.h"
#include "src/daemon/admission_gate.h"
#include "src/daemon/target_client.h"
#include "src/daemon/target_watch.h"

namespace pistachioweir {

class crash_guard;
class fleet_agent;
class method_metrics;
class observer;
class serving_calls;
class worker_pool;

struct inbound_options {
  const daemon_settings& settings;
  incarnation_id incarnation{};
  worker_pool& workers;
  const fleet_agent& fleet;
  serving_calls& serving;
  crash_guard& crashes;
  observer& watch;
};

// Owns the admission state, the executor's records and the target's
// connections. A call stays on the worker that brought it; the shared tables
// are locked for single operations only.
class inbound_role {
 public:
  using callback = std::function<void(answer_envelope)>;

  // One call in this daemon, until it is answered.
  class call;

  explicit inbound_role(const inbound_options& options);
  ~inbound_role();

  // A newer manifest of the own service is in force.
  void SetManifest(std::shared_ptr<const service_manifest> manifest);

  // Whether the view of the fleet may be acted on; calls are refused until
  // then.
  void SetReady(bool ready) { ready_ = ready; }

  // Refuses new calls from now on; those in progress go on.
  void Drain();
  [[nodiscard]] bool draining() const { return draining_.load(); }
  // Calls that came in and are not answered.
  [[nodiscard]] std::size_t in_progress() const { return in_progress_.load(); }

  // Serves `request` and calls `done` once, later or at once, on `worker`.
  // Call on that worker's thread.
  std::shared_ptr<call> Serve(std::size_t worker,
                              call_envelope request,
                              callback done);

  // The caller went away: a queued call ends, a running one is cancelled at
  // the target. On the call's worker. Calls with a binding go on, since others
  // may join them; their home cancels them.
  void Abandon(const std::shared_ptr<call>& abandoned);

  // The home gives an attempt up.
  [[nodiscard]] answer_envelope CancelAttempt(const execution_binding& attempt);

  // What this daemon says of itself, with no result.
  [[nodiscard]] answer_envelope Hello();

  // Requests of `method` would be refused below `level` further down.
  void SetDownstreamLevel(std::uint32_t method, admission_rank level);

  // Once a second.
  void Tick();

  [[nodiscard]] load_report Load() const;
  [[nodiscard]] epoch_id Epoch();

 private:
  using call_ptr = std::shared_ptr<call>;
  using call_map = std::unordered_map<std::uint64_t, call_ptr>;

  [[nodiscard]] outcome Check(call& checked);
  void Admit(const call_ptr& offered);
  void Start(const call_ptr& started);
  void OnTargetResult(const call_ptr& ended, target_result result);
  void EndRun(const call_ptr& ended,
              const outcome& result,
              duration downstream);
  [[nodiscard]] outcome OutcomeOf(call& ended, target_result result);
  void Settle(const call_ptr& settled, const outcome& result);
  void Deliver(const call_ptr& waiter,
               const outcome& result,
               std::uint32_t unspent);
  void Carry(const admission_event& event);
  [[nodiscard]] call_ptr Find(std::uint64_t id);
  [[nodiscard]] answer_envelope Describe(std::uint32_t method);
  [[nodiscard]] std::shared_ptr<const service_manifest> Manifest() const;
  [[nodiscard]] method_metrics* CountersOf(const call& counted) const;
  void Report(const call& ended, const answer_envelope& answer);

  const daemon_settings& settings_;
  const incarnation_id incarnation_;
  worker_pool& workers_;
  const fleet_agent& fleet_;
  serving_calls& serving_;
  crash_guard& crashes_;
  target_client target_;

  observer& watch_;

  mutable std::mutex manifest_mutex_;
  std::shared_ptr<const service_manifest> manifest_;
  std::vector<method_metrics*> counted_;  // By method index.

  admission_gate admission_;
  target_watch watch_target_;

  sharded<executor_table> executor_;
  sharded<call_map> calls_;  // Every call that is not answered.

  std::atomic<std::uint64_t> next_id_{1};
  std::atomic<std::size_t> in_progress_{0};
  std::atomic<bool> ready_{false};
  std::atomic<bool> draining_{false};
};

}  // namespace pistachioweir
