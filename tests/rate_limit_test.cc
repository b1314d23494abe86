// Starts at a target that limits how many requests a second it takes: the sum
// over any window, and that the limit is used.
#include "include/admit/rate_limit.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "include/admit/admission_controller.h"
#include "include/route/balancer.h"

namespace pistachioweir {
namespace {

const time_point kStart{seconds(1000)};
// The platform's bound: this many times what the limits allow within the
// window, and a few requests more, from the time behind a limit's first
// mention.
constexpr double kTolerance = 1.5;
constexpr double kMoreRequests = 5;
constexpr milliseconds kWindow{4000};
constexpr milliseconds kFrom{3000};
constexpr milliseconds kStep{5};

// A controller with many slots, under demand of any size, on a virtual clock.
class limited_target {
 public:
  explicit limited_target(duration run_time = milliseconds(20))
      : run_time_(run_time) {}

  void SetLimit(std::optional<double> per_second) {
    controller_.SetRateLimit(per_second, now);
    TakeAll();
  }
  // As after a restart of the daemon: it knows nothing.
  void Restart() {
    controller_ = admission_controller(kOptions);
    running_.clear();
  }

  admission_decision Offer(priority level, duration timeout) {
    const admission_decision decision =
        controller_.Offer({.level = level,
                           .deadline = now + timeout,
                           .cookie = static_cast<std::uint64_t>(level)},
                          now, 0);
    if (decision.action == admission_action::kRun) {
      OnStart(decision.handle, level);
    } else if (decision.action == admission_action::kRefused) {
      refusals.push_back(decision);
    }
    TakeAll();
    return decision;
  }

  // Advances the clock, with `per_second` requests offered evenly.
  void Run(duration time,
           double per_second,
           priority level = priority::kNormal) {
    const time_point end = now + time;
    while (now < end) {
      now += kStep;
      FinishRuns();
      TakeAll();
      offered_ += per_second * std::chrono::duration<double>(kStep).count();
      for (; offered_ >= 1; offered_ -= 1) {
        Offer(level, seconds(1));
      }
    }
  }

  [[nodiscard]] std::size_t StartsBetween(time_point begin,
                                          time_point end) const {
    return static_cast<std::size_t>(std::ranges::count_if(
        starts, [&](time_point each) { return each > begin && each <= end; }));
  }

  time_point now = kStart;
  std::vector<time_point> starts;
  std::map<priority, int> starts_by_level;
  std::vector<admission_decision> refusals;

  [[nodiscard]] const admission_controller& controller() const {
    return controller_;
  }

 private:
  struct run {
    admission_handle handle;
    time_point end;
  };

  static constexpr admission_options kOptions{.slots = 40,
                                              .max_queue = 256,
                                              .adaptive_limit = false,
                                              .use_level = false,
                                              .assured_share = 0.2};

  void OnStart(admission_handle handle, priority level) {
    starts.push_back(now);
    ++starts_by_level[level];
    running_.push_back({handle, now + run_time_});
  }

  void FinishRuns() {
    for (const run& each : running_) {
      if (each.end <= now) {
        controller_.Finish(each.handle, {}, now);
      }
    }
    std::erase_if(running_, [&](const run& each) { return each.end <= now; });
  }

  void TakeAll() {
    while (const auto event = controller_.TakeNext(now, 0)) {
      if (event->decision.action == admission_action::kRun) {
        OnStart(event->decision.handle, static_cast<priority>(event->cookie));
      } else {
        refusals.push_back(event->decision);
      }
    }
  }

