// How often daemons ask the store for changes.
#include "include/forward/watch_pace.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace pistachioweir {
namespace {

constexpr milliseconds kAnswerTime{4};
constexpr watch_pace_options kAll{.readers = reader_policy::kAll};

struct series {
  std::size_t daemons = 0;
  double store_calls_per_second = 0;
  milliseconds between_changes{0};
  milliseconds length{10000};
};

struct asked {
  double calls_per_second = 0;    // Of all daemons together.
  milliseconds latest_change{0};  // From a change until it is known.
};

// Simulates one daemon for all of them, since all receive the same changes.
asked Play(const series& of) {
  const milliseconds pause =
      WatchPause({.store_calls_per_second = of.store_calls_per_second,
                  .readers = reader_policy::kAll},
                 of.daemons, 0);
  asked result;
  int calls = -1;  // The first one, at the daemon's start, has no pause.
  milliseconds asks_at{0};
  milliseconds known{0};  // Changes up to here are known.
  while (asks_at < of.length) {
    ++calls;
    const milliseconds next_change =
        (known / of.between_changes + 1) * of.between_changes;
    const milliseconds answered = std::max(asks_at, next_change) + kAnswerTime;
    result.latest_change =
        std::max(result.latest_change, answered - next_change);
    known = answered;
    asks_at = answered + pause;
  }
  result.calls_per_second = calls * static_cast<double>(of.daemons) * 1000 /
                            static_cast<double>(of.length.count());
  return result;
}

// All targets of a deployment are started or replaced, and each changes its
// entry a few times. If every daemon asked again right after every answer, the
// store, which accepts a limited number of calls per second, would reject some
// of them, and those daemons would send requests to targets that have left.
// Without a pause 71 daemons make 1,800 calls a second in this series, and 300
// daemons 7,500, of 6,000 that are accepted.
TEST(WatchPaceTest, ASeriesOfChangesCostsFewCalls) {
  for (const std::size_t daemons : {12U, 71U, 300U}) {
    const asked result = Play({.daemons = daemons,
                               .store_calls_per_second = 6000,
                               .between_changes = milliseconds(40)});
    EXPECT_LE(result.calls_per_second,
              std::max(6000 * kWatchShare, 1.0 * daemons))
        << daemons;
    EXPECT_LE(result.latest_change, kMaxWatchPause + 2 * kAnswerTime);
  }
}

TEST(WatchPaceTest, ASingleChangeIsKnownAtOnce) {
  const asked result = Play({.daemons = 300,
                             .store_calls_per_second = 6000,
                             .between_changes = milliseconds(2000)});
  EXPECT_EQ(result.latest_change, kAnswerTime);
}

// Idle watches of 62 daemons, renewed every 1.5 s each, cost 41 redundant calls
// a second; those of 14,000 daemons would exceed what any store can serve.
TEST(WatchPaceTest, IdleDaemonsRenewTheirWatchesTogether) {
  for (const std::size_t daemons : {59U, 62U, 71U}) {
    const double calls =
        1000.0 * static_cast<double>(daemons) /
        static_cast<double>(WatchWait(kAll, daemons, 0).count());
    EXPECT_LE(calls, 10.1) << daemons;
  }
  EXPECT_EQ(WatchWait(kAll, 12, 0), kMinWatchWait);
  EXPECT_EQ(WatchWait(kAll, 14000, 0), kMaxWatchWait);
}

// A change wakes all daemons at the same time. If their next watches also ended
// at the same time, no daemon would detect a silent store in between.
TEST(WatchPaceTest, RenewalsAreSpread) {
  EXPECT_LT(WatchWait(kAll, 62, 1023), WatchWait(kAll, 62, 0) * 2 / 3);
  EXPECT_GE(WatchWait(kAll, 62, 1023), kMinWatchWait);
}

// Two daemons of a data centre read for all of it and are woken by the same
// change. Regardless of the fleet's size, changes are in force within half of
// the two seconds that are allowed, and the two readers don't ask at the same
// time.
TEST(WatchPaceTest, ReadersPauseForDifferentTimes) {
  const watch_pace_options few{.store_calls_per_second = 16000};
  for (const std::size_t daemons : {2U, 25U, 14000U}) {
    EXPECT_EQ(WatchPause(few, daemons, 0), kMinReaderPause);
    EXPECT_GT(WatchPause(few, daemons, 512), WatchPause(few, daemons, 0));
    EXPECT_LE(WatchPause(few, daemons, 1023), kMaxWatchPause);
    EXPECT_LE(WatchWait(few, daemons, 0), kMaxReaderWait);
    EXPECT_GE(WatchWait(few, daemons, 1023), kMinWatchWait);
  }
}

TEST(WatchPaceTest, WithoutAKnownLimitThereIsNoPause) {
  EXPECT_EQ(WatchPause({}, 1000, 0), milliseconds(0));
  EXPECT_EQ(WatchPause(kAll, 1000, 0), milliseconds(0));
}

// Guards against a fleet that starts and of which each daemon reads the empty
// store several times a second.
TEST(WatchPaceTest, AStartingFleetReadsTheEmptyStoreOnceASecondAtMost) {
  milliseconds longest{0};
  for (std::uint32_t random = 0; random < 1024; ++random) {
    EXPECT_GE(StartPause(random), seconds(1));
    longest = std::max(longest, StartPause(random));
  }
  // A daemon waits for a target that registers no longer than for a change.
  EXPECT_LE(longest, seconds(2));
}

}  // namespace
}  // namespace pistachioweir
