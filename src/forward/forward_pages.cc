// Metrics of a forwarding daemon, by prometheus-cpp's serializer.
#include "src/forward/forward_pages.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "include/base/enum_table.h"
#include "include/base/log.h"
#include "src/forward/caller_session.h"
#include "src/forward/executor.h"
#include "src/forward/origin.h"

namespace pistachioweir {
namespace {

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

void Add(std::string_view name,
         std::string_view help,
         MetricType type,
         double value,
         std::vector<MetricFamily>* families) {
  MetricFamily family;
  family.name = "pistachioweir_forward_" + std::string(name);
  family.help = std::string(help);
  family.type = type;
  ClientMetric metric;
  (type == MetricType::Gauge ? metric.gauge.value : metric.counter.value) =
      value;
  family.metric.push_back(std::move(metric));
  families->push_back(std::move(family));
}

// Time from a daemon's read of a change until the change was applied here.
MetricFamily ChangeAges(const view_sharing_counters& sharing) {
  MetricFamily family;
  family.name = "pistachioweir_forward_told_change_seconds";
  family.help = "From a daemon's read of a change until it is applied here";
  family.type = MetricType::Histogram;
  ClientMetric metric;
  std::uint64_t sum = 0;
  for (std::size_t i = 0; i < sharing.by_age.size(); ++i) {
    sum += sharing.by_age[i];
    constexpr double kMillisecondsPerSecond = 1000;
    const double bound =
        i < view_sharing_counters::kBounds.size()
            ? view_sharing_counters::kBounds[i] / kMillisecondsPerSecond
            : std::numeric_limits<double>::infinity();
    metric.histogram.bucket.push_back(
        {.cumulative_count = sum, .upper_bound = bound});
  }
  metric.histogram.sample_count = sum;
  metric.histogram.sample_sum = sharing.age_seconds;
  family.metric.push_back(std::move(metric));
  return family;
}

void AddView(const view_page& view, std::vector<MetricFamily>* families) {
  const auto counter = [&](std::string_view name, std::string_view help,
                           std::uint64_t value) {
    Add(name, help, MetricType::Counter, static_cast<double>(value), families);
  };
  Add("view_age_seconds", "Since a reader of the store confirmed the view",
      MetricType::Gauge, std::chrono::duration<double>(view.age).count(),
      families);
  if (view.proven_age) {
    Add("view_proven_age_seconds",
        "Since the view is proven to have been the store's newest state",
        MetricType::Gauge,
        std::chrono::duration<double>(*view.proven_age).count(), families);
  }
  Add("reads_store", "Whether this daemon reads the store", MetricType::Gauge,
      view.reading == store_reading::kNone ? 0 : 1, families);
  Add("followers", "Daemons that receive changes from this one",
      MetricType::Gauge, static_cast<double>(view.followers), families);
  counter("store_calls", "Calls to the store", view.store_calls);
  counter("removals_delayed",
          "Removals of targets delayed after an outage of the store",
          view.removals_delayed);
  counter("changes_sent", "Frames of changes to other daemons",
          view.publishing.told);
  counter("changes_put_off",
          "Frames not sent because the follower reads slowly",
          view.publishing.put_off);
  counter("changes_taken", "Frames of changes that were applied",
          view.sharing.taken);
  counter("changes_useless", "Frames of changes that were not applied",
          view.sharing.not_applied);
  counter("changes_asked", "Requests for changes that other daemons reported",
          view.sharing.asked);
  families->push_back(ChangeAges(view.sharing));
}

// Organisations with the most refusals; bounds the size of the page.
constexpr std::size_t kMaxOrganisations = 50;

void AddQuotas(const quota_page& quotas, std::vector<MetricFamily>* families) {
  Add("quota_daemons_in_touch", "Daemons that share quotas with this one",
      MetricType::Gauge, quotas.in_touch, families);
  std::vector<quota_page_entry> top = quotas.refused;
  std::ranges::sort(top, std::greater<>(), &quota_page_entry::refused);
  top.resize(std::min(top.size(), kMaxOrganisations));
  MetricFamily family;
  family.name = "pistachioweir_forward_quota_requests";
  family.help = "Requests of organisations with refusals, by verdict";
  family.type = MetricType::Counter;
  for (const quota_page_entry& each : top) {
    for (const bool refused : {false, true}) {
      ClientMetric metric;
      metric.label = {
          {.name = "organisation", .value = each.organisation},
          {.name = "verdict", .value = refused ? "refused" : "admitted"}};
      metric.counter.value =
          static_cast<double>(refused ? each.refused : each.admitted);
      family.metric.push_back(std::move(metric));
    }
  }
  families->push_back(std::move(family));
}

// One counter with a value for each name of an enum.
template <typename Enum, std::size_t kCount>
void AddByName(std::string_view name,
               std::string_view help,
               std::string_view label,
               const enum_table<Enum, kCount>& names,
               const std::array<std::uint64_t, kCount>& counts,
               std::vector<MetricFamily>* families) {
  MetricFamily family;
  family.name = "pistachioweir_forward_" + std::string(name);
  family.help = std::string(help);
  family.type = MetricType::Counter;
  for (std::size_t i = 0; i < kCount; ++i) {
    ClientMetric metric;
    metric.label = {{.name = std::string(label),
                     .value = std::string(names.Name(static_cast<Enum>(i)))}};
    metric.counter.value = static_cast<double>(counts[i]);
    family.metric.push_back(std::move(metric));
  }
  families->push_back(std::move(family));
}

void AddLoad(const process_load& load, std::vector<MetricFamily>* families) {
  const auto gauge = [&](std::string_view name, std::string_view help,
                         std::size_t value) {
    Add(name, help, MetricType::Gauge, static_cast<double>(value), families);
  };
  Add("loop_lag_seconds", "How late the last timer of a second ran",
      MetricType::Gauge, std::chrono::duration<double>(load.lag).count(),
      families);
  gauge("heap_bytes", "Bytes allocated from the C library's allocator",
        load.heap_bytes);
  gauge("links", "Connections to other daemons", load.links.open);
  gauge("link_unsent_bytes", "Bytes not yet sent to other daemons on links",
        load.links.unsent_bytes);
  gauge("sessions", "Connections from other daemons", load.sessions.open);
  gauge("session_unsent_bytes",
        "Bytes not yet sent to other daemons on sessions",
        load.sessions.unsent_bytes);
  gauge("caller_held_bytes", "Bytes of bodies of callers' requests",
        load.caller_bytes);
  for (std::size_t i = 0; i < load.held.size(); ++i) {
    gauge("held_" +
              std::string(kMemoryUseNames.Name(static_cast<memory_use>(i))) +
              "_bytes",
          "Bytes reserved for bodies and frames of this use", load.held[i]);
  }
  gauge("answer_bytes", "Bytes of answers kept until their senders settle them",
        load.answer_bytes);
  AddByName("no_room", "Reservations of memory that did not fit, by use", "use",
            kMemoryUseNames, load.no_room, families);
}

void AddEntranceShares(const entrance_control& entrance,
                       std::vector<MetricFamily>* families) {
  MetricFamily family;
  family.name = "pistachioweir_forward_entrance_share";
  family.help =
      "Share of the requests of a route that the services below the local "
      "target have room for";
  family.type = MetricType::Gauge;
  for (const auto& [route, share] : entrance.Shares(monotonic_clock::now())) {
    ClientMetric metric;
    metric.label = {{.name = "route", .value = route}};
    metric.gauge.value = share;
    family.metric.push_back(std::move(metric));
  }
  families->push_back(std::move(family));
}

// By rank where requests have one; tokens have none.
void AddRepeats(const ranked_repeat_counters& repeats,
                const repeat_sharing_counters& sharing,
                std::vector<MetricFamily>* families) {
  MetricFamily family;
  family.name = "pistachioweir_forward_repeats";
  family.help = "Repeats of requests by rank, with repeat_budget shared";
  family.type = MetricType::Counter;
  for (std::size_t rank = 0; rank < kPriorityCount; ++rank) {
    for (const bool refused : {false, true}) {
      ClientMetric metric;
      metric.label = {
          {.name = "rank", .value = std::to_string(rank)},
          {.name = "verdict", .value = refused ? "refused" : "spent"}};
      metric.counter.value = static_cast<double>(refused ? repeats.refused[rank]
                                                         : repeats.spent[rank]);
      family.metric.push_back(std::move(metric));
    }
  }
  families->push_back(std::move(family));
  const auto counter = [&](std::string_view name, std::string_view help,
                           std::uint64_t value) {
    Add(name, help, MetricType::Counter, static_cast<double>(value), families);
  };
  counter("repeats_inherited", "First sends that repeat a run above",
          repeats.inherited);
  counter("repeats_lent", "Repeats lent to other daemons", repeats.lent);
  counter("repeats_borrowed", "Repeats borrowed from other daemons",
          repeats.borrowed);
  counter("repeat_reports_sent", "Reports of repeats to the parent",
          sharing.reports);
  counter("repeat_grants_taken", "Grants of repeats from the parent",
          sharing.grants);
  counter("repeat_grants_late", "Grants dropped because they were too late",
          sharing.late_grants);
  counter("repeat_frames_unreadable", "Malformed reports and grants of repeats",
          sharing.unreadable);
}

std::string MetricsText(const forward_page_sources& sources) {
  std::vector<MetricFamily> families;
  const auto counter = [&](std::string_view name, std::string_view help,
                           std::uint64_t value) {
    Add(name, help, MetricType::Counter, static_cast<double>(value), &families);
  };
  const auto gauge = [&](std::string_view name, std::string_view help,
                         double value) {
    Add(name, help, MetricType::Gauge, value, &families);
  };
  const origin_counters& calls = sources.calls.counters();
  counter("calls_completed", "Callers' requests with a target's answer",
          calls.completed);
  counter("calls_not_executed", "Callers' requests refused, nothing ran",
          calls.not_executed);
  counter("calls_unknown", "Callers' requests that may have run",
          calls.unknown);
  counter("calls_abandoned", "Callers that disconnected before their answer",
          calls.abandoned);
  counter("calls_sent_again", "Repeated sends of requests", calls.sent_again);
  counter("calls_ended_by_stop",
          "Callers' requests unfinished when the daemon stopped",
          calls.ended_by_stop);
  counter("calls_ended_with_parent",
          "Calls of the target cancelled because its run was lost",
          calls.ended_with_parent);
  AddByName(
      "lineage_calls",
      "Requests of local callers and calls of the target, by the evidence of "
      "the request that they are made for",
      "evidence", kLineageEvidenceNames, sources.runs.lineages(), &families);
  if (sources.runs.entrance() != nullptr) {
    AddEntranceShares(*sources.runs.entrance(), &families);
  }
  AddRepeats(sources.calls.RepeatCounters(), sources.repeats, &families);
  const executor_counters& runs = sources.runs.counters();
  counter("lineages_unreadable",
          "Lineages from other daemons that were ignored",
          calls.lineages_unreadable + runs.lineages_unreadable);
  counter("calls_unauthenticated", "Refused without a valid API key",
          calls.unauthenticated);
  counter("calls_keys_unconfirmed",
          "Refused because the view was too old to check API keys",
          calls.keys_unconfirmed);
  counter("calls_over_quota", "Refused beyond an organisation's quota",
          calls.over_quota);
  counter("calls_too_long_for_stop",
          "Requests refused since they might outlive the daemon",
          calls.too_long_for_stop);
  counter("runs_completed", "Runs answered by the target", runs.completed);
  counter("runs_refused", "Calls refused for the target", runs.refused);
  counter("runs_unknown", "Runs without an answer", runs.unknown);
  counter("runs_ended_by_stop", "Runs unfinished when the daemon stopped",
          runs.ended_by_stop);
  counter("runs_too_long_for_stop",
          "Calls refused since they might outlive the daemon",
          runs.too_long_for_stop);
  counter("target_connections_opened", "Connections opened to the target",
          sources.target_connections_opened);
  counter("target_connections_reused", "Runs on a reused connection",
          sources.target_connections_reused);
  counter("target_connections_passed_over",
          "Idle connections not used for a request since they had carried its "
          "id",
          sources.target_connections_passed_over);
  counter("caller_requests", "Requests read from callers",
          sources.callers.requests);
  counter("caller_malformed", "Malformed requests from callers",
          sources.callers.malformed);
  counter("caller_promises_withheld",
          "Responses of targets told as unknown, since their status promises "
          "that a request has not run that may have",
          sources.callers.promises_withheld);
  counter("caller_read_too_late",
          "Requests read after their callers had disconnected",
          sources.callers.read_too_late);
  AddByName("caller_requests_dropped",
            "Requests without a written response when their connection ended, "
            "by the cause of its end",
            "why", kCallerEndNames, sources.callers.dropped, &families);
  counter("log_lines_dropped",
          "Log lines dropped because the reader was too slow",
          DroppedLogLines());
  const load_report load = sources.runs.Load();
  gauge("running", "Requests at the target", load.in_flight);
  gauge("queued", "Requests queued for the target", load.queued);
  gauge("limit", "Concurrency limit of the target", load.limit);
  const std::optional<double> rate_limit = sources.runs.notices().rate_limit();
  if (rate_limit) {
    gauge("target_rate_limit", "Requests a second that the target takes",
          *rate_limit);
  }
  gauge("target_leaving", "Whether the target says that it is leaving",
        sources.runs.notices().leaving_since() ? 1 : 0);
  gauge("starts_per_second", "Requests sent to the target in the last second",
        sources.runs.recent_starts(monotonic_clock::now()));
  gauge("caller_connections", "Connections of callers",
        static_cast<double>(sources.callers.sessions));
  gauge(
      "caller_connections_lingering",
      "Connections that their callers haven't closed behind the last response",
      static_cast<double>(sources.callers.lingering));
  gauge("view_revision", "Newest revision of the store in the view",
        static_cast<double>(sources.view.revision));
  AddLoad(sources.load, &families);
  AddView(sources.view, &families);
  AddQuotas(sources.quotas, &families);
  gauge("ready", "Whether the daemon is ready for callers",
        sources.ready ? 1 : 0);
  const auto& view = sources.calls.view();
  if (view != nullptr && view->config != nullptr) {
    gauge("config_version", "Configuration in force",
          static_cast<double>(view->config->version));
    gauge("targets", "Targets in the view",
          static_cast<double>(view->targets.size()));
  }
  return prometheus::TextSerializer().Serialize(families);
}

}  // namespace

http_response ForwardPage(std::string_view path,
                          const forward_page_sources& sources) {
  constexpr int kNotFound = 404;
  if (path != "/metrics") {
    return {.status = kNotFound};
  }
  return {.content_type = "text/plain; version=0.0.4",
          .body = MetricsText(sources)};
}

}  // namespace pistachioweir
