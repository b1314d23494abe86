// repeat_budget: bounds the repeats (sends of a request after the first) of one
// daemon to the targets of one service in any time window.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

#include "include/base/time.h"

namespace pistachioweir {

struct repeat_budget_options {
  // Any time window of this length is bounded.
  milliseconds window{10000};
  // Repeats allowed per request in the window.
  double ratio = 0.05;
  // Repeats allowed per window regardless of requests. One daemon's share of
  // the common reserve may be less than one.
  double reserve = 1;
};

// For a service that fails for all callers at once: each request is then
// repeated, and the load on the service grows when it can least handle it. A
// token bucket bounds only the average: tokens saved in a quiet period add to
// those of the next one. Here both requests and repeats are counted over a
// sliding window, so no window exceeds the bound.
//
// Pure logic; the owner keeps one per called service.
class repeat_budget {
 public:
  explicit repeat_budget(const repeat_budget_options& options)
      : options_(options) {}

  void OnRequest(time_point now);
  // Counts a repeat. Returns false if the budget is used up: it must not be
  // sent.
  [[nodiscard]] bool TrySpend(time_point now);

  void Configure(const repeat_budget_options& options) { options_ = options; }
  [[nodiscard]] std::size_t spent(time_point now);

 private:
  // Requests are counted in slots of a tenth of the window, since only their
  // sum matters; repeats are few and stored one by one.
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
