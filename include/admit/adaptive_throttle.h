// adaptive_throttle: lets in only as much work of a kind as ends well.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "include/base/time.h"

namespace pistachioweir {

// Answers a service further down the chain that turns away a part of its calls:
// each refused call costs its whole request and the work done for it at every
// hop. The admitted share of a kind falls with the part of its runs that fail,
// and rises again as they end well; less important kinds give way first. A kind
// that is known to make calls also follows the pressure on the services that it
// calls, before anything fails.
//
// Not for calls of targets, whose refusal is the waste itself. Pure logic; the
// owner keeps one for each kind of work.
class adaptive_throttle {
 public:
  // How often the share is set. Runs take some 100 ms; a shorter period would
  // lower the share again before the last lowering shows in what ends.
  static constexpr milliseconds kPeriod{200};
  // Part of failed runs that is borne without letting in less, for the most
  // important kinds, those behind them, and all others. The last is just above
  // the failures that targets have anyway (0.1% to 0.4%) and chance. Each of
  // the others is as far from the one behind it as failures swing.
  static constexpr std::array<double, 3> kFailureThresholds{0.3, 0.15, 0.04};
  // Ends that a period needs to be judged; a few could fail by chance.
  static constexpr std::uint32_t kMinRuns = 5;
  // What part of the failed share is taken off at once. Failures grow faster
  // than the excess that causes them, so all of it would be too much.
  static constexpr double kDecrease = 0.5;
  // What is added in a period in which enough ended well; doubled with each
  // further one up to the second figure, so that kinds that were kept out are
  // back within about two seconds once the cause has gone.
  static constexpr double kIncrease = 0.03;
  static constexpr double kMaxIncrease = 0.12;
  // Requests that are ahead may be let in so many before their turn.
  static constexpr double kMaxBorrowed = 20;
  // Some always come in, or nothing would show that the cause has gone.
  static constexpr double kMinShare = 0.1;

  // Pressure from which on a kind lets in less, by rank as above. At 1 calls
  // wait half of their objective, at 2 they begin to be refused.
  static constexpr std::array<double, 3> kPressureThresholds{1.0, 0.75, 0.5};
  static constexpr milliseconds kPressurePeriod{100};
  // Below this, called services have room, and runs fail for another reason:
  // an answer is lost, a target or its link is broken. Letting in less would
  // not make fewer of them fail.
  static constexpr double kLowPressure = 0.25;
  // What part of the share is taken off at twice the borne pressure or more.
  static constexpr double kPressureDecrease = 0.2;
  // Part of failed runs under pressure that shows that a kind makes calls.
  static constexpr double kCallDetectionThreshold = 0.02;

  explicit adaptive_throttle(std::uint32_t rank = 0) { SetRank(rank); }

  // How much the kind matters; 0 is most.
  void SetRank(std::uint32_t rank);

  // Whether the next request is to be let in. Evenly spaced: a random choice
  // lets in more than fits in one moment and less in the next. Those that are
  // `ahead` are let in as long as others give way for them.
  [[nodiscard]] bool Admit(bool has_precedence = false);
  // A run has ended; `well` if the target didn't answer that it failed.
  void OnResult(bool succeeded, time_point now);
  // The pressure on the services that the target calls, nothing if none of them
  // told of it lately. Tell it with every request.
  void OnPressure(std::optional<double> pressure, time_point now);

  [[nodiscard]] double share() const { return share_; }

 private:
  void EndPeriod();

  double failure_threshold_ = kFailureThresholds.front();
  double pressure_threshold_ = kPressureThresholds.front();
  double pressure_ = 0;
  // The most that was told in this period; nothing if nothing was.
  std::optional<double> max_pressure_;
  time_point pressure_period_end_;
  bool makes_calls_ = false;
  double share_ = 1;  // Between kMinShare and 1.
  // From -kMaxBorrowed to 2; each request adds the share, one let in takes 1.
  double credit_ = 1;
  double increase_ = kIncrease;  // Of the next period that ends well.
  std::uint32_t ended_ = 0;
  std::uint32_t failed_ = 0;
  time_point period_end_;
};

}  // namespace pistachioweir
