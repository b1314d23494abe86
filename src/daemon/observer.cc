// Counting calls as they end.
#include "src/daemon/observer.h"

#include <chrono>
#include <string>

namespace pistachioweir {

void observer::OnCallEnded(method_metrics* counted,
                           const ended_call_report& call) {
  if (counted != nullptr) {
    counted->CountCall(call.result.kind, call.result.why, call.latency);
  }
  if (call.result.kind == outcome_kind::kCompleted) {
    return;
  }
  refusals_.Add(call.service, call.method,
                {.at = std::chrono::system_clock::now(),
                 .kind = call.result.kind,
                 .why = call.result.why,
                 .retry_after = call.result.retry_after,
                 .level = call.level,
                 .vm = std::string(call.vm),
                 .admission_level = call.admission_level,
                 .queued = call.queued,
                 .limit = call.limit});
}

}  // namespace pistachioweir
