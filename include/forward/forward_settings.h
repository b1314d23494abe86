// forward_settings: what a daemon is told about itself where a platform's own
// protocols are spoken on both sides of it.
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

namespace pistachioweir {

// Which daemons read the platform's store.
enum class reader_policy : std::uint8_t {
  kFew,  // Two of each data centre, and they tell the others.
  kAll,  // Each by itself.
};

inline constexpr enum_table<reader_policy, 2> kReaderPolicyNames({"few",
                                                                  "all"});

struct forward_settings {
  vm_id vm;
  std::string service;  // Of the target beside the daemon.
  std::string data_centre;

  endpoint caller;                 // HTTP for callers and for the target.
  endpoint peer;                   // Other daemons.
  endpoint ready;                  // Tells whether callers may come.
  endpoint admin;                  // Metrics; reads only.
  endpoint target;                 // The target beside this daemon.
  std::vector<endpoint> platform;  // The store of views.

  // What the process may take.
  double memory_mb = 256;
  std::uint32_t max_descriptors = 1024;

  // How long a stopping daemon has before it is killed.
  milliseconds stop_timeout{6000};
  // Calls a second that the platform's store takes of all daemons; zero if not
  // told.
  double store_calls_per_second = 0;
  reader_policy store_readers = reader_policy::kFew;

  // Within this time of its withdrawal an API key must not be served any more,
  // also by a daemon that can't learn of it; zero if such a daemon goes on with
  // what it knows.
  milliseconds key_withdrawal{0};

  // Part by which organisations may exceed their quotas for some seconds.
  double quota_overage = 0;

  // Bounds on how often requests are sent again, over all daemons: in each
  // window, a part of the requests of a service and a reserve.
  double repeat_ratio = 0.2;
  double repeat_reserve = 10;
  milliseconds repeat_window{10000};
};

// Reads settings from JSON with comments. Unknown keys, wrong types, values out
// of range and missing ones are errors, each named with its place below
// `origin`.
[[nodiscard]] parse_result<forward_settings> ParseForwardSettings(
    std::string_view json,
    std::string_view origin);

}  // namespace pistachioweir
