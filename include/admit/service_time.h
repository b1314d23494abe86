// service_time: a running estimate of the duration of requests of one kind.
#pragma once

#include "include/base/time.h"

namespace pistachioweir {

// Exponentially weighted mean and mean deviation.
class service_time {
 public:
  void Add(duration sample, time_point now);

  // Zero until the first sample. Halves for each kHalvingPeriod without
  // samples: an estimate that is too long makes every deadline look infeasible,
  // so that nothing runs and nothing corrects it.
  [[nodiscard]] duration Mean(time_point now) const;
  // The mean as last measured, however long ago.
  [[nodiscard]] duration LastMean() const;
  // Mean plus mean deviation; most requests stay within it.
  [[nodiscard]] duration UpperEstimate(time_point now) const;
  // What one request of a thousand exceeds if their times have an exponential
  // distribution, and fewer if they vary less. Not halved without samples.
  [[nodiscard]] duration TailEstimate() const;

 private:
  [[nodiscard]] int Halvings(time_point now) const;

  double mean_ = 0;         // Nanoseconds.
  double deviation_ = 0;    // Nanoseconds.
  time_point last_sample_;  // Of the newest sample.
  bool measured_ = false;
};

}  // namespace pistachioweir
