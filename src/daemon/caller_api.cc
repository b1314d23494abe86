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
#include "include/fleet/fleet_agent.h"
#include "src/daemon/home_role.h"
#include "src/daemon/inbound_role.h"
#include "src/daemon/key_relay.h"
#include "src/daemon/observer.h"
#include "src/daemon/peer_directory.h"
#include "src/daemon/serving_calls.h"
#include "src/daemon/view_holder.h"

namespace pistachioweir {
namespace {

constexpr milliseconds kNotReadyRetryAfter{500};
constexpr milliseconds kDrainRetryAfter{50};

// Deepest call chain that is served. A manifest's call graph is no deeper, so
// a deeper call comes from a loop that the graph doesn't tell of.
constexpr std::uint32_t kMaxDepth = 16;

// Whom keys of the target's own calls are counted to.
constexpr char kTargetCaller[] = "target";

}  // namespace

// A method that may be called right now, as the manifest in force has it.
struct caller_api::resolved_method {
  const service_manifest* manifest = nullptr;  // Owned by `view`.
  const method_spec* method = nullptr;         // Likewise.
  std::shared_ptr<const daemon_view> view;
  method_metrics* counted = nullptr;
  std::uint32_t index = 0;
  bool at_most_once = false;
};

class caller_api::asked_call {
 public:
  asked_call(observer& watch,
             std::shared_ptr<http_exchange> asked,
             caller_call parsed)
      : exchange(std::move(asked)), call(std::move(parsed)), watch_(watch) {}

  [[nodiscard]] const std::string& body() const {
    return exchange->request().body;
  }
  [[nodiscard]] milliseconds timeout() const {
    return std::min(call.timeout.value_or(method.method->timeout),
                    method.method->max_timeout);
  }

  // The request as it goes to a target, without what a root or a serving call
  // gives it.
  [[nodiscard]] outbound_request ToRequest() const {
    return {.request = {.service = call.service,
                        .method = call.method,
                        .content_type = exchange->request().content_type,
                        .body = body()},
            .method = method.index,
            .leaf = method.method->calls.empty(),
            .deadline = arrived + timeout()};
  }

  void Answer(const outcome& result,
              const std::string& detail = {},
              const std::string& fresh_key = {}) {
    watch_.OnCallEnded(method.counted,
                       {.service = call.service,
                        .method = call.method,
                        .level = level,
                        .result = result,
                        .latency = monotonic_clock::now() - arrived});
    exchange->Respond(RenderOutcome(result, detail, fresh_key));
  }

  // Refuses by what this daemon alone knows. A copy of a request with a key, or
  // of a call that a target sent before, may have run through another daemon or
  // an earlier exchange; then "not executed" would be untrue.
  void Refuse(reason why,
              milliseconds retry_after = milliseconds(0),
              const std::string& detail = {}) {
    outcome result = NotExecuted(why, retry_after);
    if (may_be_a_copy) {
      result.kind = outcome_kind::kUnknown;
    }
    Answer(result, detail);
  }

  const std::shared_ptr<http_exchange> exchange;
  const caller_call call;
  const time_point arrived = monotonic_clock::now();
  resolved_method method;
  priority level = priority::kNormal;
  bool may_be_a_copy = false;

