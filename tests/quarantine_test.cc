// Quarantine of requests that crash targets.
#include "include/quarantine/quarantine.h"

#include <gtest/gtest.h>

#include <string>

namespace pistachioweir {
namespace {

const time_point kStart{seconds(1000)};
const request_fingerprint kRequest = Fingerprint(
    {.service = "contracts", .method = "sign", .body = "x", .label = {}});

// Guards against one request that crashes every target that runs it while its
// caller keeps retrying: without quarantine all targets of the service go down
// one by one.
TEST(QuarantineTest, TwoCrashesQuarantineForABoundedTime) {
  quarantine table({.period = milliseconds(1000)});
  table.OnCrash(kRequest, crash_id{1}, kStart);
  EXPECT_EQ(table.Remaining(kRequest, kStart), milliseconds(0));
  table.OnCrash(kRequest, crash_id{1}, kStart);
  EXPECT_EQ(table.Remaining(kRequest, kStart), milliseconds(0));
  table.OnCrash(kRequest, crash_id{2}, kStart);
  EXPECT_EQ(table.Remaining(kRequest, kStart), milliseconds(1000));
  EXPECT_EQ(table.Remaining(kRequest, kStart + seconds(1)), milliseconds(0));
}

// Guards against a request whose caller keeps retrying for longer than the
// quarantine. After the first period it crashed every target that received it
// for another minute, 52 in the soak (log: target_crashed, and suspects_heard
// news=0), since both slots for its crashes were taken and one more was not
// counted.
TEST(QuarantineTest, AnotherCrashAfterThePeriodQuarantinesAtOnce) {
  quarantine table({.period = milliseconds(1000)});
  quarantine other({.period = milliseconds(1000)});
  std::uint64_t crashes = 0;
  for (milliseconds at{0}; at < seconds(10); at += milliseconds(10)) {
    const time_point now = kStart + at;
    table.Expire(now);
    other.Expire(now);
    if (table.Remaining(kRequest, now) > milliseconds(0)) {
      EXPECT_GT(other.Remaining(kRequest, now), milliseconds(0));
      continue;
    }
    const crash_id crash{++crashes};
    table.OnCrash(kRequest, crash, now);
    other.Import({.fingerprint = kRequest,
                  .crashes = {crash},
                  .remaining = milliseconds(1000)},
                 now);
  }
  // Two at first, then one per period.
  EXPECT_EQ(crashes, 11U);
}

TEST(QuarantineTest, ARequestThatCompletesIsNoSuspect) {
  quarantine table;
  table.OnCrash(kRequest, crash_id{1}, kStart);
  table.OnCompleted(kRequest);
  table.OnCrash(kRequest, crash_id{2}, kStart);
  EXPECT_EQ(table.Remaining(kRequest, kStart), milliseconds(0));
}

// Guards against a request that stays refused long after the bug is fixed,
// because two daemons keep sending each other the same entry and each import
// extends it.
TEST(QuarantineTest, RepeatedImportsDoNotProlongAnEntry) {
  quarantine one({.period = milliseconds(1000)});
  quarantine other({.period = milliseconds(1000)});
  one.OnCrash(kRequest, crash_id{1}, kStart);
  one.OnCrash(kRequest, crash_id{2}, kStart);
  for (int i = 0; i < 3000; i += 10) {
    const time_point now = kStart + milliseconds(i);
    for (const auto& entry : one.Export(now, 8)) {
      other.Import(entry, now + milliseconds(5));
    }
    for (const auto& entry : other.Export(now, 8)) {
      one.Import(entry, now + milliseconds(5));
    }
    one.Expire(now);
    other.Expire(now);
  }
  const time_point end = kStart + milliseconds(1100);
  EXPECT_EQ(one.Remaining(kRequest, end), milliseconds(0));
  EXPECT_EQ(other.Remaining(kRequest, end), milliseconds(0));
}

TEST(QuarantineTest, TheTableIsBoundedAndKeepsQuarantinedEntries) {
  quarantine table({.max_entries = 4});
  table.OnCrash(kRequest, crash_id{1}, kStart);
  table.OnCrash(kRequest, crash_id{2}, kStart);
  for (int i = 0; i < 100; ++i) {
    table.OnCrash(Fingerprint({.service = "s",
                               .method = "m",
                               .body = std::to_string(i),
                               .label = {}}),
                  crash_id{3}, kStart);
  }
  EXPECT_LE(table.Export(kStart, 1000).size(), 4U);
  EXPECT_GT(table.Remaining(kRequest, kStart), milliseconds(0));
}

}  // namespace
}  // namespace pistachioweir
