// Letting in only what ends well.
#include "include/admit/adaptive_throttle.h"

#include <gtest/gtest.h>

#include <array>
#include <cstddef>
#include <random>
#include <string_view>

#include "include/route/caller_mix.h"

namespace pistachioweir {
namespace {

const time_point kStart{seconds(1000)};

TEST(AdaptiveThrottleTest, LetsEverythingInWhileRunsEndWell) {
  adaptive_throttle throttle(2);
  for (int i = 0; i < 1000; ++i) {
    EXPECT_TRUE(throttle.Admit());
    throttle.OnResult(true, kStart + milliseconds(10 * i));
  }
  EXPECT_EQ(throttle.share(), 1);
}

// Guards against an organisation that is ahead and is shed like the others.
TEST(AdaptiveThrottleTest, OthersGiveWayToRequestsThatAreAhead) {
  adaptive_throttle throttle(2);
  time_point now = kStart;
  int ahead = 0;
  int others = 0;
  for (int i = 0; i < 3000; ++i, now += milliseconds(5)) {
    throttle.OnResult(i % 2 == 0, now);  // Half of the runs fail.
    if (i < 1000) {
      continue;
    }
    const bool with_precedence = i % 20 == 0;
    const bool in = throttle.Admit(with_precedence);
    ahead += with_precedence && in ? 1 : 0;
    others += !with_precedence && in ? 1 : 0;
  }
  EXPECT_EQ(ahead, 100);
  EXPECT_GT(others, 20);
  EXPECT_LT(others, 400);
}

// Plays requests that each make four calls to a service which can serve only a
// part of the calls and refuses the others at random. Returns how many requests
// of a hundred, let in or not, end well in the last seconds.
double SuccessPercentage(double calls_that_fit, bool throttled) {
  constexpr int kRequestsPerStep = 10;
  constexpr int kCallsEach = 4;
  constexpr int kSteps = 600;  // Of 50 ms.
  adaptive_throttle throttle(2);
  std::mt19937 random(7);
  std::uniform_real_distribution<double> chance(0, 1);
  int served = 0;
  int asked = 0;
  for (int step = 0; step < kSteps; ++step) {
    const time_point now = kStart + milliseconds(50 * step);
    int admitted = 0;
    for (int i = 0; i < kRequestsPerStep; ++i) {
      admitted += !throttled || throttle.Admit() ? 1 : 0;
    }
    const double wanted = admitted * kCallsEach;
    const double fit = kRequestsPerStep * kCallsEach * calls_that_fit;
    const double accepted = wanted <= fit ? 1 : fit / wanted;
    for (int i = 0; i < admitted; ++i) {
      bool succeeded = true;
      for (int call = 0; call < kCallsEach; ++call) {
        succeeded = succeeded && chance(random) < accepted;
      }
      throttle.OnResult(succeeded, now);
      served += step >= kSteps / 2 && succeeded ? 1 : 0;
    }
    asked += step >= kSteps / 2 ? kRequestsPerStep : 0;
  }
  return 100.0 * served / asked;
}

// A service far down the chain has room for two thirds of the calls that it
// gets, and each request makes four of them. Its refusals hit the requests at
// random: callers see four of five fail, after all their work was done.
TEST(AdaptiveThrottleTest, MoreRequestsEndWellIfFewerAreLetIn) {
  EXPECT_LT(SuccessPercentage(0.67, false), 25);
  EXPECT_GT(SuccessPercentage(0.67, true), 55);
}

TEST(AdaptiveThrottleTest, CostsLittleWhereEverythingFits) {
  EXPECT_GT(SuccessPercentage(1.0, true), 99);
}

// Registrations and listings, as many of each, make the same calls, and there
// is room for three quarters of them. Were both refused alike, every fourth
// registration would be lost although enough listings could give way.
TEST(AdaptiveThrottleTest, WhatMattersLessGivesWayFirst) {
  constexpr int kEachPerStep = 10;
  constexpr int kCallsEach = 4;
  constexpr double kFit = 2 * kEachPerStep * kCallsEach * 0.75;
  std::array<adaptive_throttle, 2> throttles{adaptive_throttle(0),
                                             adaptive_throttle(2)};
  std::array<int, 2> served{};
  std::mt19937 random(7);
  std::uniform_real_distribution<double> chance(0, 1);
  constexpr int kSteps = 600;  // Of 50 ms.
  for (int step = 0; step < kSteps; ++step) {
    std::array<int, 2> admitted{};
    for (std::size_t kind = 0; kind < throttles.size(); ++kind) {
      for (int i = 0; i < kEachPerStep; ++i) {
        admitted[kind] += throttles[kind].Admit() ? 1 : 0;
      }
    }
    const double wanted = (admitted[0] + admitted[1]) * kCallsEach;
    const double accepted = wanted <= kFit ? 1 : kFit / wanted;
    for (std::size_t kind = 0; kind < throttles.size(); ++kind) {
      for (int i = 0; i < admitted[kind]; ++i) {
        bool succeeded = true;
        for (int call = 0; call < kCallsEach; ++call) {
          succeeded = succeeded && chance(random) < accepted;
        }
        throttles[kind].OnResult(succeeded, kStart + milliseconds(50 * step));
        served[kind] += step >= kSteps / 2 && succeeded ? 1 : 0;
      }
    }
  }
  constexpr int kAsked = kEachPerStep * kSteps / 2;
  EXPECT_GT(served[0], kAsked * 85 / 100);
  EXPECT_GT(served[1], kAsked * 35 / 100);
}

// Calls wait longer and longer at a service further down. A kind that has once
// failed under such pressure lets in less before its calls are refused; one
// that makes no calls is left alone, whatever the pressure.
TEST(AdaptiveThrottleTest, PressureHoldsBackOnlyWhatMakesCalls) {
  adaptive_throttle calling(2);
  adaptive_throttle leaf(2);
  time_point now = kStart;
  const auto play = [&](int periods, double pressure, bool calling_fails) {
    for (int i = 0; i < periods * 10; ++i) {
      now += milliseconds(20);
      calling.OnPressure(pressure, now);
      leaf.OnPressure(pressure, now);
      calling.OnResult(!calling_fails || i % 10 != 0, now);
      leaf.OnResult(true, now);
    }
  };
  play(10, 3, true);
  play(10, 0, false);
  EXPECT_EQ(calling.share(), 1);
  play(10, 1.5, false);
  EXPECT_LT(calling.share(), 0.3);
  EXPECT_EQ(leaf.share(), 1);
  play(20, 0, false);
  EXPECT_EQ(calling.share(), 1);
}

// An answer in four is lost between a target and the services that it calls,
// which have room. To let in less would refuse callers and save nobody: as
// large a part of the rest would fail.
TEST(AdaptiveThrottleTest, FailuresWithRoomBelowAreNoReason) {
  adaptive_throttle throttle(2);
  time_point now = kStart;
  for (int i = 0; i < 400; ++i) {
    now += milliseconds(20);
    throttle.OnPressure(0.0, now);
    throttle.OnResult(i % 4 != 0, now);
  }
  EXPECT_EQ(throttle.share(), 1);
}

// The called service has room again. What was kept out comes back within
// seconds, since some requests are always let in and end well.
TEST(AdaptiveThrottleTest, OpensAgainWhenRunsEndWell) {
  adaptive_throttle throttle(2);
  time_point now = kStart;
  for (int i = 0; i < 400; ++i) {
    throttle.OnResult(false, now += milliseconds(20));
  }
  EXPECT_EQ(throttle.share(), adaptive_throttle::kMinShare);
  for (int i = 0; i < 400; ++i) {
    throttle.OnResult(true, now += milliseconds(20));
  }
  EXPECT_EQ(throttle.share(), 1);
}

TEST(AdaptiveThrottleTest, OneFailureAmongFewRunsIsNoReason) {
  adaptive_throttle throttle(2);
  time_point now = kStart;
  for (int i = 0; i < 100; ++i) {
    throttle.OnResult(i % 25 != 0, now += milliseconds(300));
  }
  EXPECT_GT(throttle.share(), 0.85);
}

TEST(CallerMixTest, CallsOfOneServiceAreMadeByItsTargets) {
  caller_mix mix;
  EXPECT_FALSE(mix.IsMadeByTargets());
  for (int i = 0; i < 100; ++i) {
    mix.Add("registry");
  }
  EXPECT_TRUE(mix.IsMadeByTargets());
}

TEST(CallerMixTest, CallersOutsideComeFromAllServicesVms) {
  caller_mix mix;
  const std::array<std::string_view, 3> services{"registry", "billing",
                                                 "terms"};
  for (std::size_t i = 0; i < 3000; ++i) {
    mix.Add(services[i % services.size()]);
  }
  EXPECT_FALSE(mix.IsMadeByTargets());
}

// A route that only targets called is opened to callers outside. Refusing them
// is then no waste, and must become possible.
TEST(CallerMixTest, NoticesThatOthersCallNow) {
  caller_mix mix;
  for (int i = 0; i < 2000; ++i) {
    mix.Add("registry");
  }
  for (int i = 0; i < 1500; ++i) {
    mix.Add(i % 2 == 0 ? "billing" : "terms");
  }
  EXPECT_FALSE(mix.IsMadeByTargets());
}

}  // namespace
}  // namespace pistachioweir