 private:
  observer& watch_;
};

caller_api::caller_api(const caller_api_options& options)
    : settings_(options.settings),
      workers_(options.workers),
      fleet_(options.fleet),
      view_(options.view),
      watch_(options.watch),
      outbound_(options.outbound),
      inbound_(options.inbound),
      home_(options.home),
      serving_(options.serving),
      peers_(options.peers),
      directory_(options.directory),
      codec_(options.settings.fleet_keys) {}

void caller_api::Handle(caller_port port,
                        const std::shared_ptr<http_exchange>& exchange) {
  caller_request parsed = ParseCallerRequest(exchange->request());
  if (const auto* error = std::get_if<caller_error>(&parsed)) {
    watch_.metrics().Add(counter::kBadRequests);
    exchange->Respond(RenderOutcome(error->refusal, error->detail));
    return;
  }
  if (const auto* keys = std::get_if<caller_key_request>(&parsed)) {
    HandleKeys(exchange, *keys);
    return;
  }
  auto asked = std::make_shared<asked_call>(
      watch_, exchange, std::move(std::get<caller_call>(parsed)));
  // A context is worth something only where the target speaks. An outside
  // caller that sends one gets no more than any other caller.
  const bool child = port == caller_port::kLocal && asked->call.context;
  asked->may_be_a_copy = child || asked->call.key;
  const reason refusal =
      Resolve(asked->call.service, asked->call.method, &asked->method);
  if (refusal != reason::kNone) {
    asked->Refuse(refusal, refusal == reason::kNotReady ? kNotReadyRetryAfter
                                                        : milliseconds(0));
    return;
  }
  asked->level = asked->method.method->level;
  asked->may_be_a_copy = asked->may_be_a_copy && asked->method.at_most_once;
  if (asked->body().size() > asked->method.manifest->max_body_bytes) {
    asked->Refuse(reason::kTooLarge);
  } else if (child) {
    HandleChild(asked);
  } else {
    HandleRoot(asked);
  }
}

reason caller_api::Resolve(const std::string& service,
                           const std::string& method,
                           resolved_method* resolved) const {
  resolved->view = view_.Get();
  // A daemon that was paused wakes up with calls that came meanwhile and a view
  // from before: the target it would choose may have left.
  if (!resolved->view->ready() || !fleet_.IsFresh(monotonic_clock::now())) {
    return reason::kNotReady;
  }
  resolved->manifest = resolved->view->manifests->Find(service);
  if (resolved->manifest == nullptr) {
    return reason::kUnknownService;
  }
  resolved->method = resolved->manifest->FindMethod(method);
  if (resolved->method == nullptr) {
    return reason::kUnknownMethod;
  }
  resolved->index = static_cast<std::uint32_t>(
      resolved->method - resolved->manifest->methods.data());
  resolved->counted = resolved->view->counters.at(service)[resolved->index];
  resolved->at_most_once =
      resolved->view->manifests->IsAtMostOnce(service, method);
  return reason::kNone;
}

void caller_api::HandleKeys(const std::shared_ptr<http_exchange>& exchange,
                            const caller_key_request& keys) {
  resolved_method method;
  const reason refusal = Resolve(keys.service, keys.method, &method);
  if (refusal != reason::kNone || draining_) {
    const reason why = draining_ ? reason::kDraining : refusal;
    exchange->Respond(RenderOutcome(NotExecuted(why, kNotReadyRetryAfter)));
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

void caller_api::HandleRoot(const asked_ptr& asked) {
  if (draining_ && !asked->call.key) {
    asked->Refuse(reason::kDraining, kDrainRetryAfter);
    return;
  }
  const method_spec& method = *asked->method.method;
  outbound_request request = asked->ToRequest();
  request.request.level = method.level;
  request.request.ticket = static_cast<std::uint8_t>(RandomBits32());
  request.request.retry_credit = method.retry_credit;
  // A key that was issued for the method shows that it is at-most-once,
  // whatever an older manifest says here. Another copy may have begun under the
  // key.
  const bool keyed = asked->call.key && OpenKey(*asked);
  if (asked->method.at_most_once || keyed) {
    HandleKeyed(asked, std::move(request));
    return;
  }
  if (asked->timeout() <= milliseconds(0)) {
    asked->Refuse(reason::kDeadlinePassed);
    return;
  }
  auto placed = outbound_.Call(
      asked->exchange->worker(), std::move(request),
      [asked](const outbound_result& result) { asked->Answer(result.result); });
  asked->exchange->OnDisconnect([this, placed] { outbound_.Abandon(placed); });
}

void caller_api::RequireKey(const asked_ptr& asked) {
  const milliseconds lifetime = asked->method.manifest->key_lifetime;
  const issued_keys issued =
      home_.Issue(1, asked->exchange->peer_ip(), lifetime);
  if (issued.keys.empty()) {
    asked->Refuse(issued.refusal, kDrainRetryAfter);
    return;
  }
  asked->Answer(NotExecuted(reason::kKeyRequired), "send again with this key",
                codec_.Seal({.key = issued.keys.front(), .lifetime = lifetime},
                            {.service = asked->call.service,
                             .method = asked->call.method}));
}

std::optional<sealed_key> caller_api::OpenKey(const asked_call& asked) const {
  return codec_.Open(*asked.call.key, {.service = asked.call.service,
                                       .method = asked.call.method});
}

void caller_api::HandleKeyed(const asked_ptr& asked, outbound_request request) {
  if (!asked->call.key) {
    RequireKey(asked);
    return;
  }
  const auto opened = OpenKey(*asked);
  if (!opened) {
    asked->Answer(NotExecuted(reason::kBadKey),
                  "the key was not issued for this service and method");
    return;
  }
  if (opened->key.home.vm != settings_.vm) {
    Relay(asked, opened->key, std::move(request));
    return;
  }
  BeginKeyed(
      asked->exchange, opened->key, /*label=*/{}, std::move(request),
      [asked](const outbound_result& result) { asked->Answer(result.result); });
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

// Guard HOME_HAS_LAST_WORD in spec/at_most_once.pml. Only the key's home may
// start its request or call it not executed: an earlier copy may have reached
// the home already.
void caller_api::Relay(const asked_ptr& asked,
                       const idempotency_key& key,
                       outbound_request request) {
  const auto address = directory_.AddressOf(key.home.vm);
  if (!address) {
    asked->Answer(Unknown(reason::kHomeUnreachable));
    return;
  }
  request.request.binding = execution_binding{.key = key};
  auto relay = std::make_shared<key_relay>(workers_, asked->exchange->worker(),
                                           peers_, *address);
  relay->Start(request,
               [asked](const outcome& result) { asked->Answer(result); });
  asked->exchange->OnDisconnect([relay] { relay->Cancel(); });
}

void caller_api::ServeRelayed(call_envelope call,
                              const std::shared_ptr<http_exchange>& exchange,
                              outbound_role::callback done) {
  const idempotency_key key = call.binding->key;
  call.binding.reset();
  resolved_method method;
  const reason refusal = Resolve(call.service, call.method, &method);
  if (refusal != reason::kNone) {
    // Not "not executed": the key may have begun under an earlier view.
    done({.result = Unknown(refusal)});
    return;
  }
  outbound_request request{.request = std::move(call), .method = method.index};
  request.deadline = monotonic_clock::now() + request.request.remaining;
  BeginKeyed(exchange, key, /*label=*/{}, std::move(request), std::move(done));
}

void caller_api::HandleChild(const asked_ptr& asked) {
  const auto token = ParseContextToken(*asked->call.context);
  const auto child = token ? serving_.BeginChild(*token) : std::nullopt;
  if (!child) {
    // Guard ENDED_IS_UNKNOWN in spec/derived_keys.pml. The context may belong
    // to a call that has ended, and an at-most-once child of it may have run.
    asked->Refuse(reason::kUnknownContext);
    return;
  }
  asked->level = child->given.level;
  outbound_request request = asked->ToRequest();
  request.deadline = std::min(request.deadline, child->given.deadline);
  request.request.level = child->given.level;
  request.request.ticket = child->given.ticket;
  request.request.depth = child->given.depth;
  request.request.retry_credit = child->given.retry_credit;
  auto done = [this, asked, token = *token,
               child = *child](const outbound_result& result) {
    serving_.EndChild(token, child, result.result.kind, result.unspent_credit,
                      monotonic_clock::now() - asked->arrived);
    inbound_.SetDownstreamLevel(
        child.parent_method,
        outbound_.EntranceLevel(asked->call.service, asked->method.index));
    asked->Answer(result.result);
  };
  const auto refuse = [&](reason why) {
    done({.result = asked->may_be_a_copy ? Unknown(why) : NotExecuted(why),
          .unspent_credit = child->given.retry_credit});
  };
  if (request.request.depth > kMaxDepth) {
    refuse(reason::kBadRequest);
    return;
  }
  // Guard PARENT_BOUND in spec/derived_keys.pml. A daemon with an older
  // manifest may have sent the serving call as one that can be repeated. Then
  // each try of it has a context of its own, and the keys derived from them
  // would run this call once for each.
  if (asked->method.at_most_once && !child->given.bound) {
    done({.result = NotExecuted(reason::kKeyRequired),
          .unspent_credit = child->given.retry_credit});
    return;
  }
  if (asked->method.at_most_once) {
    const auto key = DerivedKey(*token, *asked);
    if (!key) {
      refuse(reason::kTableFull);
      return;
    }
    BeginKeyed(asked->exchange, *key, asked->call.label, std::move(request),
               std::move(done));
    return;
  }
  if (request.deadline <= asked->arrived) {
    refuse(reason::kDeadlinePassed);
    return;
  }
  auto placed = outbound_.Call(asked->exchange->worker(), std::move(request),
                               std::move(done));
  asked->exchange->OnDisconnect([this, placed] { outbound_.Abandon(placed); });
}

// Guard DERIVED_KEY in spec/derived_keys.pml. A target that sends its call
// again, after a lost answer, must meet the first one: the key comes from the
// serving call and the request, not from the sender.
std::optional<idempotency_key> caller_api::DerivedKey(
    const context_token& token,
    const asked_call& asked) {
  const request_fingerprint fingerprint =
      Fingerprint({.service = asked.call.service,
                   .method = asked.call.method,
                   .body = asked.body(),
                   .label = asked.call.label});
  if (auto known = serving_.FindDerivedKey(token, fingerprint)) {
    return known;
  }
  const issued_keys issued =
      home_.Issue(1, kTargetCaller, asked.method.manifest->key_lifetime);
  if (issued.keys.empty()) {
    return std::nullopt;
  }
  return serving_.AdoptDerivedKey(token, fingerprint, issued.keys.front());
}

}  // namespace pistachioweir
