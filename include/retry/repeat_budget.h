// repeat_budget: bounds how many more times than once a daemon sends requests
// to the targets of one service, in any span of time.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

#include "include/base/time.h"

namespace pistachioweir {

struct repeat_budget_options {
  // Any span of this length is bounded.
  milliseconds window{10000};
  // Repeats that each request of the window allows.
  double ratio = 0.05;
  // Repeats that the window allows whatever the requests. One daemon's part of
  // what all share may be less than one.
  double reserve = 1;
};

// Made for a service that fails for everybody at once: each request then wants
// another target, and the load on the service grows just when it can't bear it.
// A bucket of tokens bounds the average only: what it saved up in a quiet time
// comes on top of what the next span earns. Here both are counted over the last
// window, so no span sees more.
//
// Pure logic; the owner keeps one for each service that it calls.
class repeat_budget {
 public:
  explicit repeat_budget(const repeat_budget_options& options)
      : options_(options) {}

  void OnRequest(time_point now);
  // Counts a repeat. False if there is no room for it: it must not be sent.
  [[nodiscard]] bool TrySpend(time_point now);

  void Configure(const repeat_budget_options& options) { options_ = options; }
  [[nodiscard]] std::size_t spent(time_point now);

 private:
  // Requests are counted in slots of a tenth of the window, since only their
  // sum matters; repeats are few and kept one by one.
  static constexpr int kSlots = 10;

  struct slot {
    time_point begin;
    std::uint32_t requests = 0;
  };

  void DropExpired(time_point now);

  repeat_budget_options options_;
  std::deque<slot> slots_;        // Oldest first, none older than the window.
  std::uint64_t requests_ = 0;    // Sum over `slots_`.
  std::deque<time_point> spent_;  // Likewise.
};

}  // namespace pistachioweir
