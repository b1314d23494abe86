// Calls on the target beside the daemon.
#include "src/daemon/target_client.h"

#include <algorithm>
#include <utility>

#include "src/net/worker_pool.h"

namespace pistachioweir {

target_client::target_client(worker_pool& workers, const endpoint& target)
    : target_(target) {
  for (std::size_t i = 0; i < workers.size(); ++i) {
    clients_.push_back(std::make_unique<http_client>(workers.context(i),
                                                     http_client_options{}));
  }
}

std::shared_ptr<http_client::exchange>
target_client::Run(std::size_t worker, target_request request, callback done) {
  const auto left = std::chrono::duration_cast<milliseconds>(
      request.deadline - monotonic_clock::now());
  http_request message{.path = "/" + request.method,
                       .content_type = std::move(request.content_type),
                       .body = std::move(request.body)};
  const auto left_ms = std::max<milliseconds::rep>(0, left.count());
  message.headers = {
      {.name = "Pw-Context", .value = std::move(request.context)},
      {.name = "Pw-Timeout-Ms", .value = std::to_string(left_ms)}};
  return clients_[worker]->Send(
      target_, std::move(message), request.deadline, /*fresh=*/false,
      [done = std::move(done)](exchange_result result) {
        target_result run{.end = result.end};
        run.reply = {.status = result.response.status,
                     .content_type = std::move(result.response.content_type),
                     .body = std::move(result.response.body)};
        done(std::move(run));
      });
}

}  // namespace pistachioweir
