// Requests that are not sent for lack of time.
#include "include/retry/send_feasibility.h"

#include <gtest/gtest.h>

namespace pistachioweir {
namespace {

const time_point kStart{seconds(1000)};

// In an overload targets answer 504 just before the deadline, and each such
// request was sent to three more targets with two milliseconds left (log:
// sent_again left_ms=2, then deadline_passed). These sends couldn't succeed and
// used up the repeat budget.
TEST(SendFeasibilityTest, RequestsThatCannotEndInTimeAreNotSent) {
  send_feasibility feasibility;
  feasibility.OnCompleted(0, milliseconds(40), kStart);
  feasibility.OnCompleted(0, milliseconds(15), kStart);
  feasibility.OnCompleted(0, milliseconds(90), kStart);
  EXPECT_TRUE(feasibility.IsInfeasible(0, milliseconds(2), kStart));
  EXPECT_TRUE(feasibility.IsInfeasible(0, milliseconds(7), kStart));
  // It could end in time: 15 ms is the shortest observed run, not a lower
  // bound.
  EXPECT_FALSE(feasibility.IsInfeasible(0, milliseconds(8), kStart));
  EXPECT_FALSE(feasibility.IsInfeasible(0, milliseconds(100), kStart));
}

TEST(SendFeasibilityTest, KindsAreIndependent) {
  send_feasibility feasibility;
  feasibility.OnCompleted(0, milliseconds(600), kStart);
  EXPECT_TRUE(feasibility.IsInfeasible(0, milliseconds(100), kStart));
  EXPECT_FALSE(feasibility.IsInfeasible(1, milliseconds(100), kStart));
}

// Requests of a kind without recent runs are always sent.
TEST(SendFeasibilityTest, OldRunsAreIgnored) {
  send_feasibility feasibility;
  EXPECT_FALSE(feasibility.IsInfeasible(0, milliseconds(0), kStart));
  feasibility.OnCompleted(0, milliseconds(600), kStart);
  EXPECT_TRUE(
      feasibility.IsInfeasible(0, milliseconds(100), kStart + seconds(4)));
  EXPECT_FALSE(
      feasibility.IsInfeasible(0, milliseconds(100), kStart + seconds(11)));
}

TEST(RecentExtremeTest, KeepsTheWindowsExtremes) {
  recent_maximum longest;
  recent_minimum shortest;
  EXPECT_EQ(longest.Get(kStart), std::nullopt);
  for (const int each : {5, 9, 2, 7}) {
    longest.Add(milliseconds(each), kStart);
    shortest.Add(milliseconds(each), kStart);
  }
  EXPECT_EQ(longest.Get(kStart + seconds(4)), milliseconds(9));
  EXPECT_EQ(shortest.Get(kStart + seconds(4)), milliseconds(2));
  longest.Add(milliseconds(3), kStart + seconds(6));
  EXPECT_EQ(longest.Get(kStart + seconds(6)), milliseconds(9));
  EXPECT_EQ(longest.Get(kStart + seconds(12)), milliseconds(3));
  EXPECT_EQ(longest.Get(kStart + seconds(30)), std::nullopt);
}

}  // namespace
}  // namespace pistachioweir
