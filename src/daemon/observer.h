// observer: what a daemon keeps for people: metrics, the audit trail and the
// last refusals.
#pragma once

#include <cstdint>
#include <string_view>

#include "include/audit/audit_log.h"
#include "include/audit/refusal_log.h"
#include "include/base/ids.h"
#include "include/base/outcome.h"
#include "include/base/priority.h"
#include "include/base/time.h"
#include "include/metrics/metrics.h"

namespace pistachioweir {

// A call that ended, as whoever asked for it was told.
struct ended_call_report {
  std::string_view service;
  std::string_view method;
  priority level = priority::kNormal;
  const outcome& result;
  duration latency{0};
  // The VM whose daemon decided, and its load then.
  std::string_view vm;
  std::uint32_t admission_level = 0;
  std::uint32_t queued = 0;
  std::uint32_t limit = 0;
};

// Owns all three; thread-safe.
class observer {
 public:
  // Counts the call, and keeps it if it wasn't completed. `counted` are the
  // method's counters, or nullptr where there is no such method.
  void OnCallEnded(method_metrics* counted, const ended_call_report& call);

  [[nodiscard]] daemon_metrics& metrics() { return metrics_; }
  [[nodiscard]] audit_log& audit() { return audit_; }
  [[nodiscard]] refusal_log& refusals() { return refusals_; }

 private:
  daemon_metrics metrics_;
  audit_log audit_;
  refusal_log refusals_;
};

}  // namespace pistachioweir
