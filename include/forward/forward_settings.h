// forward_settings: settings of a daemon that forwards requests between callers
// and targets which both use the platform's own protocols.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "include/base/enum_table.h"
#include "include/base/ids.h"
#include "include/base/time.h"
#include "include/config/config_error.h"
#include "include/config/settings.h"
#include "include/lineage/call_lineage.h"
#include "include/retry/ranked_repeat_budget.h"

namespace pistachioweir {

// Which daemons read the platform's store.
enum class reader_policy : std::uint8_t {
  kFew,  // Two of each data centre; they send changes to the others.
  kAll,  // Every daemon.
};

inline constexpr enum_table<reader_policy, 2> kReaderPolicyNames({"few",
                                                                  "all"});

// What limits the requests that are admitted at the entrance of call trees.
enum class entrance_policy : std::uint8_t {
  kResults,  // How many of them fail.
  kCost,     // Also the slot time that they take at overloaded services below.
};

inline constexpr enum_table<entrance_policy, 2> kEntrancePolicyNames({"results",
                                                                      "cost"});

struct forward_settings {
  vm_id vm;
  std::string service;  // Of the target beside the daemon.
  std::string data_centre;

  endpoint caller;                 // HTTP for callers and for the target.
  endpoint peer;                   // Other daemons.
  endpoint ready;                  // Readiness for callers.
  endpoint admin;                  // Metrics; read-only.
  endpoint target;                 // The target beside this daemon.
  std::vector<endpoint> platform;  // The platform's store.

  // Limits of the process.
  double memory_mb = 256;
  std::uint32_t max_descriptors = 1024;

  // How long a stopping daemon has before it is killed.
  milliseconds stop_timeout{6000};
  // Calls per second that the platform's store accepts from all daemons
  // together; zero if unknown.
  double store_calls_per_second = 0;
  reader_policy store_readers = reader_policy::kFew;

  // An API key must not be accepted later than this after its withdrawal, even
  // by a daemon that can't learn of the withdrawal. Zero if such a daemon goes
  // on with the keys that it has.
  milliseconds key_withdrawal{0};

  // Fraction by which organisations may exceed their quotas for some seconds.
  double quota_overage = 0;

  // How calls of targets are tied to the requests that they are made for.
  lineage_policy call_lineage = lineage_policy::kOff;

  // kCost needs `call_lineage`.
  entrance_policy entrance = entrance_policy::kResults;

  // Retry budget over all daemons: in each window, a fraction of the requests
  // of a service plus a reserve.
  double repeat_ratio = 0.2;
  double repeat_reserve = 10;
  milliseconds repeat_window{10000};
  repeat_sharing_policy repeat_sharing = repeat_sharing_policy::kLocal;
};

// Reads settings from JSON with comments. Unknown keys, wrong types, values out
// of range and missing ones are errors, each reported with its path below
// `origin`.
[[nodiscard]] parse_result<forward_settings> ParseForwardSettings(
    std::string_view json,
    std::string_view origin);

}  // namespace pistachioweir
