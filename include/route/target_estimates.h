// target_estimates: a caller daemon's estimates of the speed and failure rate
// of each target of one service, learnt from answers.
#pragma once

#include <cstdint>
#include <vector>

#include "include/base/time.h"

namespace pistachioweir {

// Run times differ widely between the kinds of requests of a service, and each
// target gets a different mixture. So there is one time per kind over all
// targets, and for each target a factor by which its times differ from those.
// Without it, a target that once got the slowest kind would look slow for
// seconds.
//
// Pure logic; targets are identified by small indices that the owner reuses.
class target_estimates {
 public:
  // How a run at a target ended.
  enum class sample : std::uint8_t { kSucceeded, kFailed };

  explicit target_estimates(std::uint32_t kinds) : kinds_(kinds) {}

  // Clears the state of a target that has just joined.
  void Reset(std::uint32_t target);
  void Add(std::uint32_t target,
           std::uint32_t kind,
           sample how,
           duration served,
           time_point now);

  // Expected run time of `kind` at the target without queueing. A default where
  // nothing was measured.
  [[nodiscard]] duration RunTime(std::uint32_t target,
                                 std::uint32_t kind) const;
  // Mean run time of the target's usual mixture.
  [[nodiscard]] duration MeanRunTime(std::uint32_t target) const;
  // Failure rate of the target, from 0 to 1. Decays without new samples, so
  // that an avoided target is tried again.
  [[nodiscard]] double FailureRate(std::uint32_t target, time_point now) const;

 private:
  struct target_state {
    double time_factor = 1;  // Of its times relative to all targets.
    double mean_time = 0;    // Nanoseconds; zero if not measured.
    double failure_rate = 0;
    time_point updated_at;
  };

  struct kind_state {
    double time = 0;  // Nanoseconds; zero if not measured.
  };

  std::vector<target_state> targets_;
  std::vector<kind_state> kinds_;
};

}  // namespace pistachioweir
