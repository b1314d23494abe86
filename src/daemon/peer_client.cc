// Calls on other daemons.
#include "src/daemon/peer_client.h"

#include <utility>

#include "src/daemon/peer_paths.h"
#include "src/net/worker_pool.h"

namespace pistachioweir {

peer_client::peer_client(worker_pool& workers, std::string token)
    : token_(std::move(token)) {
  for (std::size_t i = 0; i < workers.size(); ++i) {
    clients_.push_back(std::make_unique<http_client>(workers.context(i),
                                                     http_client_options{}));
  }
}

void peer_client::DropIdle(std::size_t worker, const endpoint& peer) {
  clients_[worker]->DropIdle(peer);
}

std::shared_ptr<http_client::exchange> peer_client::Send(std::size_t worker,
                                                         const endpoint& peer,
                                                         peer_request request,
                                                         callback done) {
  http_request message{
      .path = std::string(request.path),
      .headers = {{.name = std::string(kPeerTokenHeader), .value = token_}},
      .content_type = std::string(kEnvelopeType),
      .body = std::move(request.body)};
  http_client& client = *clients_[worker];
  return client.Send(
      peer, std::move(message), request.deadline, request.fresh,
      [&client, peer, done = std::move(done)](const exchange_result& result) {
        peer_result told{.end = result.end};
        if (result.end == exchange_end::kAnswered) {
          told.answer = DecodeAnswer(result.response.body);
        }
        // Something between the two ends may have lost track of all kept
        // connections at once. Whoever sends next must not wait on another one
        // of them.
        if (result.end == exchange_end::kTimedOut ||
            result.end == exchange_end::kLost) {
          client.DropIdle(peer);
        }
        done(std::move(told));
      });
}

}  // namespace pistachioweir
