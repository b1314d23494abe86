// The admin port's data.
#include "src/daemon/status_report.h"

#include <chrono>
#include <utility>

#include "include/config/manifest.h"
#include "include/fleet/fleet_agent.h"
#include "src/daemon/inbound_role.h"
#include "src/daemon/observer.h"
#include "src/daemon/outbound_role.h"
#include "src/daemon/peer_directory.h"
#include "src/daemon/view_holder.h"

namespace pistachioweir {
namespace {

target_state StateOf(member_state state) {
  switch (state) {
    case member_state::kLive:
      return target_state::kLive;
    case member_state::kSuspect:
      return target_state::kEjected;
    case member_state::kLeaving:
    case member_state::kDead:
      break;
  }
  return target_state::kLeaving;
}

}  // namespace

status_report::status_report(const status_options& options)
    : settings_(options.settings),
      incarnation_(options.incarnation),
      view_(options.view),
      fleet_(options.fleet),
      directory_(options.directory),
      inbound_(options.inbound),
      outbound_(options.outbound),
      watch_(options.watch) {}

daemon_state status_report::State() {
  if (inbound_.draining()) {
    return daemon_state::kDraining;
  }
  return view_.Get()->ready() ? daemon_state::kReady : daemon_state::kStarting;
}

daemon_status status_report::Status() {
  const auto view = view_.Get();
  const load_report load = inbound_.Load();
  daemon_status status{.vm = settings_.vm,
                       .incarnation = incarnation_,
                       .version = PW_VERSION,
                       .service = settings_.service,
                       .data_centre = settings_.data_centre,
                       .region = settings_.region,
                       .state = State()};
  status.uptime = std::chrono::duration_cast<milliseconds>(
      monotonic_clock::now() - started_);
  status.concurrency_limit = load.limit;
  status.in_flight = load.in_flight;
  status.queued = load.queued;
  status.admission_level = load.admission_level;
  const fleet_counters fleet = fleet_.Counters();
  status.peers_known = static_cast<std::uint32_t>(fleet.known_peers);
  const bool answered = fleet.platform_answered != time_point();
  status.platform_reachable = answered && !fleet.platform_failing;
  if (answered) {
    status.platform_age = std::chrono::duration_cast<milliseconds>(
        monotonic_clock::now() - fleet.platform_answered);
  }
  if (view->fleet == nullptr) {
    return status;
  }
  const time_point now = monotonic_clock::now();
  for (const fleet_service& service : view->fleet->services) {
    if (service.manifest != nullptr) {
      status.manifests.push_back(
          {.service = service.service,
           .version = service.manifest->version,
           .held_for = std::chrono::duration_cast<milliseconds>(
               now - view->held_since.at(service.service))});
    }
    for (const fleet_target& target : service.targets) {
      status.targets.push_back({.service = service.service,
                                .vm = target.vm,
                                .data_centre = target.data_centre,
                                .state = StateOf(target.state),
                                .heard_ago = HeardAgo(target.vm, now)});
    }
  }
  return status;
}

milliseconds status_report::HeardAgo(const vm_id& vm, time_point now) const {
  const auto heard = directory_.HeardAt(vm);
  return heard ? std::chrono::duration_cast<milliseconds>(now - *heard)
               : milliseconds(0);
}

method_explanation status_report::Explain(std::string_view service,
                                          std::string_view method) {
  const auto view = view_.Get();
  method_explanation told;
  told.refusals = watch_.refusals().Find(service, method);
  if (view->fleet == nullptr) {
    return told;
  }
  const method_spec* found = view->manifests->FindMethod(service, method);
  if (found == nullptr) {
    return told;
  }
  told.known = true;
  told.level = found->level;
  told.at_most_once = view->manifests->IsAtMostOnce(service, method);
  told.timeout = found->timeout;
  if (!told.refusals.last.empty()) {
    // What the last caller was told, less the time that has passed since.
    const refusal& last = told.refusals.last.back();
    const auto passed = std::chrono::duration_cast<milliseconds>(
        std::chrono::system_clock::now() - last.at);
    told.retry_after = std::max(milliseconds(0), last.retry_after - passed);
  }
  return told;
}

void status_report::UpdateCounters() {
  daemon_metrics& metrics = watch_.metrics();
  const load_report load = inbound_.Load();
  metrics.Set(gauge::kConcurrencyLimit, load.limit);
  metrics.Set(gauge::kInFlight, load.in_flight);
  metrics.Set(gauge::kQueued, load.queued);
  metrics.Set(gauge::kAdmissionLevel, load.admission_level);
  const fleet_counters fleet = fleet_.Counters();
  metrics.Set(gauge::kPeersKnown, static_cast<double>(fleet.known_peers));
  const std::lock_guard lock(counted_mutex_);
  const auto add = [&](counter which, std::uint64_t fleet_counters::*member) {
    metrics.Add(which, fleet.*member - counted_.*member);
  };
  add(counter::kPlatformReads, &fleet_counters::platform_reads);
  add(counter::kPlatformErrors, &fleet_counters::platform_failures);
  add(counter::kGossipSent, &fleet_counters::datagrams_sent);
  add(counter::kGossipReceived, &fleet_counters::datagrams_received);
  add(counter::kGossipRefused, &fleet_counters::datagrams_forged);
  add(counter::kGossipBytesSent, &fleet_counters::datagram_bytes_sent);
  add(counter::kGossipBytesReceived, &fleet_counters::datagram_bytes_received);
  add(counter::kManifestPulls, &fleet_counters::pulls_sent);
  counted_ = fleet;
}

std::string status_report::Metrics() {
  UpdateCounters();
  return watch_.metrics().Text();
}

admin_sources status_report::Sources() {
  return {
      .status = [this] { return Status(); },
      .audit = [this](std::size_t max) { return watch_.audit().Recent(max); },
      .explain =
          [this](std::string_view service, std::string_view method) {
            return Explain(service, method);
          },
      .metrics = [this] { return Metrics(); }};
}

}  // namespace pistachioweir
