// Target selection by the expected completion of a call, with unequal targets.
#include "include/route/balancer.h"

#include <gtest/gtest.h>

#include <map>
#include <random>
#include <string>
#include <vector>

namespace pistachioweir {
namespace {

const time_point kStart{seconds(1000)};

class expected_end_test : public testing::Test {
 protected:
  expected_end_test()
      : chooser_({.data_centre = "waw-a",
                  .policy = placement_policy::kExpectedEnd,
                  .methods = 4}) {
    chooser_.SetTargets({{.vm = "near", .data_centre = "waw-a", .slots = 10},
                         {.vm = "far-1", .data_centre = "waw-b", .slots = 10},
                         {.vm = "far-2", .data_centre = "waw-c", .slots = 10}},
                        kStart);
  }

  // Places a call that ends after `time` with result `how`.
  std::string Call(duration time,
                   call_result how = call_result::kAnswered,
                   placement_request request = {}) {
    const placement placed = chooser_.Place(request, now_, random_());
    EXPECT_TRUE(placed.placed);
    std::string vm(chooser_.VmOf(placed.target));
    chooser_.Finish(placed.target, request.method, how, time, nullptr, now_);
    return vm;
  }

  balancer chooser_;
  time_point now_ = kStart;
  std::mt19937_64 random_{7};
};

TEST_F(expected_end_test, StaysInItsDataCentreWhileNothingIsSlow) {
  for (int i = 0; i < 100; ++i) {
    EXPECT_EQ(Call(milliseconds(100)), "near");
  }
}

TEST_F(expected_end_test, OverflowsWhenTheNearTargetIsFull) {
  std::map<std::string, int> held;
  for (int i = 0; i < 27; ++i) {
    const placement placed = chooser_.Place({}, now_, random_());
    ++held[std::string(chooser_.VmOf(placed.target))];
  }
  EXPECT_GE(held["near"], 9);
  EXPECT_LE(held["near"], 18);
  EXPECT_GE(held["far-1"], 4);
  EXPECT_GE(held["far-2"], 4);
}

// One of three targets loses two of five answers while its health endpoint
// looks fine. Calls that were still sent there failed at that rate, and
// registrations can't even be sent again.
TEST_F(expected_end_test, AvoidsATargetThatFailsMoreThanTheOthers) {
  std::uniform_real_distribution<double> chance(0, 1);
  int to_failing = 0;
  constexpr int kCalls = 400;
  for (int i = 0; i < kCalls; ++i) {
    now_ += milliseconds(5);
    const placement placed =
        chooser_.Place({.at_most_once = true}, now_, random_());
    const bool near = chooser_.VmOf(placed.target) == "near";
    const bool fails = near && chance(random_) < 0.4;
    chooser_.Finish(placed.target, 0,
                    fails ? call_result::kFailed : call_result::kAnswered,
                    milliseconds(50), nullptr, now_);
    to_failing += near ? 1 : 0;
  }
  EXPECT_LT(to_failing, kCalls / 5);
  EXPECT_GT(to_failing, 0);
}

// A downstream service refuses, and all targets answer with failures. Spreading
// calls over the data centres would not help.
TEST_F(expected_end_test, CommonFailuresDoNotMoveCalls) {
  std::uniform_real_distribution<double> chance(0, 1);
  int near = 0;
  constexpr int kCalls = 600;
  for (int i = 0; i < kCalls; ++i) {
    now_ += milliseconds(5);
    const bool fails = chance(random_) < 0.5;
    near += Call(milliseconds(50), fails ? call_result::kErrored
                                         : call_result::kAnswered) == "near"
                ? 1
                : 0;
  }
  EXPECT_GT(near, kCalls * 6 / 10);
}

// A target that had just joined got the slowest kind of requests first, looked
// slow for seconds, and got no more requests of any kind.
TEST_F(expected_end_test, ATargetThatGotTheSlowestKindFirstDoesNotLookSlow) {
  for (int i = 0; i < 200; ++i) {
    now_ += milliseconds(5);
    const std::uint32_t kind = i % 2;
    Call(milliseconds(kind == 0 ? 40 : 640), call_result::kAnswered,
         {.method = kind});
  }
  chooser_.SetTargets({{.vm = "near", .data_centre = "waw-a", .slots = 10},
                       {.vm = "new", .data_centre = "waw-a", .slots = 10}},
                      now_);
  now_ += seconds(3);
  std::map<std::string, int> got;
  for (int i = 0; i < 100; ++i) {
    now_ += milliseconds(5);
    const std::uint32_t kind = i < 2 ? 1 : 0;
    ++got[Call(milliseconds(kind == 0 ? 40 : 640), call_result::kAnswered,
               {.method = kind})];
  }
  EXPECT_GT(got["new"], 30);
}

TEST_F(expected_end_test, AStoppingDaemonGetsNothingUntilAnotherServes) {
  const auto near = chooser_.RefOf("near");
  ASSERT_TRUE(near.has_value());
  chooser_.SetStopping(*near, true);
  EXPECT_NE(Call(milliseconds(10)), "near");
  chooser_.SetStopping(*near, false);
  EXPECT_EQ(Call(milliseconds(10)), "near");
  chooser_.SetReachable(*near, false);
  EXPECT_NE(Call(milliseconds(10)), "near");
  chooser_.SetReachable(*near, true);
  EXPECT_EQ(Call(milliseconds(10)), "near");
}

// The daemons of all targets of a service are restarted a second apart, and
// each takes some seconds to stop. For a while all of them are stopping, though
// every target runs. Callers' daemons placed no calls there, and all calls were
// refused for a second (log: not_placed why=no_target usable=0).
TEST_F(expected_end_test, WithAllDaemonsStoppingCallsStillGoThere) {
  for (const std::string vm : {"near", "far-1", "far-2"}) {
    chooser_.SetStopping(*chooser_.RefOf(vm), true);
  }
  EXPECT_EQ(Call(milliseconds(10)), "near");
  // A daemon that serves again gets every call.
  chooser_.SetStopping(*chooser_.RefOf("far-2"), false);
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(Call(milliseconds(10)), "far-2");
  }
}

// A call that failed at the only target with a serving daemon may be retried at
// one whose daemon is stopping.
TEST_F(expected_end_test, AStoppingDaemonIsTheSecondAttempt) {
  chooser_.SetStopping(*chooser_.RefOf("far-1"), true);
  chooser_.SetReachable(*chooser_.RefOf("far-2"), false);
  placement_request request;
  const placement first = chooser_.Place(request, now_, random_());
  EXPECT_EQ(chooser_.VmOf(first.target), "near");
  request.tried = {.refs = {first.target}, .count = 1};
  EXPECT_TRUE(chooser_.MayTryElsewhere(request, now_));
  const placement second = chooser_.Place(request, now_, random_());
  EXPECT_EQ(chooser_.VmOf(second.target), "far-1");
}

// After a loss of machines and daemon restarts, the four targets that a call
// was sent to in turn were unavailable, and it was refused after the fourth
// although the fifth was healthy (log: four times answer why=not_ready, then
// answered why=not_ready).
TEST_F(expected_end_test, UnavailableTargetsDoNotCountAsAttempts) {
  balancer chooser({.policy = placement_policy::kExpectedEnd, .max_tries = 4});
  constexpr std::size_t kTargets = 6;
  std::vector<target_info> targets;
  targets.reserve(kTargets);
  for (std::size_t i = 0; i < kTargets; ++i) {
    targets.push_back({.vm = "vm-" + std::to_string(i), .slots = 10});
  }
  chooser.SetTargets(targets, kStart);
  placement_request request;
  for (int i = 0; i < 4; ++i) {
    const placement placed = chooser.Place(request, kStart, random_());
    chooser.Finish(placed.target, 0, call_result::kFailed, milliseconds(50),
                   nullptr, kStart);
    request.tried.refs[request.tried.count++] = placed.target;
    ++request.tried.unavailable;
    EXPECT_TRUE(chooser.MayTryElsewhere(request, kStart)) << i;
  }
  EXPECT_TRUE(chooser.Place(request, kStart, random_()).placed);
  // Refusals by available targets do count: the fourth is the last.
  request.tried.unavailable = 0;
  EXPECT_FALSE(chooser.MayTryElsewhere(request, kStart));
}

}  // namespace
}  // namespace pistachioweir
