// admission_level: the rank below which requests are refused. Raised while
// there is a standing queue and lowered stepwise once it has cleared.
//
// For demand that stays above capacity: a queue alone would only add its length
// to every latency, and upstream services would work for requests that this
// target can't finish. Answers carry the level, so that callers' daemons refuse
// requests before sending them.
#pragma once

#include <array>
#include <cstdint>

#include "include/admit/admission_rank.h"
#include "include/base/time.h"

namespace pistachioweir {

class admission_level {
 public:
  // A request with `rank` arrived and was not below the level.
  void OnArrival(admission_rank rank, time_point now);
  // A request was started; the remaining queue holds `delay` of work. This is
  // not the time that this request waited: an important one overtakes a
  // standing queue.
  void OnStart(duration delay, time_point now);
  void OnFinish(time_point now);
  // A request was refused because it couldn't have finished in time, or was
  // evicted for a more important one.
  void OnLoadRefusal(time_point now);
  // A slot was free while nothing was queued.
  void OnIdle(time_point now);
  // Raises the level to at least `level` immediately.
  void RaiseTo(admission_rank level);

  [[nodiscard]] admission_rank level() const { return level_; }

  // Evaluation interval. A tenth of a short deadline, so that a new level takes
  // effect before the requests that it refuses would have failed.
  static constexpr milliseconds kWindow{20};

 private:
  static constexpr std::uint32_t kRanksPerBin = 8;
  static constexpr std::size_t kBins = kRankCount / kRanksPerBin;

  void Advance(time_point now);
  void Raise(std::uint32_t excess);
  void Lower();
  [[nodiscard]] admission_rank MaxUsefulLevel() const;

  admission_rank level_ = 0;
  double step_ = 0;  // Of the last decrease, as a fraction of capacity.
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
