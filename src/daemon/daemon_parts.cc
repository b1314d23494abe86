// The parts of a daemon, connected.
#include "src/daemon/daemon_parts.h"

#include <boost/asio/io_context.hpp>

#include "include/base/log.h"
#include "src/daemon/peer_token.h"

namespace pistachioweir {
namespace {

// An envelope adds names and numbers to the body that a caller may send.
constexpr std::size_t kEnvelopeOverhead = 4096;
constexpr std::size_t kMaxBodyBytes = 1 << 20;

http_response RefuseMalformed(int status) {
  constexpr int kTooLarge = 413;
  return RenderOutcome(NotExecuted(status == kTooLarge ? reason::kTooLarge
                                                       : reason::kBadRequest));
}

}  // namespace

daemon_parts::daemon_parts(const daemon_settings& settings)
    : settings_(settings),
      incarnation_(NewIncarnation()),
      workers_(settings.threads),
      control_(1),
      peers_(workers_, PeerToken(settings.fleet_keys.front())),
      fleet_(control_.context(0),
             {.settings = settings,
              .incarnation = incarnation_,
              .on_change =
                  [this](const std::shared_ptr<const fleet_view>& view) {
                    OnView(view);
                  },
              .on_event =
                  [](const fleet_event& event) {
                    LogEvent(event.name,
                             {{.name = "subject", .value = event.subject},
                              {.name = "detail", .value = event.detail}});
                  }}),
      inbound_({.settings = settings_,
                .incarnation = incarnation_,
                .workers = workers_,
                .serving = serving_}),
      outbound_({.settings = settings_,
                 .workers = workers_,
                 .peers = peers_,
                 .directory = directory_,
                 .inbound = inbound_,
                 .fleet = fleet_}),
      home_({.settings = settings_,
             .incarnation = incarnation_,
             .workers = workers_,
             .peers = peers_,
             .directory = directory_,
             .outbound = outbound_,
             .inbound = inbound_}),
      callers_({.settings = settings_,
                .view = view_,
                .outbound = outbound_,
                .inbound = inbound_,
                .home = home_,
                .serving = serving_,
                .peers = peers_,
                .directory = directory_}),
      peer_api_({.fleet_keys = settings_.fleet_keys,
                 .inbound = inbound_,
                 .callers = callers_,
                 .fleet = fleet_}) {
  Listen();
}

daemon_parts::~daemon_parts() {
  Stop();
}

void daemon_parts::Listen() {
  http_server_options options{.max_body_bytes = kMaxBodyBytes,
                              .max_connections = settings_.max_connections,
                              .refusal = RefuseMalformed};
  using exchange_ptr = std::shared_ptr<http_exchange>;
  options.address = settings_.caller;
  options.handler = [this](const exchange_ptr& exchange) {
    callers_.Handle(caller_port::kPublic, exchange);
  };
  caller_server_ = std::make_unique<http_server>(workers_, options);
  options.address = settings_.local;
  options.handler = [this](const exchange_ptr& exchange) {
    callers_.Handle(caller_port::kLocal, exchange);
  };
  local_server_ = std::make_unique<http_server>(workers_, options);
  options.address = settings_.peer;
  options.max_body_bytes = kMaxBodyBytes + kEnvelopeOverhead;
  options.refusal = nullptr;
  options.handler = [this](const exchange_ptr& exchange) {
    peer_api_.Handle(exchange);
  };
  peer_server_ = std::make_unique<http_server>(workers_, options);
  options.address = settings_.admin;
  options.handler = [this](const exchange_ptr& exchange) {
    const bool ready = fleet_.View()->ready;
    exchange->Respond({.status = ready ? 200 : 503,
                       .content_type = "text/plain",
                       .body = ready ? "ready\n" : "not ready\n"});
  };
  admin_server_ = std::make_unique<http_server>(control_, options);
}

void daemon_parts::Start() {
  LogEvent("start", {{.name = "vm", .value = settings_.vm},
                     {.name = "service", .value = settings_.service},
                     {.name = "caller", .value = ToString(settings_.caller)}});
  workers_.Start();
  control_.Start();
  fleet_.Start();
}

void daemon_parts::OnView(const std::shared_ptr<const fleet_view>& view) {
  view_.Set(view);
  directory_.SetView(*view);
  outbound_.SetView(view);
  const fleet_service* own = view->Find(settings_.service);
  if (own != nullptr && own->manifest != nullptr) {
    inbound_.SetManifest(own->manifest);
  }
  if (view->own_state == member_state::kLeaving) {
    Drain();
  }
}

void daemon_parts::Drain() {
  if (draining_.exchange(true)) {
    return;
  }
  LogEvent("draining", {{.name = "vm", .value = settings_.vm}});
  fleet_.Leave();
  callers_.Drain();
  inbound_.Drain();
}

bool daemon_parts::Busy() {
  return inbound_.in_progress() > 0 || caller_server_->open_exchanges() > 0 ||
         local_server_->open_exchanges() > 0 ||
         peer_server_->open_exchanges() > 0;
}

bool daemon_parts::HoldsKeys() {
  // Keys for calls of the target's own are issued as long as it serves any.
  if (inbound_.in_progress() == 0) {
    home_.StartDraining();
  }
  return !home_.drained();
}

void daemon_parts::Tick() {
  inbound_.Tick();
  home_.Tick();
}

void daemon_parts::Stop() {
  fleet_.Stop();
  control_.Stop();
  workers_.Stop();
}

}  // namespace pistachioweir
