// Tests of the attempt records beside a target.
#include "include/once/attempt_table.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <memory>
#include <set>
#include <string>

namespace pistachioweir {
namespace {

const time_point kStart{seconds(1000)};
constexpr incarnation_id kSender{7};

attempt_table::stored_answer Answer(const std::string& text) {
  return std::make_shared<const std::string>(text);
}

TEST(AttemptTableTest, AnAttemptStartsOnce) {
  attempt_table table;
  const attempt_key attempt{.sender = kSender, .number = 1};
  EXPECT_EQ(table.Begin(attempt), attempt_verdict::kStart);
  EXPECT_EQ(table.Begin(attempt), attempt_verdict::kRunning);
  EXPECT_TRUE(table.Finish(attempt, Answer("done")));
  EXPECT_EQ(table.Begin(attempt), attempt_verdict::kFinished);
  EXPECT_EQ(*table.AnswerOf(attempt), "done");
}

// The bytes of an attempt are delayed on a broken connection. Its sender
// queried it over another one, received "not executed" and sent the request
// elsewhere. If the attempt started when its bytes arrive, a tenancy would be
// signed twice.
TEST(AttemptTableTest, RefusedAttemptNeverStarts) {
  attempt_table table;
  const attempt_key attempt{.sender = kSender, .number = 1};
  EXPECT_EQ(table.Query(attempt), attempt_verdict::kRefused);
  EXPECT_EQ(table.Begin(attempt), attempt_verdict::kRefused);
  EXPECT_EQ(table.Query(attempt), attempt_verdict::kRefused);
}

// The same for an attempt that its sender has settled.
TEST(AttemptTableTest, SettledAttemptNeverStarts) {
  attempt_table table;
  table.Settle(kSender, 5);
  EXPECT_EQ(table.Begin({.sender = kSender, .number = 4}),
            attempt_verdict::kRefused);
  EXPECT_EQ(table.Begin({.sender = kSender, .number = 5}),
            attempt_verdict::kStart);
}

TEST(AttemptTableTest, SettledAnswersAreReleased) {
  attempt_table table;
  for (std::uint64_t i = 1; i <= 10; ++i) {
    table.Begin({.sender = kSender, .number = i});
    table.Finish({.sender = kSender, .number = i}, Answer("0123456789"));
  }
  EXPECT_EQ(table.bytes(), 100U);
  table.Settle(kSender, 8);
  EXPECT_EQ(table.bytes(), 30U);
  EXPECT_FALSE(table.Finish({.sender = kSender, .number = 3}, Answer("late")));
}

TEST(AttemptTableTest, SendersExpireAfterTheRetention) {
  attempt_table table;
  table.OnConnected(kSender);
  table.Begin({.sender = kSender, .number = 1});
  table.Expire(kStart + seconds(100));
  EXPECT_EQ(table.senders(), 1U);
  table.OnDisconnected(kSender, kStart + seconds(100));
  table.Expire(kStart + seconds(120));
  EXPECT_EQ(table.senders(), 1U);
  table.OnConnected(kSender);
  table.Expire(kStart + seconds(200));
  EXPECT_EQ(table.senders(), 1U);
  table.OnDisconnected(kSender, kStart + seconds(200));
  table.Expire(kStart + seconds(200) + attempt_table::kRetention);
  EXPECT_EQ(table.senders(), 0U);
}

// Attempts arrive duplicated, late and in any order, interleaved with queries
// and settling. None starts twice, and none starts after it was refused.
RC_GTEST_PROP(AttemptTableTest, NeverStartsTwiceNorAfterARefusal, ()) {
  attempt_table table;
  std::map<std::uint64_t, int> starts;
  std::set<std::uint64_t> refused;
  const auto steps = *rc::gen::inRange(1, 300);
  for (int i = 0; i < steps; ++i) {
    const attempt_key attempt{
        .sender = kSender, .number = *rc::gen::inRange<std::uint64_t>(0, 30)};
    attempt_verdict verdict = attempt_verdict::kRunning;
    switch (*rc::gen::inRange(0, 5)) {
      case 0:
        verdict = table.Query(attempt);
        RC_ASSERT(verdict != attempt_verdict::kStart);
        break;
      case 1:
        table.Finish(attempt, Answer("x"));
        break;
      case 2:
        if (*rc::gen::inRange(0, 10) == 0) {
          table.Settle(kSender, attempt.number);
        }
        break;
      default:
        verdict = table.Begin(attempt);
        break;
    }
    if (verdict == attempt_verdict::kStart) {
      RC_ASSERT(++starts[attempt.number] == 1);
      RC_ASSERT(!refused.contains(attempt.number));
    }
    if (verdict == attempt_verdict::kRefused) {
      refused.insert(attempt.number);
    }
  }
}

}  // namespace
}  // namespace pistachioweir
