// stop_window: when a stopping daemon may still begin a request.
#pragma once

#include "include/base/time.h"

namespace pistachioweir {

// A request ends by its deadline at the latest: its caller's, or the timeout of
// its route. One that is begun after `any_until` has to end before the daemon
// by that bound alone. How long such requests took recently doesn't bound the
// next one, and a request that is broken off has an unknown outcome, whereas a
// refused one can be sent elsewhere.
//
// Asked when a request arrives, when it is sent on or begun at the target, and
// before each retry: what has waited meanwhile is judged by the time that is
// left then.
struct stop_window {
  // Until then a request may begin whatever its deadline; at most `end_by`.
  time_point any_until = time_point::max();
  // When requests in progress are ended. The default is that of a daemon that
  // isn't stopping.
  time_point end_by = time_point::max();

  // A request with this deadline must begin before the returned time.
  [[nodiscard]] time_point LatestStart(time_point deadline) const {
    return deadline <= end_by ? end_by : any_until;
  }

  [[nodiscard]] bool MayBegin(time_point deadline, time_point now) const {
    return now < LatestStart(deadline);
  }

  [[nodiscard]] bool stopping() const { return end_by != time_point::max(); }
};

}  // namespace pistachioweir
