// target_wait: how long a request waits for a target of its service to be found
// before it is refused.
#pragma once

#include <algorithm>
#include <optional>

#include "include/base/outcome.h"
#include "include/base/time.h"

namespace pistachioweir {

// A connection to another daemon breaks, and while it is made anew the only
// other target is one whose daemon stops. All of that is over within some tens
// of milliseconds, but a request that comes in between finds nobody. Refused at
// once, its caller spends one of its few retries and a round trip on a gap that
// is shorter than that. So the request looks again for a moment.
//
// The load this is made for is the ordinary one with a fault in it. Where a
// service is gone for good, or has no room, waiting helps nobody: requests
// would pile up here, and each would be refused later than need be. So the wait
// is a small part of the time within which the caller wants its answer, and a
// refusal for want of room ends it.
inline constexpr milliseconds kLookupRetryInterval{50};
// Of the latency objective. The rest is needed to be served, or to come back.
inline constexpr int kMaxWaitDivisor = 8;

// Whether a send or a search that ended so has found nobody, as opposed to
// somebody who has no room.
[[nodiscard]] constexpr bool IsTargetUnavailable(reason why) {
  return why == reason::kNoTarget || why == reason::kNotReady ||
         why == reason::kDraining || why == reason::kWrongTarget;
}

struct target_search {
  time_point received;         // The request.
  time_point deadline;         // Its.
  milliseconds objective;      // Within which its answer is worth most.
  reason why = reason::kNone;  // Of the last send or search.
};

// How long to wait before looking again; nothing if the request is to be
// refused now. For requests only of which nothing has reached a target.
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
