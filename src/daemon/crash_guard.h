// crash_guard: keeps requests that crash targets away from the target beside
// this daemon, and tells other daemons which requests are suspected.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "include/base/ids.h"
#include "include/base/time.h"
#include "include/quarantine/quarantine.h"

namespace pistachioweir {

struct call_envelope;
class observer;
class worker_pool;

// What one daemon tells the fleet after a crash.
struct suspect_report {
  std::string id;  // Unique over the fleet.
  std::string bytes;
  milliseconds lifetime{0};
};

struct crash_guard_options {
  incarnation_id incarnation{};
  worker_pool& workers;
  observer& watch;
  // Called on worker 0.
  std::function<void(const suspect_report&)> publish;
};

// Owns the quarantine. Thread-safe under one lock, which calls take only while
// some request is suspected.
class crash_guard {
 public:
  explicit crash_guard(crash_guard_options options);
  ~crash_guard();

  // How long the request is refused here; zero if it isn't.
  [[nodiscard]] milliseconds Refused(const call_envelope& request,
                                     time_point now);
  // The target ended the connection of this request, which started at
  // `started`, without an answer.
  void OnLost(const call_envelope& request, time_point started);
  void OnCompleted(const call_envelope& request);

  // Takes in what another daemon published. Ignores what isn't a report.
  void Import(std::string_view bytes, milliseconds remaining);
  void Expire(time_point now);

 private:
  struct suspect {
    request_fingerprint fingerprint;
    time_point started;
  };

  class report_timer;

  void ArmReport();
  void Report();
  [[nodiscard]] bool Empty();

  const crash_guard_options options_;
  std::mutex mutex_;
  quarantine quarantine_;          // Guarded by mutex_, as all below.
  std::vector<suspect> suspects_;  // Of the crash that is being collected.
  crash_id crash_{};               // Likewise.
  std::uint32_t crashes_ = 0;
  std::unique_ptr<report_timer> timer_;
};

// The newest suspects of one crash as bytes, and back. Nothing if `bytes` isn't
// exactly one report.
[[nodiscard]] std::string EncodeSuspects(
    crash_id crash,
    const std::vector<request_fingerprint>& suspects);
[[nodiscard]] std::optional<std::vector<quarantine_entry>> DecodeSuspects(
    std::string_view bytes,
    milliseconds remaining);

}  // namespace pistachioweir
