// The peer port, served.
#include "src/daemon/peer_api.h"

#include <optional>
#include <utility>

#include "include/call/envelope.h"
#include "include/fleet/fleet_agent.h"
#include "src/daemon/caller_api.h"
#include "src/daemon/inbound_role.h"
#include "src/daemon/peer_paths.h"
#include "src/daemon/peer_token.h"

namespace pistachioweir {
namespace {

http_response Render(const answer_envelope& answer) {
  return {.status = 200,
          .content_type = std::string(kEnvelopeType),
          .body = Encode(answer)};
}

http_response Malformed() {
  return {.status = 400, .close = true};
}

}  // namespace

peer_api::peer_api(const peer_api_options& options)
    : inbound_(options.inbound),
      callers_(options.callers),
      fleet_(options.fleet),
      tokens_(PeerTokens(options.fleet_keys)) {}

bool peer_api::IsPeer(const http_request& request) const {
  const auto token = FindHeader(request.headers, kPeerTokenHeader);
  return token && IsPeerToken(*token, tokens_);
}

void peer_api::Handle(const std::shared_ptr<http_exchange>& exchange) {
  const http_request& request = exchange->request();
  if (!IsPeer(request)) {
    exchange->Respond({.status = 403, .close = true});
  } else if (request.path == kPeerCallPath) {
    HandleCall(exchange);
  } else if (request.path == kPeerHomePath) {
    HandleHome(exchange);
  } else if (request.path == kPeerCancelPath) {
    HandleCancel(exchange);
  } else if (request.path == kPeerHelloPath) {
    exchange->Respond(Render(inbound_.Hello()));
  } else if (request.path == kPeerRpcPath) {
    exchange->Respond({.status = 200,
                       .content_type = "application/json",
                       .body = fleet_.HandleRpc(request.body)});
  } else {
    exchange->Respond({.status = 404, .close = true});
  }
}

void peer_api::HandleCall(const std::shared_ptr<http_exchange>& exchange) {
  auto call = DecodeCall(exchange->request().body);
  if (!call) {
    exchange->Respond(Malformed());
    return;
  }
  auto served = inbound_.Serve(exchange->worker(), std::move(*call),
                               [exchange](const answer_envelope& answer) {
                                 exchange->Respond(Render(answer));
                               });
  exchange->OnDisconnect([this, served] { inbound_.Abandon(served); });
}

void peer_api::HandleHome(const std::shared_ptr<http_exchange>& exchange) {
  auto call = DecodeCall(exchange->request().body);
  if (!call || !call->binding) {
    exchange->Respond(Malformed());
    return;
  }
  callers_.ServeRelayed(std::move(*call), exchange,
                        [this, exchange](const outbound_result& result) {
                          answer_envelope answer = inbound_.Hello();
                          answer.result = result.result;
                          answer.unspent_credit = result.unspent_credit;
                          exchange->Respond(Render(answer));
                        });
}

void peer_api::HandleCancel(const std::shared_ptr<http_exchange>& exchange) {
  const auto call = DecodeCall(exchange->request().body);
  if (!call || !call->binding) {
    exchange->Respond(Malformed());
    return;
  }
  exchange->Respond(Render(inbound_.CancelAttempt(*call->binding)));
}

}  // namespace pistachioweir
