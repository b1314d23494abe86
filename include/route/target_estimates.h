// target_estimates: what a caller's daemon has learnt of the targets of one
// service from their answers: how fast each is, and how often it fails.
#pragma once

#include <cstdint>
#include <vector>

#include "include/base/time.h"

namespace pistachioweir {

// The kinds of work of a service take very different times, and each target
// gets another mixture of them. So a time is learnt for each kind over all
// targets, and for each target by what factor its answers differ from those: a
// target that got the long kind once would else look slow for seconds.
//
// Pure logic; targets are named by small numbers that the owner reuses.
class target_estimates {
 public:
  // How a run at a target ended.
  enum class sample : std::uint8_t { kSucceeded, kFailed };

  explicit target_estimates(std::uint32_t kinds) : kinds_(kinds) {}

  // Nothing is known of this target, which has just joined.
  void Reset(std::uint32_t target);
  void Add(std::uint32_t target,
           std::uint32_t kind,
           sample how,
           duration served,
           time_point now);

  // What a run of `kind` takes at the target when nothing waits. A guess where
  // nothing was measured.
  [[nodiscard]] duration RunTime(std::uint32_t target,
                                 std::uint32_t kind) const;
  // What a run of the target's usual mixture takes.
  [[nodiscard]] duration MeanRunTime(std::uint32_t target) const;
  // Part of the target's runs that fail, from 0 to 1. Fades while nothing new
  // is updated_at, so that a target that was avoided is tried again.
  [[nodiscard]] double FailureRate(std::uint32_t target, time_point now) const;

 private:
  struct target_state {
    double time_factor = 1;  // Of its times, against those of all targets.
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
