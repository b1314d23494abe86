// The callers' HTTP, served.
#include "src/daemon/caller_api.h"

#include <json/json.h>

#include <algorithm>
#include <optional>
#include <utility>
#include <variant>

#include "include/base/random_bits.h"
#include "include/call/context_table.h"
#include "include/config/manifest.h"
#include "src/daemon/home_role.h"
#include "src/daemon/inbound_role.h"
#include "src/daemon/peer_directory.h"
#include "src/daemon/peer_paths.h"
#include "src/daemon/serving_calls.h"
#include "src/daemon/view_holder.h"

namespace pistachioweir {
namespace {

constexpr milliseconds kNotReadyRetryAfter{500};
constexpr milliseconds kDrainRetryAfter{50};

// The first copy of a relayed call waits this part of its time for an answer;
// then a second one goes out over a new connection, in case the first has gone
// silent. The home joins them.
constexpr int kRelayShare = 3;
constexpr milliseconds kLeastRelayTime{50};

// Deepest call chain that is served. A manifest's call graph is no deeper, so
// a deeper call comes from a loop that the graph doesn't tell of.
constexpr std::uint32_t kMaxDepth = 16;

// Whom keys of the target's own calls are counted to.
constexpr char kTargetCaller[] = "target";

outcome Pass() {
  return Unknown(reason::kNone);
}

}  // namespace

// A method that may be called right now, as the manifest in force has it.
struct caller_api::resolved_method {
  const service_manifest* manifest = nullptr;  // Owned by `view`.
  const method_spec* method = nullptr;         // Likewise.
  std::shared_ptr<const daemon_view> view;
  std::uint32_t index = 0;
  bool at_most_once = false;
};

caller_api::caller_api(const caller_api_options& options)
    : settings_(options.settings),
      view_(options.view),
      outbound_(options.outbound),
      inbound_(options.inbound),
      home_(options.home),
      serving_(options.serving),
      peers_(options.peers),
      directory_(options.directory),
      codec_(options.settings.fleet_keys) {}

void caller_api::Handle(caller_port port,
                        const std::shared_ptr<http_exchange>& exchange) {
  const caller_request parsed = ParseCallerRequest(exchange->request());
  if (const auto* error = std::get_if<caller_error>(&parsed)) {
    exchange->Respond(RenderOutcome(error->refusal, error->detail));
  } else if (const auto* keys = std::get_if<caller_key_request>(&parsed)) {
    HandleKeys(exchange, *keys);
  } else {
    HandleCall(port, exchange, std::get<caller_call>(parsed));
  }
}

outcome caller_api::Resolve(const std::string& service,
                            const std::string& method,
                            resolved_method* resolved) const {
  resolved->view = view_.Get();
  if (!resolved->view->ready()) {
    return NotExecuted(reason::kNotReady, kNotReadyRetryAfter);
  }
  resolved->manifest = resolved->view->manifests.Find(service);
  if (resolved->manifest == nullptr) {
    return NotExecuted(reason::kUnknownService);
  }
  resolved->method = resolved->manifest->FindMethod(method);
  if (resolved->method == nullptr) {
    return NotExecuted(reason::kUnknownMethod);
  }
  resolved->index = static_cast<std::uint32_t>(
      resolved->method - resolved->manifest->methods.data());
  resolved->at_most_once =
      resolved->view->manifests.IsAtMostOnce(service, method);
  return Pass();
}

void caller_api::HandleKeys(const std::shared_ptr<http_exchange>& exchange,
                            const caller_key_request& keys) {
  resolved_method method;
  const outcome refusal = Resolve(keys.service, keys.method, &method);
  if (refusal.kind == outcome_kind::kNotExecuted) {
    exchange->Respond(RenderOutcome(refusal));
    return;
  }
  const milliseconds lifetime = method.manifest->key_lifetime;
  const issued_keys issued =
      home_.Issue(keys.count, exchange->peer_ip(), lifetime);
  if (issued.keys.empty()) {
    exchange->Respond(
        RenderOutcome(NotExecuted(issued.refusal, kDrainRetryAfter)));
    return;
  }
  Json::Value body(Json::objectValue);
  for (const idempotency_key& key : issued.keys) {
    body["keys"].append(
        codec_.Seal({.key = key, .lifetime = lifetime},
                    {.service = keys.service, .method = keys.method}));
  }
  body["lifetime_ms"] = Json::Int64{lifetime.count()};
  Json::StreamWriterBuilder writer;
  writer["indentation"] = "";
  exchange->Respond({.status = 200,
                     .headers = {{.name = "Pw-Outcome", .value = "completed"}},
                     .content_type = "application/json",
                     .body = Json::writeString(writer, body) + "\n"});
}

void caller_api::HandleCall(caller_port port,
                            const std::shared_ptr<http_exchange>& exchange,
                            const caller_call& call) {
  resolved_method method;
  const outcome refusal = Resolve(call.service, call.method, &method);
  if (refusal.kind == outcome_kind::kNotExecuted) {
    exchange->Respond(RenderOutcome(refusal));
    return;
  }
  // A context is worth something only where the target speaks. An outside
  // caller that sends one gets no more than any other caller.
  if (port == caller_port::kLocal && call.context) {
    HandleChild(exchange, call, method);
  } else {
    HandleRoot(exchange, call, method);
  }
}

void caller_api::HandleRoot(const std::shared_ptr<http_exchange>& exchange,
                            const caller_call& call,
                            const resolved_method& method) {
  if (draining_ && !call.key) {
    exchange->Respond(
        RenderOutcome(NotExecuted(reason::kDraining, kDrainRetryAfter)));
    return;
  }
  const milliseconds timeout =
      std::min(call.timeout.value_or(method.method->timeout),
               method.method->max_timeout);
  const http_request& http = exchange->request();
  outbound_request request{.method = method.index,
                           .deadline = monotonic_clock::now() + timeout};
  request.request = {.service = call.service,
                     .method = call.method,
                     .content_type = http.content_type,
                     .body = http.body,
                     .level = method.method->level,
                     .ticket = static_cast<std::uint8_t>(RandomBits32()),
                     .retry_credit = method.method->retry_credit};
  if (method.at_most_once) {
    HandleKeyed(exchange, call, std::move(request),
                method.manifest->key_lifetime);
    return;
  }
  if (timeout <= milliseconds(0)) {
    exchange->Respond(RenderOutcome(NotExecuted(reason::kDeadlinePassed)));
    return;
  }
  auto placed =
      outbound_.Call(exchange->worker(), std::move(request),
                     [exchange](const outbound_result& result) {
                       exchange->Respond(RenderOutcome(result.result));
                     });
  exchange->OnDisconnect([this, placed] { outbound_.Abandon(placed); });
}

void caller_api::HandleKeyed(const std::shared_ptr<http_exchange>& exchange,
                             const caller_call& call,
                             outbound_request request,
                             milliseconds key_lifetime) {
  const key_scope scope{.service = call.service, .method = call.method};
  if (!call.key) {
    const issued_keys issued =
        home_.Issue(1, exchange->peer_ip(), key_lifetime);
    if (issued.keys.empty()) {
      exchange->Respond(
          RenderOutcome(NotExecuted(issued.refusal, kDrainRetryAfter)));
      return;
    }
    exchange->Respond(RenderOutcome(
        NotExecuted(reason::kKeyRequired), "send again with this key",
        codec_.Seal({.key = issued.keys.front(), .lifetime = key_lifetime},
                    scope)));
    return;
  }
  const auto opened = codec_.Open(*call.key, scope);
  if (!opened) {
    exchange->Respond(
        RenderOutcome(NotExecuted(reason::kBadKey),
                      "the key was not issued for this service and method"));
    return;
  }
  if (opened->key.home.vm != settings_.vm) {
    Relay(exchange, opened->key, request, /*fresh=*/false);
    return;
  }
  BeginKeyed(exchange, opened->key, /*label=*/{}, std::move(request),
             [exchange](const outbound_result& result) {
               exchange->Respond(RenderOutcome(result.result));
             });
}

void caller_api::BeginKeyed(const std::shared_ptr<http_exchange>& exchange,
                            const idempotency_key& key,
                            const std::string& label,
                            outbound_request request,
                            outbound_role::callback done) {
  const request_fingerprint fingerprint =
      Fingerprint({.service = request.request.service,
                   .method = request.request.method,
                   .body = request.request.body,
                   .label = label});
  auto waiting = home_.Begin(
      exchange->worker(),
      {.key = key, .fingerprint = fingerprint, .call = std::move(request)},
      std::move(done));
  exchange->OnDisconnect([this, waiting] { home_.Leave(waiting); });
}

// Only the key's home may start its request or call it not executed: an
// earlier copy may have reached the home already.
void caller_api::Relay(const std::shared_ptr<http_exchange>& exchange,
                       const idempotency_key& key,
                       const outbound_request& request,
                       bool fresh) {
  const auto address = directory_.AddressOf(key.home.vm);
  if (!address) {
    exchange->Respond(RenderOutcome(Unknown(reason::kHomeUnreachable)));
    return;
  }
  const time_point now = monotonic_clock::now();
  call_envelope envelope = request.request;
  envelope.remaining = std::max(
      milliseconds(0),
      std::chrono::duration_cast<milliseconds>(request.deadline - now));
  envelope.binding = execution_binding{.key = key};
  time_point until = request.deadline;
  if (!fresh) {
    const duration share = (request.deadline - now) / kRelayShare;
    until = std::min(until, now + std::max<duration>(share, kLeastRelayTime));
  }
  auto sent = peers_.Send(
      exchange->worker(), *address,
      {.path = kPeerHomePath,
       .body = Encode(envelope),
       .deadline = until,
       .fresh = fresh},
      [this, exchange, key, request, fresh](const peer_result& result) {
        if (result.answer) {
          exchange->Respond(RenderOutcome(result.answer->result));
        } else if (!fresh && result.end != exchange_end::kCancelled) {
          Relay(exchange, key, request, /*fresh=*/true);
        } else {
          exchange->Respond(RenderOutcome(Unknown(reason::kHomeUnreachable)));
        }
      });
  exchange->OnDisconnect([sent] { http_client::Cancel(sent); });
}

void caller_api::ServeRelayed(call_envelope call,
                              const std::shared_ptr<http_exchange>& exchange,
                              outbound_role::callback done) {
  const idempotency_key key = call.binding->key;
  call.binding.reset();
  resolved_method method;
  const outcome refusal = Resolve(call.service, call.method, &method);
  if (refusal.kind == outcome_kind::kNotExecuted) {
    // Not "not executed": the key may have begun under an earlier view.
    done({.result = Unknown(refusal.why)});
    return;
  }
  outbound_request request{.request = std::move(call), .method = method.index};
  request.deadline = monotonic_clock::now() + request.request.remaining;
  BeginKeyed(exchange, key, /*label=*/{}, std::move(request), std::move(done));
}

void caller_api::HandleChild(const std::shared_ptr<http_exchange>& exchange,
                             const caller_call& call,
                             const resolved_method& method) {
  const auto token = ParseContextToken(*call.context);
  const auto child = token ? serving_.BeginChild(*token) : std::nullopt;
  if (!child) {
    // The context may belong to a call that has ended, and an at-most-once
    // child of it may have run.
    const bool definite = !method.at_most_once || !token;
    exchange->Respond(RenderOutcome(definite
                                        ? NotExecuted(reason::kUnknownContext)
                                        : Unknown(reason::kUnknownContext)));
    return;
  }
  const time_point now = monotonic_clock::now();
  const milliseconds timeout =
      std::min(call.timeout.value_or(method.method->timeout),
               method.method->max_timeout);
  const http_request& http = exchange->request();
  outbound_request request{
      .method = method.index,
      .deadline = std::min<time_point>(child->given.deadline, now + timeout)};
  request.request = {.service = call.service,
                     .method = call.method,
                     .content_type = http.content_type,
                     .body = http.body,
                     .level = child->given.level,
                     .ticket = child->given.ticket,
                     .depth = child->given.depth,
                     .retry_credit = child->given.retry_credit};
  auto done = [this, exchange, token = *token, child = *child,
               now](const outbound_result& result) {
    serving_.EndChild(token, child, result.result.kind, result.unspent_credit,
                      monotonic_clock::now() - now);
    inbound_.SetDownstreamLevel(child.parent_method, result.level);
    exchange->Respond(RenderOutcome(result.result));
  };
  const bool deep = request.request.depth > kMaxDepth;
  // The home judges the deadline of an at-most-once call: an earlier copy of it
  // may have run.
  const bool late = request.deadline <= now && !method.at_most_once;
  if (deep || late) {
    done({.result =
              NotExecuted(deep ? reason::kBadRequest : reason::kDeadlinePassed),
          .unspent_credit = request.request.retry_credit});
    return;
  }
  if (!method.at_most_once) {
    auto placed =
        outbound_.Call(exchange->worker(), std::move(request), std::move(done));
    exchange->OnDisconnect([this, placed] { outbound_.Abandon(placed); });
    return;
  }
  const auto key = DerivedKey(*token, call, http.body, method);
  if (!key) {
    done({.result = NotExecuted(reason::kTableFull, kDrainRetryAfter),
          .unspent_credit = request.request.retry_credit});
    return;
  }
  BeginKeyed(exchange, *key, call.label, std::move(request), std::move(done));
}

// A target that sends its call again, after a lost answer, must meet the first
// one: the key comes from the serving call and the request, not from the
// sender.
std::optional<idempotency_key> caller_api::DerivedKey(
    const context_token& token,
    const caller_call& call,
    const std::string& body,
    const resolved_method& method) {
  const request_fingerprint fingerprint = Fingerprint({.service = call.service,
                                                       .method = call.method,
                                                       .body = body,
                                                       .label = call.label});
  if (auto known = serving_.FindDerivedKey(token, fingerprint)) {
    return known;
  }
  const issued_keys issued =
      home_.Issue(1, kTargetCaller, method.manifest->key_lifetime);
  if (issued.keys.empty()) {
    return std::nullopt;
  }
  return serving_.AdoptDerivedKey(token, fingerprint, issued.keys.front());
}

}  // namespace pistachioweir
