// peer_client: calls on other daemons, over kept HTTP connections.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "include/base/time.h"
#include "include/call/envelope.h"
#include "include/config/settings.h"
#include "src/net/http_client.h"

namespace pistachioweir {

class worker_pool;

struct peer_request {
  std::string_view path;  // One of peer_paths.h.
  std::string body;
  time_point deadline;
  // Over a new connection, since the kept ones may have gone silent.
  bool fresh = false;
};

struct peer_result {
  exchange_end end = exchange_end::kNotSent;
  // With kAnswered, and only if the answer is a whole, valid message.
  std::optional<answer_envelope> answer;
};

// Owns one connection pool a worker. Each call uses its worker's own.
class peer_client {
 public:
  using callback = std::function<void(peer_result)>;

  peer_client(worker_pool& workers, std::string token);

  // Closes the worker's kept connections to `peer`, which may have gone silent.
  // On that worker's thread.
  void DropIdle(std::size_t worker, const endpoint& peer);

  // Call on `worker`'s thread; `done` runs there, once, later.
  std::shared_ptr<http_client::exchange> Send(std::size_t worker,
                                              const endpoint& peer,
                                              peer_request request,
                                              callback done);

 private:
  const std::string token_;
  std::vector<std::unique_ptr<http_client>> clients_;  // By worker.
};

}  // namespace pistachioweir
