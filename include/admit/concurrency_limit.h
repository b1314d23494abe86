// concurrency_limit: how many requests a target should run concurrently,
// adapted to how its latency responds to concurrency.
//
// For a target with less capacity than its manifest says (a noisy neighbour, a
// wrong manifest, a misleading load endpoint). Requests above its capacity wait
// inside it, where they can't be ordered, refused or evicted. Rising latency
// alone doesn't prove this, since slower work looks the same; so the limit is
// decreased stepwise and restored if latency doesn't fall with it.
#pragma once

#include <cstdint>

#include "include/base/time.h"

namespace pistachioweir {

class concurrency_limit {
 public:
  // The limit starts at `slots`, which is also its maximum.
  explicit concurrency_limit(std::uint32_t slots);

  // A request has ended that ran for `latency`, excluding time spent on
  // downstream calls. `expected` is the usual latency; `running` includes this
  // request.
  void Add(duration latency,
           duration expected,
           std::uint32_t running,
           time_point now);
  // The target itself refused a request for lack of capacity.
  void OnTargetRefused(std::uint32_t running, time_point now);
  void SetSlots(std::uint32_t slots);

  // Between 1 and the number of slots.
  [[nodiscard]] std::uint32_t value() const;

 private:
  void EndWindow(time_point now);

  double limit_;
  std::uint32_t slots_;
  double baseline_ = 0;               // Mean latency ratio without queueing.
  double ratio_before_decrease_ = 0;  // 0 if not just decreased.
  double limit_before_decrease_ = 0;
  double sum_ = 0;
  std::uint32_t samples_ = 0;
  std::uint32_t max_running_ = 0;
  time_point window_end_;
};

}  // namespace pistachioweir
