// What a target says about itself in its answers: reading it, and which of
// several answers counts.
#include "include/forward/target_notice.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "platform/target_protocol.h"

namespace pistachioweir {
namespace {

const time_point kStart{seconds(1000)};

time_point At(int ms) {
  return kStart + milliseconds(ms);
}

target_notice Limit(std::optional<double> per_second) {
  return {.rate_limit = per_second};
}

target_notice Read(const http_headers& headers) {
  return platform::targets::Notice({.status = 200, .headers = headers});
}

TEST(TargetNoticeTest, ReadsADecimalLimit) {
  EXPECT_EQ(Read({{"Server-Limit", "10.4"}}).rate_limit, 10.4);
  EXPECT_EQ(Read({{"server-limit", "0"}}).rate_limit, 0.0);
  EXPECT_FALSE(Read({{"Other", "10"}}).rate_limit);
  EXPECT_TRUE(Read({{"Other", "10"}}).unreadable.empty());
}

// A value that can't be read must not remove the limit that was known.
TEST(TargetNoticeTest, AnUnreadableLimitLeavesTheKnownOne) {
  const std::vector<http_headers> all{
      {{"Server-Limit", "abc"}},
      {{"Server-Limit", ""}},
      {{"Server-Limit", "-1"}},
      {{"Server-Limit", "nan"}},
      {{"Server-Limit", "inf"}},
      {{"Server-Limit", "1e308"}},
      {{"Server-Limit", "1.2.3"}},
      {{"Server-Limit", "."}},
      {{"Server-Limit", "10"}, {"Server-Limit", "20"}},
      {{"Server-Limit", std::string(10 << 10, '9')}}};
  for (const http_headers& headers : all) {
    const target_notice notice = Read(headers);
    EXPECT_TRUE(notice.rate_limit_unreadable) << headers[0].value;
    EXPECT_FALSE(notice.unreadable.empty());
    EXPECT_LT(notice.unreadable.size(), 100U);
    target_notices notices;
    notices.OnAnswer("t-1", Limit(7), At(0), At(10));
    notices.OnAnswer("t-1", notice, At(20), At(30));
    EXPECT_EQ(notices.rate_limit(), 7);
  }
}

TEST(TargetNoticeTest, ReadsThatATargetIsLeaving) {
  EXPECT_TRUE(Read({{"Server-Leaving", "1"}}).leaving);
  EXPECT_FALSE(Read({{"Server-Leaving", "0"}}).leaving);
  EXPECT_FALSE(Read({{"Server-Leaving", "0"}}).unreadable.empty());
}

TEST(TargetNoticeTest, ALimitEndsWithANewerAnswerThatHasNone) {
  target_notices notices;
  notices.OnAnswer("t-1", Limit(10), At(0), At(50));
  EXPECT_EQ(notices.rate_limit(), 10);
  notices.OnAnswer("t-1", Limit(std::nullopt), At(50), At(60));
  EXPECT_FALSE(notices.rate_limit());
}

// An answer that was written before the limit was named may be read after it,
// and must not end the limit.
TEST(TargetNoticeTest, AnAnswerThatMayBeOlderRaisesNoLimit) {
  target_notices notices;
  notices.OnAnswer("t-1", Limit(10), At(0), At(50));
  notices.OnAnswer("t-1", Limit(std::nullopt), At(10), At(60));
  EXPECT_EQ(notices.rate_limit(), 10);
  notices.OnAnswer("t-1", Limit(20), At(49), At(70));
  EXPECT_EQ(notices.rate_limit(), 10);
  notices.OnAnswer("t-1", Limit(20), At(71), At(80));
  EXPECT_EQ(notices.rate_limit(), 20);
}

TEST(TargetNoticeTest, AnyAnswerLowersTheLimit) {
  target_notices notices;
  notices.OnAnswer("t-1", Limit(10), At(0), At(50));
  notices.OnAnswer("t-1", Limit(5), At(10), At(60));
  EXPECT_EQ(notices.rate_limit(), 5);
}

// A new target at the same address has named nothing.
TEST(TargetNoticeTest, AnotherTargetBeginsWithoutNotices) {
  target_notices notices;
  notices.SetStart("t-1@0");
  notices.OnAnswer("t-1", {.rate_limit = 10, .leaving = true}, At(0), At(50));
  notices.SetStart("t-2@0");
  EXPECT_FALSE(notices.rate_limit());
  EXPECT_FALSE(notices.leaving_since());
  notices.OnAnswer("t-1", {.rate_limit = 10, .leaving = true}, At(0), At(60));
  notices.OnAnswer("t-2", {}, At(60), At(70));
  EXPECT_FALSE(notices.rate_limit());
  EXPECT_FALSE(notices.leaving_since());
}

// A target may start again under its id.
TEST(TargetNoticeTest, AnotherStartUnderTheSameIdBeginsWithoutNotices) {
  target_notices notices;
  notices.SetStart("t-1@5");
  notices.OnAnswer("t-1", {.leaving = true}, At(0), At(50));
  notices.SetStart("t-1@6");
  EXPECT_FALSE(notices.leaving_since());
}

TEST(TargetNoticeTest, ATargetThatIsLeavingStaysSo) {
  target_notices notices;
  notices.OnAnswer("t-1", {.leaving = true}, At(0), At(50));
  notices.OnAnswer("t-1", {}, At(60), At(70));
  EXPECT_EQ(notices.leaving_since(), At(50));
}

// A daemon that has restarted let its target have any number of requests until
// its first answer.
TEST(TargetNoticeTest, ARestartedDaemonTakesBackWhatItHadTold) {
  target_notices before;
  before.SetStart("t-1@5");
  before.OnAnswer("t-1", {.rate_limit = 10, .leaving = true}, At(0), At(50));
  target_notices after;
  EXPECT_TRUE(after.Import(before.Known(At(100)), At(2000)));
  EXPECT_EQ(after.rate_limit(), 10);
  EXPECT_TRUE(after.leaving_since());
  after.SetStart("t-1@5");
  EXPECT_EQ(after.rate_limit(), 10);
  after.OnAnswer("t-1", {}, At(2010), At(2020));
  EXPECT_FALSE(after.rate_limit());
}

TEST(TargetNoticeTest, NothingIsTakenBackOnceTheTargetHasAnswered) {
  target_notices notices;
  notices.OnAnswer("t-1", {}, At(0), At(50));
  EXPECT_FALSE(notices.Import({.start = "t-1@0", .rate_limit = 10}, At(60)));
  EXPECT_FALSE(notices.rate_limit());
}

// A target that was replaced while its daemon was away is not the one that
// left.
TEST(TargetNoticeTest, WhatIsTakenBackOfAnotherStartIsDropped) {
  target_notices listed;
  listed.SetStart("t-1@6");
  EXPECT_FALSE(listed.Import({.start = "t-1@5", .leaving = true}, At(60)));
  target_notices unlisted;
  EXPECT_TRUE(unlisted.Import({.start = "t-1@5", .leaving = true}, At(60)));
  unlisted.SetStart("t-1@6");
  EXPECT_FALSE(unlisted.leaving_since());
}

TEST(TargetNoticeTest, OfSeveralNoticesTakenBackTheNewestCounts) {
  target_notices notices;
  EXPECT_TRUE(notices.Import(
      {.start = "t-1@0", .rate_limit = 10, .age = milliseconds(300)}, At(0)));
  EXPECT_FALSE(notices.Import(
      {.start = "t-1@0", .rate_limit = 30, .age = milliseconds(900)}, At(1)));
  EXPECT_TRUE(notices.Import(
      {.start = "t-1@0", .rate_limit = 20, .age = milliseconds(100)}, At(2)));
  EXPECT_EQ(notices.rate_limit(), 20);
}

// Whatever the order in which answers are read, the limit known is never above
// the one that the target named when the last answer was written.
RC_GTEST_PROP(TargetNoticeTest, NoOrderOfAnswersLeavesALimitTooHigh, ()) {
  struct answer {
    int sent;
    int written;
    int read;
  };
  const auto limit_at = [changes = *rc::gen::container<std::vector<int>>(
                             8, rc::gen::inRange(1, 20))](int ms) {
    return changes[static_cast<std::size_t>(ms / 100) % changes.size()];
  };
  std::vector<answer> answers;
  for (int i = 0; i < 40; ++i) {
    const int sent = *rc::gen::inRange(0, 700);
    const int written = sent + *rc::gen::inRange(0, 60);
    answers.push_back({sent, written, written + *rc::gen::inRange(0, 60)});
  }
  std::sort(answers.begin(), answers.end(),
            [](const answer& a, const answer& b) { return a.read < b.read; });
  target_notices notices;
  int newest_written = 0;
  for (const answer& each : answers) {
    notices.OnAnswer("t-1", Limit(limit_at(each.written)), At(each.sent),
                     At(each.read));
    newest_written = std::max(newest_written, each.written);
    RC_ASSERT(notices.rate_limit() <= limit_at(newest_written));
  }
}

}  // namespace
}  // namespace pistachioweir
