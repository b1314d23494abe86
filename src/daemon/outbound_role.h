// outbound_role: the daemon beside a caller. Chooses targets for calls, sends
// them to the daemons beside those targets, and tries again where that is
// allowed and can help.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "include/base/ids.h"
#include "include/base/outcome.h"
#include "include/call/envelope.h"
#include "include/config/settings.h"
#include "include/fleet/fleet_view.h"
#include "include/retry/retry_ratio.h"
#include "include/route/balancer.h"
#include "src/daemon/peer_client.h"

namespace pistachioweir {

class fleet_agent;
class inbound_role;
class observer;
class peer_directory;
class worker_pool;

struct outbound_options {
  const daemon_settings& settings;
  worker_pool& workers;
  peer_client& peers;
  peer_directory& directory;
  inbound_role& inbound;
  fleet_agent& fleet;
  observer& watch;
};

// A call to place. `request.retry_credit` is what may be spent in all;
// `request.remaining` is filled in when it is sent.
struct outbound_request {
  call_envelope request;
  std::uint32_t method = 0;  // Index in the called service's manifest.
  // Whether the method calls no others. It could not spend credit that is lent
  // to it, while this call could.
  bool leaf = false;
  time_point deadline;
};

struct outbound_result {
  outcome result;
  std::uint32_t unspent_credit = 0;
};

// What one target is chosen by, for a call that is bound to it.
struct chosen_target {
  target_ref ref;
  vm_id vm;
};

// Owns one balancer and retry ratio a called service, each pair under its own
// lock.
class outbound_role {
 public:
  using callback = std::function<void(outbound_result)>;

  // One call, until it is answered.
  class call;

  explicit outbound_role(const outbound_options& options);
  ~outbound_role();

  void SetView(const std::shared_ptr<const fleet_view>& view);

  // Places a call that may run more than once. Calls `done` once, on `worker`.
  // Call on that worker's thread.
  std::shared_ptr<call> Call(std::size_t worker,
                             outbound_request request,
                             callback done);

  // Calls of the method below this are refused here, wherever they would go.
  [[nodiscard]] admission_rank EntranceLevel(const std::string& service,
                                             std::uint32_t method);

  // The caller went away. On the call's worker.
  void Abandon(const std::shared_ptr<call>& abandoned);

  // For calls that are bound to one executor: the choice alone, none of
  // `tried`; nothing is sent. A choice must be followed by Release().
  [[nodiscard]] placement Choose(const outbound_request& request,
                                 const std::vector<vm_id>& tried,
                                 chosen_target* chosen);
  // The exchange with a chosen target has ended, with its answer if there was
  // one.
  void Release(const outbound_request& request,
               const chosen_target& chosen,
               call_result result,
               duration latency,
               const answer_envelope* answer);

  // Sends an envelope to the daemon of `vm`, or hands it to this daemon's own
  // inbound role. `done` hears the answer, on `worker`.
  void SendTo(std::size_t worker,
              const vm_id& vm,
              call_envelope envelope,
              time_point deadline,
              bool fresh,
              std::function<void(peer_result)> done,
              std::shared_ptr<void>* cancel_handle = nullptr);

 private:
  struct route {
    explicit route(const balancer_options& options) : targets(options) {}

    std::mutex mutex;
    balancer targets;     // Guarded by mutex.
    retry_ratio retries;  // Guarded by mutex.
  };

  using call_ptr = std::shared_ptr<call>;

  void Try(const call_ptr& placed);
  void OnResult(const call_ptr& placed,
                const chosen_target& chosen,
                time_point sent,
                std::uint32_t lent,
                peer_result result);
  void ArmSuspicion(const call_ptr& placed);
  void OnSuspicion(const call_ptr& placed);
  [[nodiscard]] bool MayRetry(call& failed, const outcome& result);
  void Finish(const call_ptr& finished, const outcome& result);
  [[nodiscard]] std::shared_ptr<route> RouteTo(const std::string& service);

  const daemon_settings& settings_;
  worker_pool& workers_;
  peer_client& peers_;
  peer_directory& directory_;
  inbound_role& inbound_;
  fleet_agent& fleet_;
  observer& watch_;

  std::mutex routes_mutex_;
  // Guarded by routes_mutex_; a route lives as long as somebody uses it.
  std::unordered_map<std::string, std::shared_ptr<route>> routes_;
};

// What one exchange says of its target.
[[nodiscard]] call_result ResultOf(const peer_result& result);
// What one exchange says of its call.
[[nodiscard]] outcome OutcomeOf(const peer_result& result);

}  // namespace pistachioweir
