// When a stopping daemon ends, and until when it takes requests.
#include "src/forward/stop_plan.h"

#include <gtest/gtest.h>

namespace pistachioweir {
namespace {

const time_point kStart{seconds(1000)};
constexpr milliseconds kTimeout{6000};

TEST(StopPlanTest, StaysUntilCallersHaveHeard) {
  stop_plan plan;
  plan.Begin(kStart, kTimeout);
  EXPECT_FALSE(plan.IsOver({}, kStart + milliseconds(2000)));
  EXPECT_TRUE(plan.IsOver({}, kStart + milliseconds(2400)));
}

TEST(StopPlanTest, WaitsForWhatIsInProgressButNotForever) {
  stop_plan plan;
  plan.Begin(kStart, kTimeout);
  EXPECT_FALSE(plan.IsOver({.open_requests = 1}, kStart + seconds(4)));
  EXPECT_FALSE(plan.IsOver({.runs = 1}, kStart + seconds(5)));
  EXPECT_TRUE(plan.IsOver({.runs = 1}, kStart + milliseconds(5700)));
}

TEST(StopPlanTest, GoesOnceNothingNewComes) {
  stop_plan plan;
  plan.Begin(kStart, kTimeout);
  EXPECT_FALSE(plan.IsOver({.requests_read = 5}, kStart + milliseconds(2400)));
  EXPECT_FALSE(plan.IsOver({.requests_read = 5}, kStart + milliseconds(2600)));
  EXPECT_TRUE(plan.IsOver({.requests_read = 5}, kStart + milliseconds(2750)));
}

// Callers of a VM don't stop coming, because too few other daemons are left for
// the platform to send them away. A request that was taken 4.5 s after the
// signal was cut off when the daemon ended a second later, with its target at
// work: its caller got no answer.
TEST(StopPlanTest, TakesNothingThatItCouldNotFinish) {
  stop_plan plan;
  EXPECT_TRUE(plan.TakesNew(kStart));
  plan.Begin(kStart, kTimeout);
  EXPECT_TRUE(plan.TakesNew(kStart + milliseconds(2400)));
  EXPECT_FALSE(plan.TakesNew(kStart + milliseconds(2600)));
  EXPECT_FALSE(plan.TakesNew(kStart + milliseconds(4500)));
}

TEST(StopPlanTest, AShortTimeToStopLeavesHalfForWhatIsInProgress) {
  stop_plan plan;
  plan.Begin(kStart, milliseconds(2000));
  EXPECT_TRUE(plan.TakesNew(kStart + milliseconds(700)));
  EXPECT_FALSE(plan.TakesNew(kStart + milliseconds(900)));
}

}  // namespace
}  // namespace pistachioweir
