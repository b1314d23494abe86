// peer_api: serves the peer port, where other daemons send calls, keyed calls
// for this home, cancels and JSON-RPC.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "src/net/http_server.h"

namespace pistachioweir {

class caller_api;
class fleet_agent;
class inbound_role;
struct answer_envelope;
struct call_envelope;

struct peer_api_options {
  // Tokens that are accepted, one for each fleet key.
  std::vector<std::string> fleet_keys;
  inbound_role& inbound;
  caller_api& callers;
  fleet_agent& fleet;
};

// Owns nothing else; thread-safe.
class peer_api {
 public:
  explicit peer_api(const peer_api_options& options);

  void Handle(const std::shared_ptr<http_exchange>& exchange);

 private:
  void HandleCall(const std::shared_ptr<http_exchange>& exchange);
  void HandleHome(const std::shared_ptr<http_exchange>& exchange);
  void HandleCancel(const std::shared_ptr<http_exchange>& exchange);
  [[nodiscard]] bool IsPeer(const http_request& request) const;

  inbound_role& inbound_;
  caller_api& callers_;
  fleet_agent& fleet_;
  const std::vector<std::string> tokens_;
};

}  // namespace pistachioweir
