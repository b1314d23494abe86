// scenario: what one run of the load model is made of: a deployment, the load
// on it, what goes wrong, and the mechanisms that are switched on.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "include/base/priority.h"
#include "include/base/time.h"

namespace pistachioweir {

inline constexpr std::uint32_t kTargetsPerService = 3;

struct model_service {
  std::string name;
  std::uint32_t slots = 1;
  std::uint32_t connections = 1;
  duration own_time{0};  // Mean, without calls to other services.
};

struct model_method {
  std::string name;
  priority level = priority::kNormal;
  double share = 0;       // Of the demand.
  double time_scale = 1;  // Its own time against its service's.
};

// Services in the order in which they call each other; target i of each is in
// data centre i.
struct deployment {
  std::string name;
  duration data_centre_latency{0};  // One way.
  duration client_latency{0};       // One way.
  std::vector<model_service> chain;
  std::vector<model_method> methods;
};

// Each can be switched off alone, to see what it is worth.
enum class mechanism : std::uint8_t {
  kQueue,       // Bounded queue by priority and deadline; deadlines passed on.
  kLimit,       // Learnt concurrency limit.
  kLevel,       // Admission level, refusal at the entrance.
  kPlacing,     // Power of two choices over load.
  kEjection,    // Ejection and slow start.
  kRetry,       // Retry credit over the call tree, retry ratio.
  kCancel,      // Cancellation down the chain.
  kQuarantine,  // Of requests that crash targets.
};

inline constexpr std::size_t kMechanismCount = 8;

inline constexpr enum_table<mechanism, kMechanismCount> kMechanismNames(
    {"queue", "limit", "level", "placing", "ejection", "retry", "cancel",
     "quarantine"});

class mechanism_set {
 public:
  [[nodiscard]] bool Has(mechanism which) const {
    return on_[static_cast<std::size_t>(which)];
  }
  void Set(mechanism which, bool on) {
    on_[static_cast<std::size_t>(which)] = on;
  }
  [[nodiscard]] static mechanism_set All() {
    mechanism_set all;
    all.on_.fill(true);
    return all;
  }

 private:
  std::array<bool, kMechanismCount> on_{};
};

// What callers do when a request fails.
enum class caller_kind : std::uint8_t {
  kGivesUp,
  kResends,  // At once, up to three times, whatever it was told.
  kHonours,  // Comes back once after the retry-after.
};

struct scenario {
  std::string name;
  duration trigger_start = seconds(2);
  duration trigger_end = seconds(7);
  duration end = seconds(11);
  double load = 0.6;         // Of what the slots can finish.
  double surge = 1;          // Load is this much higher during the trigger,
  duration burst_period{0};  // in bursts of burst_length, if not zero.
  duration burst_length{0};
  caller_kind callers = caller_kind::kGivesUp;
  duration timeout = milliseconds(200);

  // During the trigger:
  std::uint32_t slow_targets = 0;  // This many of the deepest service...
  double slow_factor = 1;          // ...take this much longer.
  bool skewed_entry = false;       // All callers enter at one daemon.
  double skewed_method = 1;        // Demand for the last method.
  double long_share = 0;           // Share of requests that are long...
  double long_factor = 1;          // ...by this factor.
  bool replaced = false;     // One target of each is replaced, starts cold.
  bool crashing = false;     // A request that crashes targets is sent.
  double missing_slots = 0;  // Share of one target's slots that isn't there.
  bool silent = false;       // One target of each is gone, views are old.
};

inline constexpr double kColdFactor = 3;
inline constexpr seconds kColdTime{2};
inline constexpr seconds kRestartTime{1};

[[nodiscard]] std::vector<deployment> Deployments(std::uint32_t depth);
[[nodiscard]] std::vector<scenario> Scenarios();

// Requests a second that the deployment's slots can finish when all is well.
[[nodiscard]] double Capacity(const deployment& where);
// Requests offered a second at `at` after the start.
[[nodiscard]] double DemandAt(const deployment& where,
                              const scenario& what,
                              duration at);
[[nodiscard]] bool InTrigger(const scenario& what, duration at);

}  // namespace pistachioweir
