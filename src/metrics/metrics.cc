// Counts of calls, gauges and counters. Only the methods' table has a lock, and
// no call takes it.
#include "include/metrics/metrics.h"

#include <algorithm>

namespace pistachioweir {
namespace {

constexpr std::string_view kOther = "other";

}  // namespace

std::size_t method_metrics::ThisThread() {
  static std::atomic<std::size_t> threads{0};
  thread_local const std::size_t mine =
      threads.fetch_add(1, std::memory_order_relaxed) % kShards;
  return mine;
}

void method_metrics::Observe(duration value, latency_shard* where) {
  const auto micros = std::chrono::duration_cast<microseconds>(value);
  std::size_t bucket = 0;
  while (bucket < kLatencyBounds.size() && micros > kLatencyBounds[bucket]) {
    ++bucket;
  }
  where->buckets[bucket].fetch_add(1, std::memory_order_relaxed);
  const std::int64_t sum = std::max<std::int64_t>(micros.count(), 0);
  where->sum_microseconds.fetch_add(static_cast<std::uint64_t>(sum),
                                    std::memory_order_relaxed);
}

void method_metrics::CountCall(outcome_kind kind,
                               reason why,
                               duration latency) {
  shard& mine = shards_[ThisThread()];
  const std::size_t index = static_cast<std::size_t>(kind) * kReasonCount +
                            static_cast<std::size_t>(why);
  mine.calls[index].fetch_add(1, std::memory_order_relaxed);
  Observe(latency, &mine.latency);
}

void method_metrics::CountQueueing(duration waited) {
  Observe(waited, &shards_[ThisThread()].queueing);
}

std::uint64_t method_metrics::calls(outcome_kind kind, reason why) const {
  const std::size_t index = static_cast<std::size_t>(kind) * kReasonCount +
                            static_cast<std::size_t>(why);
  std::uint64_t sum = 0;
  for (const shard& part : shards_) {
    sum += part.calls[index].load(std::memory_order_relaxed);
  }
  return sum;
}

latency_counts method_metrics::Sum(latency_shard shard::*member) const {
  latency_counts sum;
  for (const shard& part : shards_) {
    const latency_shard& counts = part.*member;
    for (std::size_t i = 0; i < sum.buckets.size(); ++i) {
      sum.buckets[i] += counts.buckets[i].load(std::memory_order_relaxed);
    }
    sum.sum_microseconds +=
        counts.sum_microseconds.load(std::memory_order_relaxed);
  }
  return sum;
}

latency_counts method_metrics::latency() const {
  return Sum(&shard::latency);
}

latency_counts method_metrics::queueing() const {
  return Sum(&shard::queueing);
}

daemon_metrics::daemon_metrics() = default;
daemon_metrics::~daemon_metrics() = default;

method_metrics* daemon_metrics::ForMethod(call_role role,
                                          std::string_view service,
                                          std::string_view method) {
  const std::lock_guard lock(mutex_);
  method_key key(role, service, method);
  if (!methods_.contains(key) && methods_.size() >= kMaxMethods) {
    key = method_key(role, kOther, kOther);
  }
  std::unique_ptr<method_metrics>& entry = methods_[key];
  if (!entry) {
    entry = std::make_unique<method_metrics>();
  }
  return entry.get();
}

void daemon_metrics::Set(gauge which, double value) {
  gauges_[static_cast<std::size_t>(which)].store(value,
                                                 std::memory_order_relaxed);
}

void daemon_metrics::Add(counter which, std::uint64_t count) {
  counters_[static_cast<std::size_t>(which)].fetch_add(
      count, std::memory_order_relaxed);
}

}  // namespace pistachioweir