  const duration run_time_;
  admission_controller controller_{kOptions};
  std::vector<run> running_;
  double offered_ = 0;
};

// The limits named over time; empty ones allow anything.
struct named_limit {
  time_point since;
  std::optional<double> per_second;
};

// What the limits allow between two times; the first one counts before it, too.
double Allowance(const std::vector<named_limit>& limits,
                 time_point begin,
                 time_point end) {
  double sum = 0;
  for (std::size_t i = 0; i < limits.size(); ++i) {
    const time_point from = i == 0 ? begin : std::max(begin, limits[i].since);
    const time_point until =
        i + 1 < limits.size() ? std::min(end, limits[i + 1].since) : end;
    const std::chrono::duration<double> span =
        std::max(duration(0), until - from);
    sum += span.count() * *limits[i].per_second;
  }
  return sum;
}

// The largest excess over the bound in any window; negative if it holds.
double MaxExcess(const limited_target& target,
                 const std::vector<named_limit>& limits) {
  double max = -1e9;
  for (const time_point end : target.starts) {
    if (end < limits.front().since + kFrom) {
      continue;
    }
    const auto got =
        static_cast<double>(target.StartsBetween(end - kWindow, end));
    max =
        std::max(max, got - kTolerance * Allowance(limits, end - kWindow, end) -
                          kMoreRequests);
  }
  return max;
}

// Nothing bounded the rate of starts, only how many ran at a time.
TEST(RateLimitTest, DemandAboveTheLimitStartsWithinIt) {
  for (const double limit : {0.2, 0.7, 3.0, 10.4, 80.0}) {
    limited_target target;
    target.Run(seconds(5), 2 * limit);
    target.SetLimit(limit);
    const std::vector<named_limit> limits{{target.now, limit}};
    target.Run(seconds(20), 5 * limit + 5);
    EXPECT_LE(MaxExcess(target, limits), 0) << limit;
  }
}

TEST(RateLimitTest, AtLeastNineTenthsOfTheLimitAreUsed) {
  for (const double limit : {0.7, 3.0, 10.4, 80.0, 600.0}) {
    limited_target target;
    target.SetLimit(limit);
    target.Run(seconds(2), 3 * limit + 5);
    const time_point begin = target.now;
    target.Run(seconds(20), 3 * limit + 5);
    EXPECT_GE(static_cast<double>(target.StartsBetween(begin, target.now)),
              0.9 * limit * 20)
        << limit;
  }
}

// A limit is named by a target that is overloaded: what it got just before is
// part of the sum.
TEST(RateLimitTest, WhatStartedBeforeTheLimitWasNamedCounts) {
  for (const double before : {2.0, 4.0, 5.5}) {
    limited_target target;
    constexpr double kLimit = 10;
    target.Run(seconds(5), before * kLimit);
    target.SetLimit(kLimit);
    const std::vector<named_limit> limits{{target.now, kLimit}};
    target.Run(seconds(10), before * kLimit);
    EXPECT_LE(MaxExcess(target, limits), 0) << before;
  }
}

// A target that named a limit far below its load got nothing for half a minute.
TEST(RateLimitTest, ALimitFarBelowTheLoadIsUsedAfterThreeSeconds) {
  for (const double limit : {0.5, 1.3, 10.0}) {
    limited_target target;
    target.Run(seconds(5), 30 * limit + 20);
    target.SetLimit(limit);
    target.Run(kFrom + milliseconds(100), 30 * limit + 20);
    const time_point begin = target.now;
    target.Run(seconds(20), 30 * limit + 20);
    EXPECT_GE(static_cast<double>(target.StartsBetween(begin, target.now)),
              0.9 * limit * 20)
        << limit;
  }
}

// A limit that is named while the queue is full must bound what starts from it.
TEST(RateLimitTest, QueuedRequestsStartWithinALimitThatIsNamedLater) {
  limited_target target(milliseconds(300));
  target.Run(seconds(3), 400);
  ASSERT_GT(target.controller().queued(), 20U);
  constexpr double kLimit = 40;
  target.SetLimit(kLimit);
  const std::vector<named_limit> limits{{target.now, kLimit}};
  target.Run(seconds(10), 400);
  EXPECT_LE(MaxExcess(target, limits), 0);
}

TEST(RateLimitTest, TheMostImportantRequestsStartFirst) {
  limited_target target;
  target.SetLimit(10);
  for (int i = 0; i < 400; ++i) {
    target.Run(milliseconds(50), 0);
    target.Offer(priority::kCritical, seconds(1));
    target.Offer(priority::kLow, seconds(1));
  }
  const double all = static_cast<double>(target.starts.size());
  EXPECT_GE(target.starts_by_level[priority::kCritical], 0.7 * all);
  EXPECT_GE(target.starts_by_level[priority::kLow], 0.1 * all);
}

TEST(RateLimitTest, ARequestThatCannotStartInTimeIsRefusedAtOnceWithTheDelay) {
  limited_target target;
  target.SetLimit(2);
  for (int i = 0; i < 10; ++i) {
    target.Offer(priority::kNormal, seconds(1));
  }
  ASSERT_FALSE(target.refusals.empty());
  for (const admission_decision& refused : target.refusals) {
    EXPECT_EQ(refused.why, reason::kRateLimited);
    EXPECT_GE(refused.retry_after, milliseconds(500));
  }
}

// It was refused as overload, so that neither the log nor its caller's daemon
// showed that the target was at its limit (soak 49001).
TEST(RateLimitTest, AQueuedRequestThatGivesWayIsRefusedForTheLimit) {
  limited_target target;
  target.SetLimit(1);
  target.Offer(priority::kNormal, seconds(3));
  ASSERT_EQ(target.Offer(priority::kLow, seconds(3)).action,
            admission_action::kQueued);
  target.Offer(priority::kCritical, milliseconds(500));
  ASSERT_EQ(target.refusals.size(), 2U);
  for (const admission_decision& refused : target.refusals) {
    EXPECT_EQ(refused.why, reason::kRateLimited);
  }
}

// A limit that moves a little with each answer filled the bucket each time.
TEST(RateLimitTest, ALimitThatFluctuatesIsNotExceeded) {
  limited_target target;
  target.Run(seconds(3), 10);
  const std::vector<named_limit> limits{{target.now, 10.0}};
  for (int i = 0; i < 400; ++i) {
    target.SetLimit(i % 2 == 0 ? 10.0 : 9.9);
    target.Run(milliseconds(50), 60);
  }
  EXPECT_LE(MaxExcess(target, limits), 0);
  EXPECT_LE(target.StartsBetween(limits[0].since, target.now), 1.05 * 10 * 20);
}

// Only an answer tells that a limit of zero has ended.
TEST(RateLimitTest, ALimitOfZeroStillStartsARequestNowAndThen) {
  limited_target target;
  target.SetLimit(0);
  const time_point begin = target.now;
  target.Run(seconds(60), 10);
  EXPECT_GE(target.StartsBetween(begin, target.now), 8U);
  EXPECT_LE(MaxExcess(target, {{begin, 0.0}}), 0);
}

TEST(RateLimitTest, WithoutALimitAllSlotsAreUsedAtOnce) {
  limited_target target;
  target.SetLimit(1);
  target.SetLimit(std::nullopt);
  for (int i = 0; i < 40; ++i) {
    EXPECT_EQ(target.Offer(priority::kNormal, seconds(1)).action,
              admission_action::kRun);
  }
}

// Callers place calls by the load report: one that hides the limit attracts all
// of them.
TEST(RateLimitTest, TheLoadReportShowsTheLimit) {
  limited_target target(milliseconds(160));
  target.Run(seconds(3), 50);
  const load_report before = target.controller().Report(0, target.now);
  EXPECT_EQ(before.limit, 40U);
  target.SetLimit(10);
  target.Run(seconds(3), 50);
  const load_report limited = target.controller().Report(0, target.now);
  EXPECT_EQ(limited.limit, 2U);
  EXPECT_GE(limited.queued, target.controller().queued());
}

// A caller's daemon and three targets with 40 slots each.
class three_targets {
 public:
  three_targets() {
    std::vector<target_info> infos;
    for (std::uint32_t i = 0; i < targets.size(); ++i) {
      infos.push_back({.vm = "vm-" + std::to_string(i), .slots = 40});
    }
    placing_.SetTargets(infos, kStart);
  }

