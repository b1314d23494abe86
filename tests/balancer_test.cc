// Selection of a target among those of one service.
#include "include/route/balancer.h"

#include <gtest/gtest.h>

#include <random>

namespace pistachioweir {
namespace {

const time_point kStart{seconds(1000)};

std::vector<target_info> ThreeTargets() {
  return {{.vm = "a", .data_centre = "waw-1"},
          {.vm = "b", .data_centre = "waw-2"},
          {.vm = "c", .data_centre = "waw-3"}};
}

TEST(BalancerTest, ReportsThatThereIsNoTarget) {
  balancer chooser({.data_centre = "waw-1"});
  const auto choice = chooser.Place({}, kStart, 7);
  EXPECT_FALSE(choice.placed);
  EXPECT_EQ(choice.why, reason::kNoTarget);
}

TEST(BalancerTest, SendsNothingToALeavingTarget) {
  balancer chooser({.data_centre = "waw-1"});
  auto targets = ThreeTargets();
  targets[0].leaving = true;
  chooser.SetTargets(targets, kStart);
  std::mt19937_64 random(1);
  for (int i = 0; i < 200; ++i) {
    const auto choice = chooser.Place({}, kStart, random());
    ASSERT_TRUE(choice.placed);
    EXPECT_NE(chooser.VmOf(choice.target), "a");
  }
}

// A VM's daemon announces that it is leaving, stops, and restarts under the
// same name. Callers that had received the announcement never sent it another
// call, so the service had one target less for them.
TEST(BalancerTest, RestartedTargetGetsCallsAgain) {
  balancer chooser({.data_centre = "waw-1"});
  std::vector<target_info> targets = {
      {.vm = "a", .data_centre = "waw-1", .incarnation = incarnation_id{1}}};
  chooser.SetTargets(targets, kStart);
  const auto before = chooser.Place({}, kStart, 7);
  ASSERT_TRUE(before.placed);
  chooser.MarkLeaving(before.target);
  EXPECT_FALSE(chooser.Place({}, kStart, 7).placed);
  targets[0].incarnation = incarnation_id{2};
  chooser.SetTargets(targets, kStart);
  EXPECT_TRUE(chooser.Place({}, kStart + seconds(5), 7).placed);
}

// All three targets stop answering, as seen from a caller whose own network is
// faulty. If it ejected them all, it would refuse every call until the
// ejections end, even after its network has recovered.
TEST(BalancerTest, NeverEjectsEveryTarget) {
  balancer chooser({.data_centre = "waw-1"});
  chooser.SetTargets(ThreeTargets(), kStart);
  std::mt19937_64 random(1);
  for (int i = 0; i < 200; ++i) {
    const auto choice = chooser.Place({}, kStart, random());
    ASSERT_TRUE(choice.placed);
    chooser.Finish(choice.target, 0, call_result::kFailed, {}, nullptr, kStart);
  }
  EXPECT_GE(chooser.usable(kStart), 2U);
}

// One of three daemons has stopped and one is paused, so neither is reachable,
// and some answers of the third target are lost. When the other two were
// counted as eligible, the third was ejected, and requests were refused
// although it was healthy (log: not_placed why=no_target usable=0).
TEST(BalancerTest, NeverEjectsTheLastReachableTarget) {
  balancer chooser({.data_centre = "waw-1"});
  chooser.SetTargets(ThreeTargets(), kStart);
  chooser.SetReachable(*chooser.RefOf("a"), false);
  chooser.SetReachable(*chooser.RefOf("b"), false);
  std::mt19937_64 random(1);
  for (int i = 0; i < 20; ++i) {
    const auto choice = chooser.Place({}, kStart, random());
    ASSERT_TRUE(choice.placed);
    chooser.Finish(choice.target, 0, call_result::kFailed, {}, nullptr, kStart);
  }
  EXPECT_EQ(chooser.usable(kStart), 1U);
}

}  // namespace
}  // namespace pistachioweir
