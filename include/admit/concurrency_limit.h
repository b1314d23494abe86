// concurrency_limit: how many requests a target should run at a time, learnt
// from how its latency answers to concurrency.
//
// Made for a target that gives less than its manifest says (a noisy
// neighbour, a wrong manifest, a load endpoint that misleads). Requests above
// what it can run wait inside it, where they can't be ordered, refused or
// given up. Latency that rises is no proof of that, since slow work looks the
// same; so the limit is lowered step by step and restored if latency doesn't
// fall with it.
#pragma once

#include <cstdint>

#include "include/base/time.h"

namespace pistachioweir {

class concurrency_limit {
 public:
  // `slots` caps the limit, which starts there.
  explicit concurrency_limit(std::uint32_t slots);

  // A request ended that ran for `latency` without waiting for others, where
  // `expected` is the usual latency of its method; `running` counts it too.
  void Add(duration latency,
           duration expected,
           std::uint32_t running,
           time_point now);
  // The target itself refused for want of capacity.
  void OnTargetRefused(std::uint32_t running, time_point now);
  void SetSlots(std::uint32_t slots);

  // At least 1 and at most the slots.
  [[nodiscard]] std::uint32_t value() const;

 private:
  void EndWindow(time_point now);

  double limit_;
  std::uint32_t slots_;
  double baseline_ = 0;  // Mean latency ratio at which nothing waits.
  double ratio_before_decrease_ =
      0;  // Ratio before the last lowering; 0 if none.
  double limit_before_decrease_ = 0;
  double sum_ = 0;
  std::uint32_t samples_ = 0;
  std::uint32_t max_running_ = 0;
  time_point window_end_;
};

}  // namespace pistachioweir
