// caller_api: serves the caller port and the local port. Turns requests into
// calls, root calls or calls of the target beside the daemon, and answers.
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "include/base/ids.h"
#include "include/config/settings.h"
#include "include/once/key_codec.h"
#include "src/daemon/caller_protocol.h"
#include "src/daemon/outbound_role.h"
#include "src/net/http_server.h"

namespace pistachioweir {

class fleet_agent;
class home_role;
class inbound_role;
class method_metrics;
class observer;
class peer_client;
class peer_directory;
class serving_calls;
class view_holder;
class worker_pool;
struct context_token;

// Who speaks on a port.
enum class caller_port : std::uint8_t {
  kPublic,  // Callers outside; contexts mean nothing here.
  kLocal,   // The target beside the daemon.
};

struct caller_api_options {
  const daemon_settings& settings;
  worker_pool& workers;
  const fleet_agent& fleet;
  view_holder& view;
  observer& watch;
  outbound_role& outbound;
  inbound_role& inbound;
  home_role& home;
  serving_calls& serving;
  peer_client& peers;
  peer_directory& directory;
};

// Owns nothing but the key codec; thread-safe.
class caller_api {
 public:
  explicit caller_api(const caller_api_options& options);

  void Handle(caller_port port, const std::shared_ptr<http_exchange>& exchange);

  // A keyed call that another daemon relays to this one, the key's home.
  // `call.binding` names the key. `done` hears the result.
  void ServeRelayed(call_envelope call,
                    const std::shared_ptr<http_exchange>& exchange,
                    outbound_role::callback done);

  // No new root calls and keys from now on.
  void Drain() { draining_ = true; }

 private:
  struct resolved_method;
  // One request on its way to its answer.
  class asked_call;
  using asked_ptr = std::shared_ptr<asked_call>;

  void HandleKeys(const std::shared_ptr<http_exchange>& exchange,
                  const caller_key_request& keys);
  void HandleRoot(const asked_ptr& asked);
  void HandleKeyed(const asked_ptr& asked, outbound_request request);
  void RequireKey(const asked_ptr& asked);
  // The key that came with the call, if it was issued for its method.
  [[nodiscard]] std::optional<sealed_key> OpenKey(
      const asked_call& asked) const;
  void HandleChild(const asked_ptr& asked);
  void BeginKeyed(const std::shared_ptr<http_exchange>& exchange,
                  const idempotency_key& key,
                  const std::string& label,
                  outbound_request request,
                  outbound_role::callback done);
  void Relay(const asked_ptr& asked,
             const idempotency_key& key,
             outbound_request request);
  [[nodiscard]] std::optional<idempotency_key> DerivedKey(
      const context_token& token,
      const asked_call& asked);
  // What the manifest in force says of the method, or why it can't be called:
  // kNone if it can.
  [[nodiscard]] reason Resolve(const std::string& service,
                               const std::string& method,
                               resolved_method* resolved) const;

  const daemon_settings& settings_;
  worker_pool& workers_;
  const fleet_agent& fleet_;
  view_holder& view_;
  observer& watch_;
  outbound_role& outbound_;
  inbound_role& inbound_;
  home_role& home_;
  serving_calls& serving_;
  peer_client& peers_;
  peer_directory& directory_;
  const key_codec codec_;
  std::atomic<bool> draining_{false};
};

}  // namespace pistachioweir
