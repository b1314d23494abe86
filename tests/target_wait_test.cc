// How long a request waits for an available target before it is refused.
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

// Repeats the look-up until the request is refused; returns the time waited.
milliseconds TotalWait(const target_search& search) {
  milliseconds waited{0};
  while (const auto pause = NextLookupDelay(search, kStart + waited)) {
    waited += *pause;
  }
  return waited;
}

// The connection to one daemon broke 44 ms ago and the only other daemon is
// stopping. A request was refused for lack of a target and asked to retry in 50
// ms, though it had 2.9 s left (log: answer why=not_ready heard=no, then answer
// why=draining). Both gaps are temporary.
TEST(TargetWaitTest, ARequestWithoutAvailableTargetIsLookedUpAgain) {
  for (const reason why : {reason::kNotReady, reason::kDraining,
                           reason::kNoTarget, reason::kWrongTarget}) {
    EXPECT_TRUE(NextLookupDelay(Search(why), kStart).has_value());
  }
}

// A service is permanently unavailable. Its callers should be refused while
// they have most of their time left.
TEST(TargetWaitTest, TheWaitIsASmallPartOfTheObjective) {
  const milliseconds waited = TotalWait(Search(reason::kNoTarget));
  EXPECT_GE(waited, 2 * kLookupRetryInterval);
  EXPECT_LE(waited, milliseconds(1000) / kMaxWaitDivisor);
}

// All targets are full. Waiting requests would return to them as additional
// load, and the less important ones would be delayed for nothing.
TEST(TargetWaitTest, LackOfCapacityIsReportedAtOnce) {
  for (const reason why : {reason::kOverload, reason::kQueueFull,
                           reason::kWasted, reason::kQuarantined}) {
    EXPECT_FALSE(NextLookupDelay(Search(why), kStart).has_value());
  }
}

TEST(TargetWaitTest, NothingWaitsPastItsDeadline) {
  target_search search = Search(reason::kNoTarget);
  search.deadline = kStart + kLookupRetryInterval;
  EXPECT_FALSE(NextLookupDelay(search, kStart).has_value());
}

}  // namespace
}  // namespace pistachioweir
