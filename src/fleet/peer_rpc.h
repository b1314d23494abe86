// peer_rpc: what daemons ask each other by JSON-RPC: documents and targets.
#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "include/fleet/fleet_view.h"
#include "include/fleet/manifest_store.h"

namespace pistachioweir {

// What peer_rpc_server answers from. Called on any thread.
struct peer_rpc_sources {
  // The document of a service at the given version or a newer one, or null.
  std::function<std::shared_ptr<const std::string>(const manifest_version&)>
      document;
  std::function<std::vector<fleet_target>(const std::string&)> targets;
};

// Answers requests by libjsonrpccpp's protocol layer. Thread-safe.
class peer_rpc_server {
 public:
  explicit peer_rpc_server(peer_rpc_sources sources);
  ~peer_rpc_server();
  peer_rpc_server(const peer_rpc_server&) = delete;
  peer_rpc_server& operator=(const peer_rpc_server&) = delete;

  // The answer to one request, as JSON; an error object if it is malformed.
  [[nodiscard]] std::string Handle(std::string_view request);

 private:
  class handler;
  std::mutex mutex_;  // The library's handler isn't thread-safe.
  std::unique_ptr<handler> handler_;
};

// Requests, and what their answers hold; nothing if there is nothing.
[[nodiscard]] std::string DocumentRequest(const manifest_version& wanted);
[[nodiscard]] std::optional<std::string> ReadDocumentAnswer(
    std::string_view answer);
[[nodiscard]] std::string TargetsRequest(const std::string& service);
[[nodiscard]] std::optional<std::vector<fleet_target>> ReadTargetsAnswer(
    std::string_view answer);

}  // namespace pistachioweir
