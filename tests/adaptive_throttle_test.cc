// Throttling of requests by their failure rate and by downstream pressure.
#include "include/admit/adaptive_throttle.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <random>
#include <string_view>

#include "include/route/caller_mix.h"

namespace pistachioweir {
namespace {

const time_point kStart{seconds(1000)};

TEST(AdaptiveThrottleTest, AdmitsEverythingWhileRunsSucceed) {
  adaptive_throttle throttle(2);
  for (int i = 0; i < 1000; ++i) {
    EXPECT_TRUE(throttle.Admit());
    throttle.OnResult(true, kStart + milliseconds(10 * i));
  }
  EXPECT_EQ(throttle.share(), 1);
}

// Guards against shedding the requests of an organisation with precedence like
// the others.
TEST(AdaptiveThrottleTest, RequestsWithPrecedenceDisplaceOthers) {
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

// Guards against other decisions than before Admit() had two steps.
TEST(AdaptiveThrottleTest, AdmitDecidesAsInOneStep) {
  adaptive_throttle throttle(2);
  std::mt19937 random(11);
  double credit = 1;
  time_point now = kStart;
  for (int i = 0; i < 20000; ++i, now += milliseconds(1)) {
    throttle.OnResult(random() % 1000 > std::uint64_t{300} * (i / 5000), now);
    const bool has_precedence = random() % 10 == 0;
    credit += throttle.share();
    const bool admits =
        credit >= (has_precedence ? 1 - adaptive_throttle::kMaxBorrowed : 1);
    if (admits) {
      credit = std::min(credit - 1, 1.0);
    }
    ASSERT_EQ(throttle.Admit(has_precedence), admits) << i;
  }
}

// Simulates requests that each make four calls to a service which can serve
// only a part of the calls and refuses the others at random. Returns the
// percentage of all requests, admitted or not, that succeed in the second half
// of the simulation.
double SuccessPercentage(double calls_that_fit, bool throttled) {
  constexpr int kRequestsPerStep = 10;
  constexpr int kCallsEach = 4;
  constexpr int kSteps = 600;  // Of 50 ms.
  adaptive_throttle throttle(2);
  std::mt19937 random(7);
  std::uniform_real_distribution<double> chance(0, 1);
  int served = 0;
  int offered = 0;
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
    offered += step >= kSteps / 2 ? kRequestsPerStep : 0;
  }
  return 100.0 * served / offered;
}

// A service far downstream has capacity for two thirds of the calls that it
// gets, and each request makes four of them. Its random refusals make four of
// five requests fail after all their work was done.
TEST(AdaptiveThrottleTest, MoreRequestsSucceedIfFewerAreAdmitted) {
  EXPECT_LT(SuccessPercentage(0.67, false), 25);
  EXPECT_GT(SuccessPercentage(0.67, true), 55);
}

TEST(AdaptiveThrottleTest, CostsLittleWithinCapacity) {
  EXPECT_GT(SuccessPercentage(1.0, true), 99);
}

// Registrations and listings, equally many, make the same calls, and there is
// capacity for three quarters of them. If both were refused alike, every fourth
// registration would be lost although enough listings could be refused instead.
TEST(AdaptiveThrottleTest, LessImportantKindsAreReducedFirst) {
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
  constexpr int kOffered = kEachPerStep * kSteps / 2;
  EXPECT_GT(served[0], kOffered * 85 / 100);
  EXPECT_GT(served[1], kOffered * 35 / 100);
}

// Queueing times increase at a downstream service. A kind that has failed under
// such pressure before is throttled before its calls are refused; one that
// makes no calls is not throttled at any pressure.
TEST(AdaptiveThrottleTest, PressureThrottlesOnlyKindsThatMakeCalls) {
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

// One in four answers is lost between a target and the services that it calls,
// which have spare capacity. Throttling would refuse callers without benefit:
// the same part of the rest would fail.
TEST(AdaptiveThrottleTest, FailuresWithoutPressureDoNotThrottle) {
  adaptive_throttle throttle(2);
  time_point now = kStart;
  for (int i = 0; i < 400; ++i) {
    now += milliseconds(20);
    throttle.OnPressure(0.0, now);
    throttle.OnResult(i % 4 != 0, now);
  }
  EXPECT_EQ(throttle.share(), 1);
}

// The called service has capacity again. The share recovers within seconds,
// since some requests are always admitted and succeed.
TEST(AdaptiveThrottleTest, RecoversWhenRunsSucceed) {
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

TEST(AdaptiveThrottleTest, OneFailureAmongFewRunsDoesNotThrottle) {
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

TEST(CallerMixTest, OutsideCallersUseTheVmsOfAllServices) {
  caller_mix mix;
  const std::array<std::string_view, 3> services{"registry", "billing",
                                                 "terms"};
  for (std::size_t i = 0; i < 3000; ++i) {
    mix.Add(services[i % services.size()]);
  }
  EXPECT_FALSE(mix.IsMadeByTargets());
}

// A route that only targets called is opened to outside callers. Refusing those
// wastes no work, and must become possible.
TEST(CallerMixTest, AdaptsWhenOutsideCallersAppear) {
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
