// target_wait: how long a request waits for an available target before it is
// refused.
#pragma once

#include <algorithm>
#include <optional>

#include "include/base/outcome.h"
#include "include/base/time.h"

namespace pistachioweir {

// While a broken connection to another daemon is re-established, the only other
// target may be one whose daemon is stopping. Such a gap lasts some tens of
// milliseconds, but a request that arrives in it finds no target. If refused at
// once, its caller would spend one of its few retries and a round trip on a gap
// that is shorter than that. So the target look-up is repeated for a short
// time.
//
// This applies to normal load with a single fault. Where a service is
// permanently unavailable or has no capacity, waiting is useless: requests
// would accumulate here and be refused later than necessary. So the wait is a
// small part of the latency objective, and a refusal for lack of capacity ends
// it.
inline constexpr milliseconds kLookupRetryInterval{50};
// The maximum wait is the latency objective divided by this. The rest is needed
// to be served, or for the caller's retry.
inline constexpr int kMaxWaitDivisor = 8;

// Whether a send or a look-up failed because no target was available, as
// opposed to a target without capacity.
[[nodiscard]] constexpr bool IsTargetUnavailable(reason why) {
  return why == reason::kNoTarget || why == reason::kNotReady ||
         why == reason::kDraining || why == reason::kWrongTarget;
}

struct target_search {
  time_point received;         // Arrival of the request.
  time_point deadline;         // Of the request.
  milliseconds objective;      // Latency objective.
  reason why = reason::kNone;  // Of the last send or look-up.
};

// Delay until the next look-up, or nothing if the request must be refused now.
// Only for requests that have not reached any target.
[[nodiscard]] constexpr std::optional<milliseconds> NextLookupDelay(
    const target_search& search,
    time_point now) {
  const time_point end = std::min(
      search.received + search.objective / kMaxWaitDivisor, search.deadline);
  if (!IsTargetUnavailable(search.why) || now + kLookupRetryInterval >= end) {
    return std::nullopt;
  }
  return kLookupRetryInterval;
}

}  // namespace pistachioweir