  void SetLimit(std::uint32_t index, double per_second) {
    targets.at(index).SetLimit(per_second);
    const auto ref = placing_.RefOf("vm-" + std::to_string(index));
    placing_.SetRateLimit(*ref, per_second);
  }

  void Run(seconds time, double per_second) {
    double offered = 0;
    for (const time_point end = now() + time; now() < end;) {
      for (limited_target& each : targets) {
        each.Run(kStep, 0);
      }
      offered += per_second * std::chrono::duration<double>(kStep).count();
      for (; offered >= 1; offered -= 1) {
        refused += Place() ? 0 : 1;
      }
    }
  }

  [[nodiscard]] time_point now() const { return targets[0].now; }

  static constexpr milliseconds kRunTime{160};
  std::array<limited_target, 3> targets{limited_target(kRunTime),
                                        limited_target(kRunTime),
                                        limited_target(kRunTime)};
  int refused = 0;

 private:
  static constexpr milliseconds kObjective{1500};

  // Places one request; returns whether a target took it.
  bool Place() {
    placement_request request{.objective = kObjective};
    while (placing_.MayTryElsewhere(request, now())) {
      random_ = random_ * 6364136223846793005U + 1442695040888963407U;
      const placement placed = placing_.Place(request, now(), random_);
      if (!placed.placed) {
        return false;
      }
      request.tried.refs.at(request.tried.count++) = placed.target;
      limited_target& chosen = targets.at(placed.target.index);
      const bool taken = chosen.Offer(priority::kNormal, kObjective).action !=
                         admission_action::kRefused;
      const load_report load = chosen.controller().Report(0, now());
      placing_.Finish(placed.target, 0,
                      taken ? call_result::kAnswered : call_result::kRefused,
                      kRunTime, &load, now());
      if (taken) {
        return true;
      }
    }
    return false;
  }

