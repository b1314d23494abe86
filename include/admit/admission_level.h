// admission_level: the rank below which requests are refused, raised while a
// queue stands and lowered step by step when it has gone.
//
// Made for demand that stays above capacity: a queue alone then only adds its
// length to every latency, and work is done upstream for requests that this
// target can't finish. The level rides on answers, so that callers' daemons
// refuse at the entrance.
#pragma once

#include <array>
#include <cstdint>

#include "include/admit/admission_rank.h"
#include "include/base/time.h"

namespace pistachioweir {

class admission_level {
 public:
  // A request with `rank` came and was not below the level.
  void OnArrival(admission_rank rank, time_point now);
  // A request was started; the work that still waits takes `delay`. Not what
  // this request has waited: an important one passes a queue that stands.
  void OnStart(duration delay, time_point now);
  void OnFinish(time_point now);
  // A request was refused because it couldn't have finished in time, or had to
  // make room.
  void OnLoadRefusal(time_point now);
  // A slot was free while nothing was queued.
  void OnIdle(time_point now);
  // At once to at least `level`.
  void RaiseTo(admission_rank level);

  [[nodiscard]] admission_rank level() const { return level_; }

  // How often the level is judged. A tenth of a short deadline, so that it is
  // in force before the requests that it refuses would have failed.
  static constexpr milliseconds kWindow{20};

 private:
  static constexpr std::uint32_t kRanksPerBin = 8;
  static constexpr std::size_t kBins = kRankCount / kRanksPerBin;

  void Advance(time_point now);
  void Raise(std::uint32_t excess);
  void Lower();
  [[nodiscard]] admission_rank MaxUsefulLevel() const;

  admission_rank level_ = 0;
  double step_ = 0;  // Of the last lowering, as a part of the capacity.
  std::array<std::uint32_t, kBins> arrivals_{};
  std::uint32_t arrived_ = 0;
  std::uint32_t started_ = 0;
  std::uint32_t finished_ = 0;
  std::uint32_t load_refusals_ = 0;
  bool idle_ = false;
  duration min_delay_ = duration::max();
  time_point standing_since_ = time_point::max();
  time_point window_end_;
};

}  // namespace pistachioweir
