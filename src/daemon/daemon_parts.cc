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
      view_(watch_.metrics()),
      peers_(workers_, PeerToken(settings.fleet_keys.front())),
      crashes_({.incarnation = incarnation_,
                .workers = workers_,
                .watch = watch_,
                .publish =
                    [this](const suspect_report& report) {
                      fleet_.PublishBlob(report.id, report.bytes,
                                         report.lifetime);
                    }}),
      fleet_(control_.context(0),
             {.settings = settings,
              .incarnation = incarnation_,
              .peer_token = PeerToken(settings.fleet_keys.front()),
              .on_change =
                  [this](const std::shared_ptr<const fleet_view>& view) {
                    OnView(view);
                  },
              .on_event =
                  [this](const fleet_event& event) { OnFleetEvent(event); }}),
      inbound_({.settings = settings_,
                .incarnation = incarnation_,
                .workers = workers_,
                .fleet = fleet_,
                .serving = serving_,
                .crashes = crashes_,
                .watch = watch_}),
      outbound_({.settings = settings_,
                 .workers = workers_,
                 .peers = peers_,
                 .directory = directory_,
                 .inbound = inbound_,
                 .fleet = fleet_,
                 .watch = watch_}),
      home_({.settings = settings_,
             .incarnation = incarnation_,
             .workers = workers_,
             .peers = peers_,
             .directory = directory_,
             .outbound = outbound_,
             .inbound = inbound_}),
      callers_({.settings = settings_,
                .workers = workers_,
                .fleet = fleet_,
                .view = view_,
                .watch = watch_,
                .outbound = outbound_,
                .inbound = inbound_,
                .home = home_,
                .serving = serving_,
                .peers = peers_,
                .directory = directory_}),
      peer_api_({.fleet_keys = settings_.fleet_keys,
                 .inbound = inbound_,
                 .callers = callers_,
                 .fleet = fleet_}),
      status_({.settings = settings_,
               .incarnation = incarnation_,
               .view = view_,
               .fleet = fleet_,
               .directory = directory_,
               .inbound = inbound_,
               .outbound = outbound_,
               .watch = watch_}),
      admin_(status_.Sources()) {
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
    const http_request& request = exchange->request();
    const std::string target = request.query.empty()
                                   ? request.path
                                   : request.path + "?" + request.query;
    admin_response page = admin_.Handle(request.verb, target);
    exchange->Respond({.status = page.status,
                       .content_type = std::move(page.content_type),
                       .body = std::move(page.body)});
  };
  admin_server_ = std::make_unique<http_server>(control_, options);
}

void daemon_parts::Start() {
  watch_.audit().Add({.kind = audit_kind::kStarted,
                      .subject = settings_.vm,
                      .after = PW_VERSION,
                      .cause = "service=" + settings_.service});
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
  inbound_.SetReady(view->ready);
  ImportSuspects(*view);
  if (view->own_state == member_state::kLeaving) {
    Drain();
  }
}

void daemon_parts::OnFleetEvent(const fleet_event& event) {
  const auto kind = kAuditKindNames.Find(event.name);
  if (kind) {
    watch_.audit().Add(
        {.kind = *kind, .subject = event.subject, .after = event.detail});
    return;
  }
  LogEvent(event.name, {{.name = "subject", .value = event.subject},
                        {.name = "detail", .value = event.detail}});
}

// A level moves many times a second under load; what people need is which
// priority it cuts.
void daemon_parts::AuditLevel() {
  const std::uint32_t level = inbound_.Load().admission_level;
  if (level / kRanksPerPriority != last_level_ / kRanksPerPriority) {
    watch_.audit().Add({.kind = audit_kind::kLevelChanged,
                        .subject = settings_.service,
                        .before = std::to_string(last_level_),
                        .after = std::to_string(level),
                        .cause = "load"});
  }
  last_level_ = level;
}

// Each report once: a suspect that has completed since must not be suspected
// again because the view still carries the report.
void daemon_parts::ImportSuspects(const fleet_view& view) {
  std::unordered_set<std::string> seen;
  for (const fleet_blob& blob : view.blobs) {
    if (!imported_.contains(blob.id)) {
      crashes_.Import(blob.bytes, blob.remaining);
    }
    seen.insert(blob.id);
  }
  imported_ = std::move(seen);
}

void daemon_parts::Drain() {
  if (draining_.exchange(true)) {
    return;
  }
  watch_.audit().Add({.kind = audit_kind::kStopping,
                      .subject = settings_.vm,
                      .before = "serving",
                      .after = "draining"});
  fleet_.Leave();
  callers_.Drain();
  inbound_.Drain();
  caller_server_->DrainConnections();
  peer_server_->DrainConnections();
}

std::uint64_t daemon_parts::Requests() const {
  return caller_server_->requests() + peer_server_->requests();
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
  AuditLevel();
}

void daemon_parts::AuditStopped() {
  watch_.audit().Add({.kind = audit_kind::kStopped,
                      .subject = settings_.vm,
                      .before = "draining",
                      .after = "stopped"});
}

void daemon_parts::Stop() {
  fleet_.Stop();
  control_.Stop();
  workers_.Stop();
}

}  // namespace pistachioweir
