// repeat_forecast: how many repeats the requests for one service would need if
// all of them were to be served.
#pragma once

#include <cstddef>

#include "include/base/priority.h"
#include "include/base/time.h"
#include "include/retry/slot_counts.h"

namespace pistachioweir {

// For a service that rejects a large part of its calls, at daemons that each
// make few calls to it. Attempts to repeat say too little about the need:
// requests whose first rejected call isn't repeated end there and make no
// further calls, and in a large fleet one daemon sees only a few attempts of a
// rank in a second. So the need is derived from the requests of the whole
// window and the part of all sends that is rejected, whatever their rank.
//
// Pure logic; a ranked_repeat_budget keeps one.
class repeat_forecast {
 public:
  explicit repeat_forecast(duration window);

  // A request was sent for the first time.
  void OnRequest(priority level, time_point now);
  // A send was rejected or failed.
  void OnFailure(time_point now);
  void OnRepeat(time_point now);
  void Expire(time_point now);

  // As of the last Expire(). Repeats in a window with which all requests of
  // this rank would be served.
  [[nodiscard]] double NeedOf(std::size_t rank) const;

 private:
  enum kind : std::size_t { kSends, kFailures, kKinds };

  void Add(kind what, time_point now);
  [[nodiscard]] static double FailureRate(const slot_counts<kKinds>& sends);

  slot_counts<kPriorityCount> requests_;  // In the window.
  slot_counts<kKinds> recent_;
  slot_counts<kKinds> latest_;  // Shorter, for rejections that just began.
};

}  // namespace pistachioweir
