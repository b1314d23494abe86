// target_client: runs a call on the target beside the daemon, over HTTP on
// loopback.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "include/base/outcome.h"
#include "include/base/time.h"
#include "include/config/settings.h"
#include "src/net/http_client.h"

namespace pistachioweir {

class worker_pool;

struct target_request {
  std::string method;
  std::string context;  // Token that the target repeats on its own calls.
  std::string content_type;
  std::string body;
  time_point deadline;
};

struct target_result {
  exchange_end end = exchange_end::kNotSent;
  answer reply;  // Only with kAnswered.
};

// Owns one connection pool a worker. Each call uses its worker's own.
class target_client {
 public:
  using callback = std::function<void(target_result)>;

  target_client(worker_pool& workers, const endpoint& target);

  // Call on `worker`'s thread; `done` runs there, once, later.
  std::shared_ptr<http_client::exchange> Run(std::size_t worker,
                                             target_request request,
                                             callback done);

 private:
  const endpoint target_;
  std::vector<std::unique_ptr<http_client>> clients_;  // By worker.
};

}  // namespace pistachioweir
