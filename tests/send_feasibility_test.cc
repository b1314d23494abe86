// Which requests are not sent any more for want of time.
#include "include/retry/send_feasibility.h"

#include <gtest/gtest.h>

namespace pistachioweir {
namespace {

const time_point kStart{seconds(1000)};

// In an overload targets answer 504 a moment before the deadline, and each such
// request was sent to three more targets with two milliseconds left (log:
// sent_again left_ms=2, then deadline_passed). They did no good there and used
// up the bound on repeats.
TEST(SendFeasibilityTest, WhatCannotEndInTimeIsNotSent) {
  send_feasibility feasibility;
  feasibility.OnCompleted(0, milliseconds(40), kStart);
  feasibility.OnCompleted(0, milliseconds(15), kStart);
  feasibility.OnCompleted(0, milliseconds(90), kStart);
  EXPECT_TRUE(feasibility.IsInfeasible(0, milliseconds(2), kStart));
  EXPECT_TRUE(feasibility.IsInfeasible(0, milliseconds(7), kStart));
  // It could end in time: nothing says that 15 ms are the least it can take.
  EXPECT_FALSE(feasibility.IsInfeasible(0, milliseconds(8), kStart));
  EXPECT_FALSE(feasibility.IsInfeasible(0, milliseconds(100), kStart));
}

TEST(SendFeasibilityTest, KindsAreToldApart) {
  send_feasibility feasibility;
  feasibility.OnCompleted(0, milliseconds(600), kStart);
  EXPECT_TRUE(feasibility.IsInfeasible(0, milliseconds(100), kStart));
  EXPECT_FALSE(feasibility.IsInfeasible(1, milliseconds(100), kStart));
}

// Of a kind that nothing is known of, or not any more, everything is sent.
TEST(SendFeasibilityTest, WhatWasLongAgoSaysNothing) {
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
