// How long a request looks for a target before it is refused.
#include "include/retry/target_wait.h"

#include <gtest/gtest.h>

namespace pistachioweir {
namespace {

const time_point kStart{seconds(1000)};

target_search Search(reason why) {
  return {.received = kStart,
          .deadline = kStart + seconds(3),
          .objective = seconds(1),
          .why = why};
}

// Looks until it is refused; returns how long that took.
milliseconds Waits(const target_search& search) {
  milliseconds waited{0};
  while (const auto pause = NextLookupDelay(search, kStart + waited)) {
    waited += *pause;
  }
  return waited;
}

// The connection to one daemon broke 44 ms ago, the only other daemon is
// stopping. A request was told that nobody is there and to come back in 50 ms,
// though it had 2.9 s left (lines: answer why=not_ready heard=no, then answer
// why=draining). Both gaps end by themselves.
TEST(TargetWaitTest, ARequestThatFoundNobodyLooksAgain) {
  for (const reason why : {reason::kNotReady, reason::kDraining,
                           reason::kNoTarget, reason::kWrongTarget}) {
    EXPECT_TRUE(NextLookupDelay(Search(why), kStart).has_value());
  }
}

// A service is gone for good. Its callers should hear of it while they have
// most of their time left.
TEST(TargetWaitTest, TheWaitIsASmallPartOfTheObjective) {
  const milliseconds waited = Waits(Search(reason::kNoTarget));
  EXPECT_GE(waited, 2 * kLookupRetryInterval);
  EXPECT_LE(waited, milliseconds(1000) / kMaxWaitDivisor);
}

// All targets are full. Requests that wait here would come back to them as more
// load, and the less important ones would be held for nothing.
TEST(TargetWaitTest, WantOfRoomIsToldAtOnce) {
  for (const reason why : {reason::kOverload, reason::kQueueFull,
                           reason::kWasted, reason::kQuarantined}) {
    EXPECT_FALSE(NextLookupDelay(Search(why), kStart).has_value());
  }
}

TEST(TargetWaitTest, NothingWaitsIntoItsDeadline) {
  target_search search = Search(reason::kNoTarget);
  search.deadline = kStart + kLookupRetryInterval;
  EXPECT_FALSE(NextLookupDelay(search, kStart).has_value());
}

}  // namespace
}  // namespace pistachioweir
