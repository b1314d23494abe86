// adaptive_throttle: limits the admitted share of a kind of requests to what
// succeeds.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "include/base/time.h"

namespace pistachioweir {

// For overload of a downstream service that refuses a part of its calls: each
// refused call wastes the whole request and the work done for it at every hop.
// The admitted share of a kind decreases with its failure rate and increases
// again as runs succeed; less important kinds are reduced first. A kind that is
// known to make calls also reacts to the pressure on the services that it
// calls, before anything fails.
//
// Not for calls made by targets: refusing these is what wastes the work. Pure
// logic; the owner keeps one for each kind of requests.
class adaptive_throttle {
 public:
  // Adjustment period. Runs take some 100 ms; a shorter period would lower the
  // share again before the last decrease shows in the results.
  static constexpr milliseconds kPeriod{200};
  // Failure rates that are tolerated without lowering the share: for the most
  // important kinds, the next ones, and all others. The last is just above the
  // base failure rate of targets (0.1% to 0.4%) and random variation. The steps
  // between them equal the fluctuation of the failure rate.
  static constexpr std::array<double, 3> kFailureThresholds{0.3, 0.15, 0.04};
  // Minimum number of runs to evaluate a period; a few could fail by chance.
  static constexpr std::uint32_t kMinRuns = 5;
  // Share of the failure rate by which the admitted share is reduced at once.
  // Failures grow faster than the excess load that causes them, so the full
  // rate would be too much.
  static constexpr double kDecrease = 0.5;
  // Increase of the share after a period with a tolerated failure rate; doubled
  // after each further one up to kMaxIncrease, so that throttled kinds recover
  // within about two seconds after the cause has ended.
  static constexpr double kIncrease = 0.03;
  static constexpr double kMaxIncrease = 0.12;
  // Maximum number of requests with precedence that are admitted in advance, at
  // the expense of later ones.
  static constexpr double kMaxBorrowed = 20;
  // Some requests are always admitted, or the end of the cause would go
  // unnoticed.
  static constexpr double kMinShare = 0.1;

  // Pressure above which the share of a kind is reduced, by rank as above. At
  // 1, calls wait half of their objective; at 2, they begin to be refused.
  static constexpr std::array<double, 3> kPressureThresholds{1.0, 0.75, 0.5};
  static constexpr milliseconds kPressurePeriod{100};
  // Below this pressure the called services have spare capacity and runs fail
  // for another reason: a lost answer, a broken target or a broken connection.
  // Admitting less would not reduce these failures.
  static constexpr double kLowPressure = 0.25;
  // Reduction of the share at twice the pressure threshold or more.
  static constexpr double kPressureDecrease = 0.2;
  // Failure rate under pressure above which a kind is taken to make calls.
  static constexpr double kCallDetectionThreshold = 0.02;

  explicit adaptive_throttle(std::uint32_t rank = 0) { SetRank(rank); }

  // Importance of the kind; 0 is the most important.
  void SetRank(std::uint32_t rank);

  // Whether to admit the next request. Admitted requests are evenly spaced: a
  // random choice would exceed the capacity at one moment and leave it idle at
  // the next. Requests with precedence are admitted as long as others can be
  // refused in exchange.
  [[nodiscard]] bool Admit(bool has_precedence = false);
  // Admit() in two steps, for requests that have to pass another limit, too:
  // counts the request and tells whether it may be admitted; if it is, Spend()
  // is due. One that the other limit refuses uses up nothing here.
  [[nodiscard]] bool MayAdmit(bool has_precedence);
  void Spend();
  // A run has ended; it succeeded unless the target answered with a failure.
  void OnResult(bool succeeded, time_point now);
  // The pressure on the services that the target calls; nothing if none of them
  // has reported recently. Call it for every request.
  void OnPressure(std::optional<double> pressure, time_point now);

  [[nodiscard]] double share() const { return share_; }

 private:
  static constexpr double kMaxCredit = 2;

  void EndPeriod();

  double failure_threshold_ = kFailureThresholds.front();
  double pressure_threshold_ = kPressureThresholds.front();
  double pressure_ = 0;
  // Highest pressure reported in this period, if any.
  std::optional<double> max_pressure_;
  time_point pressure_period_end_;
  bool makes_calls_ = false;
  double share_ = 1;  // Between kMinShare and 1.
  // Between -kMaxBorrowed and kMaxCredit; each request adds the share, an
  // admitted one takes 1.
  double credit_ = 1;
  double increase_ = kIncrease;  // After the next successful period.
  std::uint32_t ended_ = 0;
  std::uint32_t failed_ = 0;
  time_point period_end_;
};

}  // namespace pistachioweir
