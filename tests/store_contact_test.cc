// Detection of outages of the store.
#include "include/forward/store_contact.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

namespace pistachioweir {
namespace {

const time_point kStart{seconds(1000)};

TEST(StoreContactTest, AnOutageEndsWithTheFirstAnswer) {
  store_contact contact;
  contact.OnAnswered(kStart);
  const time_point back = kStart + seconds(4);
  contact.OnFailed(kStart + seconds(1), back);
  contact.OnAnswered(back);
  EXPECT_EQ(contact.returned_at(), back);
  EXPECT_EQ(contact.last_answer(), back);
}

TEST(StoreContactTest, SilenceWithoutAFailureIsNoOutage) {
  store_contact contact;
  contact.OnAnswered(kStart);
  contact.OnAnswered(kStart + seconds(8));
  EXPECT_EQ(contact.returned_at(), std::nullopt);
}

// One daemon's broken path to the store looked like an outage of the store.
TEST(StoreContactTest, AnAnswerToAnotherDaemonRulesOutAnOutage) {
  store_contact contact;
  contact.OnAnswered(kStart);
  contact.OnAnswered(kStart + milliseconds(1500));
  contact.OnAnswered(kStart + milliseconds(3000));
  contact.OnFailed(kStart + seconds(1), kStart + seconds(4));
  contact.OnAnswered(kStart + seconds(4));
  EXPECT_EQ(contact.returned_at(), std::nullopt);
}

TEST(StoreContactTest, AnAnswerReportedLateRulesOutAnOutage) {
  store_contact contact;
  contact.OnAnswered(kStart);
  contact.OnFailed(kStart + seconds(1), kStart + seconds(4));
  contact.OnAnswered(kStart + seconds(4));
  ASSERT_TRUE(contact.returned_at().has_value());
  contact.OnAnswered(kStart + seconds(2));
  EXPECT_EQ(contact.returned_at(), std::nullopt);
}

// A daemon that had been stalled took its own pause for an outage of the store.
TEST(StoreContactTest, AStalledDaemonCountsNoMissingAnswer) {
  const time_point due = kStart;
  const time_point abandoned_at = due + milliseconds(700);
  EXPECT_EQ(UnansweredSince(due, abandoned_at, abandoned_at + milliseconds(5)),
            due);
  const time_point woken = abandoned_at + seconds(3);
  EXPECT_EQ(UnansweredSince(due, abandoned_at, woken), woken);
}

// For any order of reports, no known answer lies within an outage.
RC_GTEST_PROP(StoreContactTest, AnOutageContainsNoAnswer, ()) {
  const auto times =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 20000));
  store_contact contact;
  std::vector<time_point> answers;
  for (std::size_t i = 0; i < times.size(); ++i) {
    const time_point at = kStart + milliseconds(times[i]);
    if (i % 5 == 4) {
      contact.OnFailed(at - seconds(1), at);
      continue;
    }
    contact.OnAnswered(at);
    answers.push_back(at);
    if (const auto returned = contact.returned_at()) {
      RC_ASSERT(std::ranges::find(answers, *returned) != answers.end());
      RC_ASSERT(std::ranges::none_of(answers, [&](time_point each) {
        return each < *returned &&
               *returned - each <= store_contact::kOutageThreshold;
      }));
    }
  }
}

}  // namespace
}  // namespace pistachioweir