  balancer placing_{{.policy = placement_policy::kExpectedEnd, .max_tries = 4}};
  std::uint64_t random_ = 1;
};

// Two of three targets of a service name limits; what these don't allow has to
// go to the third one, which has room.
TEST(RateLimitTest, TheRestGoesToATargetThatHasRoom) {
  three_targets fleet;
  fleet.Run(seconds(5), 53);
  fleet.SetLimit(0, 10.4);
  fleet.SetLimit(1, 9.6);
  const time_point named = fleet.now();
  fleet.Run(seconds(20), 53);
  EXPECT_EQ(fleet.refused, 0);
  EXPECT_LE(MaxExcess(fleet.targets[0], {{named, 10.4}}), 0);
  EXPECT_LE(MaxExcess(fleet.targets[1], {{named, 9.6}}), 0);
}

// A caller that had found a target's limit used up went elsewhere, heard
// nothing newer of it, and queued behind others where the limit had room.
TEST(RateLimitTest, ALimitWithRoomIsUsedAgain) {
  three_targets fleet;
  fleet.Run(seconds(5), 10);
  const std::array<double, 3> limits{10.4, 9.6, 31};
  for (std::uint32_t i = 0; i < limits.size(); ++i) {
    fleet.SetLimit(i, limits.at(i));
  }
  fleet.Run(seconds(3), 40);
  const time_point begin = fleet.now();
  fleet.Run(seconds(20), 40);
  EXPECT_EQ(fleet.refused, 0);
  for (std::uint32_t i = 0; i < limits.size(); ++i) {
    EXPECT_GE(static_cast<double>(
                  fleet.targets.at(i).StartsBetween(begin, fleet.now())),
              0.6 * 20 * limits.at(i))
        << i;
  }
}

TEST(RateLimitTest, WithoutRoomElsewhereAllLimitsAreUsed) {
  three_targets fleet;
  fleet.Run(seconds(5), 53);
  const std::array<double, 3> limits{10.4, 9.6, 2.5};
  for (std::uint32_t i = 0; i < limits.size(); ++i) {
    fleet.SetLimit(i, limits.at(i));
  }
  fleet.Run(seconds(3), 53);
  const time_point begin = fleet.now();
  fleet.Run(seconds(20), 53);
  EXPECT_GT(fleet.refused, 0);
  for (std::uint32_t i = 0; i < limits.size(); ++i) {
    EXPECT_GE(static_cast<double>(
                  fleet.targets.at(i).StartsBetween(begin, fleet.now())),
              0.9 * 20 * limits.at(i))
        << i;
    EXPECT_LE(
        MaxExcess(fleet.targets.at(i), {{begin - seconds(3), limits.at(i)}}),
        0);
  }
}

// The sum rule under random limits, demands and restarts of the daemon, after
// which other daemons return the limit that they had been told.
RC_GTEST_PROP(RateLimitTest, NoWindowExceedsTheLimits, ()) {
  limited_target target;
  double limit = *rc::gen::inRange(1, 400) / 10.0;
  target.Run(seconds(3), limit * *rc::gen::inRange(0, 25) / 10.0);
  target.SetLimit(limit);
  std::vector<named_limit> limits{{target.now, limit}};
  const auto steps = *rc::gen::inRange(2, 8);
  for (int i = 0; i < steps; ++i) {
    target.Run(milliseconds(*rc::gen::inRange(200, 5000)),
               limit * *rc::gen::inRange(0, 60) / 10.0);
    switch (*rc::gen::inRange(0, 3)) {
      case 0:
        limit *= std::array{0.5, 2.0, 4.0}.at(*rc::gen::inRange(0, 3));
        target.SetLimit(limit);
        limits.push_back({target.now, limit});
        break;
      case 1:
        target.now += milliseconds(*rc::gen::inRange(200, 2000));
        target.Restart();
        target.SetLimit(limit);
        break;
      default:
        target.SetLimit(limit);
    }
  }
  target.Run(seconds(5), limit * 3);
  RC_ASSERT(MaxExcess(target, limits) <= 0);
}

// Starts at a rate_limit alone, as fast as it allows.
class limited_starts {
 public:
  void Set(double per_second) {
    limit_.Set(per_second, now);
    limits.push_back({now, per_second});
  }

  // Advances the clock, with `per_second` starts offered evenly.
  void Run(duration time, double per_second) {
    for (const time_point end = now + time; now < end;) {
      now += kStep;
      offered_ += per_second * std::chrono::duration<double>(kStep).count();
      for (; offered_ >= 1; offered_ -= 1) {
        Start();
      }
    }
  }
  void Burst(double count) {
    for (int i = 0; i < count; ++i) {
      Start();
    }
  }

