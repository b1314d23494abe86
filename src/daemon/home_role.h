// home_role: the home of the idempotency keys that this daemon issued. Carries
// out what key_home decides: chooses executors, sends and cancels attempts,
// answers those who wait.
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "include/base/ids.h"
#include "include/base/sharded.h"
#include "include/call/envelope.h"
#include "include/once/fingerprint.h"
#include "include/once/key_home.h"
#include "src/daemon/outbound_role.h"

namespace pistachioweir {

class inbound_role;
class peer_client;
class peer_directory;
class worker_pool;

struct home_options {
  const daemon_settings& settings;
  incarnation_id incarnation{};
  worker_pool& workers;
  peer_client& peers;
  peer_directory& directory;
  outbound_role& outbound;
  inbound_role& inbound;
};

// A request under a key of this home.
struct keyed_request {
  idempotency_key key;
  request_fingerprint fingerprint;
  outbound_request call;
};

// Owns the key tables and the executions in progress. An execution stays on
// the worker of the request that began it.
class home_role {
 public:
  using callback = std::function<void(outbound_result)>;

  // One request that waits for its key's result.
  struct waiter {
    std::size_t worker = 0;
    waiter_id id{};
    idempotency_key key;
    callback done;  // Empty exactly when answered; on its worker only.
  };

  explicit home_role(const home_options& options);
  ~home_role();

  issued_keys Issue(std::uint32_t count,
                    const std::string& caller,
                    milliseconds lifetime);

  // Runs the request, joins it, or tells what came of it. Calls `done` once,
  // on `worker`. Call on that worker's thread.
  std::shared_ptr<waiter> Begin(std::size_t worker,
                                keyed_request request,
                                callback done);

  // The caller went away. On the waiter's worker.
  void Leave(const std::shared_ptr<waiter>& leaving);

  void StartDraining();
  [[nodiscard]] bool drained();

  // Once a second.
  void Tick();

  [[nodiscard]] key_home_counters Counters();

 private:
  class execution;
  using execution_ptr = std::shared_ptr<execution>;
  using execution_map = std::unordered_map<std::uint64_t, execution_ptr>;
  using waiter_map = std::unordered_map<std::uint64_t, std::shared_ptr<waiter>>;

  // Runs `step(home)` on the key's shard under its lock.
  template <typename Step>
  home_action On(const idempotency_key& key, Step&& step) {
    return homes_.With(key_home::ShardOf(key), std::forward<Step>(step));
  }

  void CarryOut(home_action action);
  void Place(const place_attempt& action);
  void Bind(const execution_ptr& placed, const place_attempt& action);
  void AskStart(const execution_ptr& placed, const place_attempt& action);
  void Send(const send_attempt& action);
  void SendNow(const execution_ptr& sending, const send_attempt& action);
  void OnAttempt(const execution_ptr& sent,
                 const send_attempt& action,
                 time_point at,
                 const peer_result& result);
  void Cancel(const send_cancel& action);
  void Finish(const finish_call& action);
  void Answer(waiter_id id, const outbound_result& result);
  void ArmDeadline(const execution_ptr& started);
  void EndTry(execution& ended,
              call_result result,
              const answer_envelope* answer,
              duration latency);
  [[nodiscard]] bool Runs(const idempotency_key& key);
  [[nodiscard]] execution_ptr Find(const idempotency_key& key);
  template <typename Work>
  void OnWorkerOf(const execution_ptr& target, Work&& work);

  const daemon_settings& settings_;
  const incarnation_id incarnation_;
  worker_pool& workers_;
  peer_client& peers_;
  peer_directory& directory_;
  outbound_role& outbound_;
  inbound_role& inbound_;

  sharded<key_home> homes_;
  sharded<execution_map> executions_;  // By sequence; until finished.
  sharded<waiter_map> waiters_;        // Until answered.
  std::atomic<std::uint64_t> next_waiter_{1};
};

}  // namespace pistachioweir
