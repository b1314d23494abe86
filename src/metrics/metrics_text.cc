// What daemon_metrics counts as Prometheus's text, by prometheus-cpp's
// serializer. The library's own histograms take a lock for each observation,
// so the counts are kept by us and handed to it as values.
#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <limits>
#include <utility>
#include <vector>

#include "include/metrics/metrics.h"

namespace pistachioweir {
namespace {

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

constexpr std::string_view kPrefix = "pistachioweir_";

MetricFamily Family(std::string_view name,
                    std::string_view help,
                    MetricType type) {
  MetricFamily family;
  family.name = std::string(kPrefix) + std::string(name);
  family.help = std::string(help);
  family.type = type;
  return family;
}

MetricFamily Plain(std::string_view name,
                   std::string_view help,
                   MetricType type,
                   double value) {
  MetricFamily family = Family(name, help, type);
  ClientMetric metric;
  metric.gauge.value = value;
  metric.counter.value = value;
  family.metric.push_back(std::move(metric));
  return family;
}

double Seconds(std::uint64_t count_of_microseconds) {
  return static_cast<double>(count_of_microseconds) / 1e6;
}

ClientMetric Histogram(std::vector<ClientMetric::Label> labels,
                       const latency_counts& counts) {
  ClientMetric metric;
  metric.label = std::move(labels);
  std::uint64_t total = 0;
  for (std::size_t i = 0; i < counts.buckets.size(); ++i) {
    total += counts.buckets[i];
    const bool bounded = i < kLatencyBounds.size();
    metric.histogram.bucket.push_back(
        {.cumulative_count = total,
         .upper_bound = bounded ? Seconds(static_cast<std::uint64_t>(
                                      kLatencyBounds[i].count()))
                                : std::numeric_limits<double>::infinity()});
  }
  metric.histogram.sample_count = total;
  metric.histogram.sample_sum = Seconds(counts.sum_microseconds);
  return metric;
}

// One series for each outcome and reason that occurred.
void AppendCalls(const method_metrics& method,
                 const std::vector<ClientMetric::Label>& labels,
                 MetricFamily* family) {
  for (const outcome_kind kind :
       {outcome_kind::kCompleted, outcome_kind::kNotExecuted,
        outcome_kind::kUnknown}) {
    for (std::size_t i = 0; i < kReasonCount; ++i) {
      const auto why = static_cast<reason>(i);
      const std::uint64_t count = method.calls(kind, why);
      if (count == 0) {
        continue;
      }
      ClientMetric metric;
      metric.label = labels;
      metric.label.push_back(
          {.name = "outcome",
           .value = std::string(kOutcomeKindNames.Name(kind))});
      metric.label.push_back(
          {.name = "reason", .value = std::string(kReasonNames.Name(why))});
      metric.counter.value = static_cast<double>(count);
      family->metric.push_back(std::move(metric));
    }
  }
}

}  // namespace

std::string daemon_metrics::Text() const {
  std::vector<MetricFamily> families;
  for (std::size_t i = 0; i < kGaugeCount; ++i) {
    families.push_back(Plain(kGaugeNames.Name(static_cast<gauge>(i)),
                             "State of this daemon.", MetricType::Gauge,
                             gauges_[i].load(std::memory_order_relaxed)));
  }
  for (std::size_t i = 0; i < kCounterCount; ++i) {
    const std::string name(kCounterNames.Name(static_cast<counter>(i)));
    families.push_back(Plain(
        name + "_total", "Events since start.", MetricType::Counter,
        static_cast<double>(counters_[i].load(std::memory_order_relaxed))));
  }
  AppendMethods(&families);
  return prometheus::TextSerializer().Serialize(families);
}

void daemon_metrics::AppendMethods(std::vector<MetricFamily>* families) const {
  MetricFamily calls = Family("calls_total", "Calls that ended, by outcome.",
                              MetricType::Counter);
  MetricFamily latency =
      Family("call_duration_seconds", "Arrival of a call to its answer.",
             MetricType::Histogram);
  MetricFamily queueing =
      Family("queueing_duration_seconds", "Arrival of a call to its start.",
             MetricType::Histogram);
  {
    const std::lock_guard lock(mutex_);
    for (const auto& [key, entry] : methods_) {
      const auto& [role, service, method] = key;
      const std::vector<ClientMetric::Label> labels{
          {.name = "role", .value = std::string(kCallRoleNames.Name(role))},
          {.name = "service", .value = service},
          {.name = "method", .value = method}};
      AppendCalls(*entry, labels, &calls);
      latency.metric.push_back(Histogram(labels, entry->latency()));
      queueing.metric.push_back(Histogram(labels, entry->queueing()));
    }
  }
  families->push_back(std::move(calls));
  families->push_back(std::move(latency));
  families->push_back(std::move(queueing));
}

}  // namespace pistachioweir