  [[nodiscard]] double StartsBetween(time_point begin, time_point end) const {
    return static_cast<double>(std::ranges::count_if(
        starts_, [&](time_point each) { return each > begin && each <= end; }));
  }

  // The largest excess over the bound at the time of a start, in a window that
  // counts.
  [[nodiscard]] double MaxExcess() const {
    double max = -1e9;
    for (const time_point end : starts_) {
      if (end > limits.front().since + kFrom) {
        const time_point begin = end - kWindow;
        max = std::max(max, StartsBetween(begin, end) -
                                kTolerance * Allowance(limits, begin, end) -
                                kMoreRequests);
      }
    }
    return max;
  }

  time_point now = kStart;
  std::vector<named_limit> limits;

 private:
  void Start() {
    if (limit_.MayStart(now)) {
      limit_.OnStart(now);
      starts_.push_back(now);
    }
  }

  rate_limit limit_;
  std::vector<time_point> starts_;
  double offered_ = 0;
};

// A pause that ended three seconds after the announcement left the second
// before it in the windows that targets judge (soak 49001).
TEST(RateLimitTest, NoWindowThatEndsAfterThreeSecondsHoldsTooMany) {
  for (int limit = 1; limit <= 50; ++limit) {
    for (const double load : {0.0, 1.0, 3.0, 6.0, 8.0, 12.0, 30.0}) {
      for (const double burst : {0.0, 2.0, 8.0}) {
        limited_starts target;
        target.Run(seconds(5), load * limit);
        target.Burst(burst * limit);
        target.Set(limit);
        const time_point named = target.now;
        target.Run(seconds(10), 10 * limit);
        EXPECT_LE(target.MaxExcess(), 0)
            << limit << " " << load << " " << burst;
        // All that was there before has left the window by then.
        EXPECT_GE(target.StartsBetween(named + milliseconds(4200), target.now),
                  0.9 * limit * 5.8 - 1)
            << limit << " " << load << " " << burst;
      }
    }
  }
}

// The pause must end when the requests before it no longer fill the window.
TEST(RateLimitTest, APauseIsNoLongerThanTheWindowNeeds) {
  for (const int limit : {2, 5, 10, 20, 50}) {
    for (const double load : {6.0, 8.0, 12.0, 30.0}) {
      limited_starts target;
      target.Run(seconds(5), load * limit);
      target.Set(limit);
      const time_point named = target.now;
      // As many as the window may hold, of `load` for each second of it.
      const std::chrono::duration<double> kept((1.25 * limit * 4 + 1) /
                                               (load * limit));
      const duration pause =
          seconds(4) -
          std::min(ToMilliseconds(std::chrono::duration_cast<duration>(kept)),
                   milliseconds(1000));
      target.Run(pause + milliseconds(250), 10 * limit);
      EXPECT_GE(target.StartsBetween(named, target.now), 1)
          << limit << " " << load;
    }
  }
}

// A limit that got lower during a pause multiplied what was left of it.
TEST(RateLimitTest, ALimitThatGetsLowerDuringAPauseIsUsedFourSecondsLater) {
  for (const double lower : {0.5, 1.0, 3.0}) {
    limited_starts target;
    target.Run(seconds(5), 200);
    target.Set(20);
    target.Run(milliseconds(500), 200);
    target.Set(lower);
    target.Run(milliseconds(4100), 200);
    const time_point begin = target.now;
    target.Run(seconds(20), 200);
    EXPECT_GE(target.StartsBetween(begin, target.now), 0.9 * lower * 20);
    EXPECT_LE(target.MaxExcess(), 0);
  }
}

// Limits that moved during a pause shortened it, and a full bucket of a limit
// far above the next one filled that one's window.
RC_GTEST_PROP(RateLimitTest, NoStartExceedsTheWindowWhateverTheLimitsDo, ()) {
  limited_starts target;
  target.Run(seconds(3), *rc::gen::inRange(0, 1000));
  for (int i = *rc::gen::inRange(1, 8); i > 0; --i) {
    target.Set(*rc::gen::inRange(2, 600) / 10.0);
    target.Run(milliseconds(*rc::gen::inRange(5, 4000)),
               *rc::gen::element(0.0, 5.0, 1000.0));
    target.Burst(*rc::gen::inRange(0, 30));
  }
  target.Run(seconds(5), 1000);
  RC_ASSERT(target.MaxExcess() <= 0);
}

}  // namespace
}  // namespace pistachioweir
