// service_time: a running estimate of how long requests of one kind take.
#pragma once

#include "include/base/time.h"

namespace pistachioweir {

// Mean and mean deviation, weighted towards recent samples.
class service_time {
 public:
  void Add(duration sample, time_point now);

  // Zero as long as nothing has been measured. Halves for each while without
  // samples: an estimate that is too long makes every deadline look
  // infeasible, so that nothing runs and nothing corrects it.
  [[nodiscard]] duration Mean(time_point now) const;
  // A duration that most requests stay within.
  [[nodiscard]] duration UpperEstimate(time_point now) const;

 private:
  [[nodiscard]] int Halvings(time_point now) const;

  double mean_ = 0;         // Nanoseconds.
  double deviation_ = 0;    // Nanoseconds.
  time_point last_sample_;  // Of the newest sample.
  bool measured_ = false;
};

}  // namespace pistachioweir
