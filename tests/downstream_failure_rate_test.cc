// A failed request is not repeated while its target's calls fail often.
#include "include/retry/downstream_failure_rate.h"

#include <gtest/gtest.h>

#include <random>

#include "include/retry/repeat_budget.h"

namespace pistachioweir {
namespace {

const time_point kStart{seconds(1000)};

TEST(DownstreamFailureRateTest, FewLostCallsStayBelowTheMaximum) {
  downstream_failure_rate failure_rate;
  std::mt19937 random(7);
  std::bernoulli_distribution fails(0.02);
  time_point now = kStart;
  int too_high = 0;
  for (int i = 0; i < 2000; ++i) {
    failure_rate.Add(fails(random), now += milliseconds(5));
    too_high += failure_rate.IsTooHigh(now) ? 1 : 0;
  }
  EXPECT_LT(too_high, 100);
}

TEST(DownstreamFailureRateTest, DecaysWithinSeconds) {
  downstream_failure_rate failure_rate;
  for (int i = 0; i < 100; ++i) {
    failure_rate.Add(true, kStart + milliseconds(5 * i));
  }
  EXPECT_TRUE(failure_rate.IsTooHigh(kStart + milliseconds(500)));
  EXPECT_FALSE(failure_rate.IsTooHigh(kStart + seconds(5)));
}

struct simulation_result {
  double calls_repeated = 0;  // Of all first calls; budgets count these.
  double served = 0;          // Of all requests.
};

// Simulates requests that make four calls each, of which a fraction
// `refusal_rate` is refused. Calls and requests may each be repeated up to a
// tenth of their number; with `limited`, requests only while the failure rate
// of their calls isn't too high.
simulation_result Simulate(double refusal_rate, bool limited) {
  constexpr int kRequests = 20000;
  constexpr int kCallsEach = 4;
  constexpr milliseconds kBetween{2};
  std::mt19937 random(7);
  std::bernoulli_distribution refused(refusal_rate);
  repeat_budget requests({.ratio = 0.1, .reserve = 1});
  repeat_budget calls({.ratio = 0.1, .reserve = 1});
  downstream_failure_rate failure_rate;
  time_point now = kStart;
  int served = 0;
  int first_calls = 0;
  int repeats = 0;
  // Returns whether the run succeeded; a run stops at its first failed call.
  const auto run = [&](bool is_repeat) {
    for (int i = 0; i < kCallsEach; ++i) {
      is_repeat ? ++repeats : ++first_calls;
      calls.OnRequest(now);
      bool failed = refused(random);
      if (failed && calls.TrySpend(now)) {
        ++repeats;
        failed = refused(random);
      }
      failure_rate.Add(failed, now);
      if (failed) {
        return false;
      }
    }
    return true;
  };
  for (int i = 0; i < kRequests; ++i) {
    now += kBetween;
    requests.OnRequest(now);
    bool well = run(false);
    const bool may_repeat = !limited || !failure_rate.IsTooHigh(now);
    if (!well && may_repeat && requests.TrySpend(now)) {
      well = run(true);
    }
    served += well ? 1 : 0;
  }
  return {.calls_repeated = 1.0 * repeats / first_calls,
          .served = 1.0 * served / kRequests};
}

// All targets of a service refuse more than half of their calls. Requests whose
// calls fail are run again and fail again, and their calls count as repeats of
// the called service: together with its own repeats they exceed the operator's
// limit, and hardly any more requests succeed.
TEST(DownstreamFailureRateTest, RequestsAreNotRepeatedWhereTheirCallsFail) {
  const simulation_result without = Simulate(0.55, false);
  const simulation_result limited = Simulate(0.55, true);
  EXPECT_GT(without.calls_repeated, 0.18);
  EXPECT_LT(limited.calls_repeated, 0.11);
  EXPECT_GT(limited.served, without.served - 0.02);
}

// A few calls are lost; repeating their requests makes nearly all of them
// succeed.
TEST(DownstreamFailureRateTest, RequestsAreRepeatedWhereFewCallsAreLost) {
  EXPECT_GT(Simulate(0.02, true).served, 0.99);
}

}  // namespace
}  // namespace pistachioweir
