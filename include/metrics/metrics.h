// daemon_metrics: what a daemon counts, and its text for Prometheus. Counting
// takes a few relaxed atomic additions on memory that other threads rarely
// touch; all the rest happens when somebody reads.
#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "include/base/enum_table.h"
#include "include/base/outcome.h"
#include "include/base/time.h"

namespace prometheus {
struct MetricFamily;
}  // namespace prometheus

namespace pistachioweir {

// Which part of the daemon a call was counted in.
enum class call_role : std::uint8_t {
  kOutbound,  // Calls of callers and of the local target, sent to a target.
  kInbound,   // Calls from other daemons, for the target beside this one.
};

inline constexpr enum_table<call_role, 2> kCallRoleNames({"outbound",
                                                          "inbound"});

enum class gauge : std::uint8_t {
  kConcurrencyLimit,
  kInFlight,
  kQueued,
  kAdmissionLevel,
  kConnections,
  kTargetsLive,
  kPeersKnown,
  kKeysHeld,
  kQuarantines,
  kPlatformAgeSeconds,
};

inline constexpr std::size_t kGaugeCount =
    static_cast<std::size_t>(gauge::kPlatformAgeSeconds) + 1;

inline constexpr enum_table<gauge, kGaugeCount> kGaugeNames({
    "concurrency_limit",
    "in_flight",
    "queued",
    "admission_level",
    "connections",
    "targets_live",
    "peers_known",
    "keys_held",
    "quarantines",
    "platform_age_seconds",
});

// Counters that have no method.
enum class counter : std::uint8_t {
  kRetries,
  kRetriesDenied,
  kCancels,
  kPlatformReads,
  kPlatformErrors,
  kGossipSent,
  kGossipReceived,
  kGossipRefused,
  kGossipBytesSent,
  kGossipBytesReceived,
  kManifestPulls,
  kConnectionsOpened,
  kConnectionsLost,
  kBadRequests,
};

inline constexpr std::size_t kCounterCount =
    static_cast<std::size_t>(counter::kBadRequests) + 1;

inline constexpr enum_table<counter, kCounterCount> kCounterNames({
    "retries",
    "retries_denied",
    "cancels",
    "platform_reads",
    "platform_errors",
    "gossip_sent",
    "gossip_received",
    "gossip_refused",
    "gossip_bytes_sent",
    "gossip_bytes_received",
    "manifest_pulls",
    "connections_opened",
    "connections_lost",
    "bad_requests",
});

// Bucket bounds of all histograms: from a tenth of the time that the daemons
// may add to a call up to the longest usual deadline.
inline constexpr std::array<microseconds, 14> kLatencyBounds{
    microseconds(50),      microseconds(100),     microseconds(250),
    microseconds(500),     microseconds(1000),    microseconds(2500),
    microseconds(5000),    microseconds(10000),   microseconds(25000),
    microseconds(50000),   microseconds(100000),  microseconds(250000),
    microseconds(1000000), microseconds(10000000)};

// Counts of one histogram; the last bucket has no bound.
struct latency_counts {
  std::array<std::uint64_t, kLatencyBounds.size() + 1> buckets{};
  std::uint64_t sum_microseconds = 0;
};

// Calls of one method in one role. Owned by daemon_metrics; thread-safe.
class method_metrics {
 public:
  // Counts a call that ended; `latency` is from its arrival to its answer.
  void CountCall(outcome_kind kind, reason why, duration latency);
  // Counts how long a call waited before it started.
  void CountQueueing(duration waited);

  [[nodiscard]] std::uint64_t calls(outcome_kind kind, reason why) const;
  [[nodiscard]] latency_counts latency() const;
  [[nodiscard]] latency_counts queueing() const;

 private:
  static constexpr std::size_t kShards = 8;
  static constexpr std::size_t kOutcomeKinds = 3;

  struct latency_shard {
    std::array<std::atomic<std::uint64_t>, kLatencyBounds.size() + 1> buckets{};
    std::atomic<std::uint64_t> sum_microseconds{0};
  };

  // One for each of a few threads, so that they don't share cache lines.
  struct alignas(64) shard {
    std::array<std::atomic<std::uint64_t>, kOutcomeKinds * kReasonCount>
        calls{};
    latency_shard latency;
    latency_shard queueing;
  };

  [[nodiscard]] static std::size_t ThisThread();
  static void Observe(duration value, latency_shard* where);
  [[nodiscard]] latency_counts Sum(latency_shard shard::*member) const;

  std::array<shard, kShards> shards_;
};

class daemon_metrics {
 public:
  // More methods than a daemon serves and calls; whatever comes after counts
  // as method "other", so that names from outside can't grow memory.
  static constexpr std::size_t kMaxMethods = 512;

  daemon_metrics();
  ~daemon_metrics();

  // The counters of one method, made on first use. Never null, valid as long as
  // this; callers keep it rather than ask for each call.
  [[nodiscard]] method_metrics* ForMethod(call_role role,
                                          std::string_view service,
                                          std::string_view method);

  void Set(gauge which, double value);
  void Add(counter which, std::uint64_t count = 1);

  // All of it in Prometheus's text format.
  [[nodiscard]] std::string Text() const;

 private:
  using method_key = std::tuple<call_role, std::string, std::string>;

  void AppendMethods(std::vector<prometheus::MetricFamily>* families) const;

  std::array<std::atomic<double>, kGaugeCount> gauges_{};
  std::array<std::atomic<std::uint64_t>, kCounterCount> counters_{};
  mutable std::mutex mutex_;
  // At most kMaxMethods and one "other" a role; guarded by mutex_.
  std::map<method_key, std::unique_ptr<method_metrics>> methods_;
};

}  // namespace pistachioweir
