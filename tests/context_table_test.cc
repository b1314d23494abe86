// Tests of the calls that a daemon serves, and of their retry credit.
#include "include/call/context_table.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

namespace pistachioweir {
namespace {

constexpr context_token kToken{.high = 1, .low = 2};
constexpr request_fingerprint kRequest{.high = 3, .low = 4};

serving_call SampleCall() {
  return {.service = "contracts",
          .method = "sign",
          .deadline = time_point(seconds(5)),
          .level = priority::kCritical,
          .ticket = 9,
          .depth = 2,
          .retry_credit = 3,
          .binding = std::nullopt};
}

idempotency_key Key(std::uint64_t sequence) {
  return {.home = {.vm = "vm-1", .incarnation = incarnation_id{5}},
          .sequence = sequence};
}

TEST(ContextTokenTest, SurvivesAsText) {
  const context_token token = NewContextToken();
  EXPECT_EQ(ParseContextToken(ToString(token)), token);
  EXPECT_NE(NewContextToken(), token);
  EXPECT_FALSE(ParseContextToken(""));
  EXPECT_FALSE(ParseContextToken(std::string(31, 'a')));
  EXPECT_FALSE(ParseContextToken(std::string(32, 'A')));
  EXPECT_FALSE(ParseContextToken("-" + std::string(31, '1')));
}

TEST(ContextTableTest, ChildInheritsFromTheServingCall) {
  context_table table({});
  ASSERT_TRUE(table.Begin(kToken, SampleCall()));
  const auto child = table.BeginChild(kToken);
  ASSERT_TRUE(child);
  EXPECT_EQ(child->level, priority::kCritical);
  EXPECT_EQ(child->ticket, 9);
  EXPECT_EQ(child->depth, 3U);
  EXPECT_EQ(child->deadline, time_point(seconds(5)));
  EXPECT_EQ(child->retry_credit, 2U);
}

// A daemon with an older manifest takes a call for one that may be repeated,
// and tries it twice; each try would make the same protected call.
TEST(ContextTableTest, ChildKnowsWhetherItsServingCallIsBound) {
  context_table table({});
  ASSERT_TRUE(table.Begin(kToken, SampleCall()));
  EXPECT_FALSE(table.BeginChild(kToken)->bound);
  serving_call bound = SampleCall();
  bound.binding = execution_binding{};
  ASSERT_TRUE(table.Begin({.high = 5, .low = 5}, bound));
  EXPECT_TRUE(table.BeginChild({.high = 5, .low = 5})->bound);
}

// Somebody makes up a token, or a target goes on after its call has ended.
TEST(ContextTableTest, UnknownTokenIsRefused) {
  context_table table({});
  EXPECT_FALSE(table.BeginChild(kToken));
  ASSERT_TRUE(table.Begin(kToken, SampleCall()));
  ASSERT_TRUE(table.End(kToken));
  EXPECT_FALSE(table.BeginChild(kToken));
  EXPECT_FALSE(table.AdoptDerivedKey(kToken, kRequest, Key(1)));
  EXPECT_FALSE(table.End(kToken));
}

// A target answers 503 after one of its own calls has run one level down. The
// root caller must not be told that nothing ran.
TEST(ContextTableTest, RemembersThatAChildMayHaveRun) {
  for (const auto result : {outcome_kind::kCompleted, outcome_kind::kUnknown}) {
    context_table table({});
    ASSERT_TRUE(table.Begin(kToken, SampleCall()));
    const auto child = table.BeginChild(kToken);
    table.EndChild(kToken, *child, result, 0);
    EXPECT_TRUE(table.End(kToken)->child_may_have_run);
  }
}

TEST(ContextTableTest, RefusedChildrenLeaveNoTrace) {
  context_table table({});
  ASSERT_TRUE(table.Begin(kToken, SampleCall()));
  const auto child = table.BeginChild(kToken);
  table.EndChild(kToken, *child, outcome_kind::kNotExecuted, 2);
  const auto ended = table.End(kToken);
  EXPECT_FALSE(ended->child_may_have_run);
  EXPECT_EQ(ended->unspent_credit, 3U);
}

// A target gives up while one of its calls is still under way.
TEST(ContextTableTest, OpenChildMayRun) {
  context_table table({});
  ASSERT_TRUE(table.Begin(kToken, SampleCall()));
  const auto child = table.BeginChild(kToken);
  const auto ended = table.End(kToken);
  EXPECT_TRUE(ended->child_may_have_run);
  EXPECT_EQ(ended->unspent_credit, 1U);
  table.EndChild(kToken, *child, outcome_kind::kCompleted, 2);
}

// A target hears nothing of its call to register and makes it again. The second
// one must meet the first, not register twice.
TEST(ContextTableTest, SameChildCallHasOneKey) {
  context_table table({.max_derived_keys = 2});
  ASSERT_TRUE(table.Begin(kToken, SampleCall()));
  EXPECT_FALSE(table.FindDerivedKey(kToken, kRequest));
  EXPECT_EQ(table.AdoptDerivedKey(kToken, kRequest, Key(1)), Key(1));
  EXPECT_EQ(table.AdoptDerivedKey(kToken, kRequest, Key(2)), Key(1));
  EXPECT_EQ(table.FindDerivedKey(kToken, kRequest), Key(1));
  EXPECT_EQ(table.AdoptDerivedKey(kToken, {.high = 9, .low = 9}, Key(3)),
            Key(3));
  EXPECT_FALSE(table.AdoptDerivedKey(kToken, {.high = 8, .low = 8}, Key(4)));
}

TEST(ContextTableTest, IsBounded) {
  context_table table({.max_calls = 1, .max_children = 1});
  ASSERT_TRUE(table.Begin(kToken, SampleCall()));
  EXPECT_FALSE(table.Begin({.high = 7, .low = 7}, SampleCall()));
  ASSERT_TRUE(table.BeginChild(kToken));
  EXPECT_FALSE(table.BeginChild(kToken));
}

TEST(FingerprintTest, TellsPartsApart) {
  const auto one =
      Fingerprint({.service = "a", .method = "bc", .body = "d", .label = ""});
  EXPECT_EQ(
      one,
      Fingerprint({.service = "a", .method = "bc", .body = "d", .label = ""}));
  EXPECT_NE(
      one,
      Fingerprint({.service = "ab", .method = "c", .body = "d", .label = ""}));
  EXPECT_NE(
      one,
      Fingerprint({.service = "a", .method = "bc", .body = "", .label = "d"}));
}

// Any hop may fail and retry, answers get lost, callees hand back more than
// they were lent. However the credit is split, the tree spends at most what its
// root was given.
std::uint32_t SpendInTree(std::uint32_t credit, std::uint32_t depth) {
  credit_ledger ledger(credit);
  std::uint32_t spent = 0;
  const auto steps = *rc::gen::inRange(0, 5);
  for (int i = 0; i < steps; ++i) {
    if (*rc::gen::arbitrary<bool>() && ledger.Spend()) {
      ++spent;
    }
    if (depth == 0) {
      continue;
    }
    const std::uint32_t lent = ledger.Lend();
    const std::uint32_t spent_below = SpendInTree(lent, depth - 1);
    spent += spent_below;
    if (*rc::gen::arbitrary<bool>()) {
      ledger.Lose(lent);
    } else {
      ledger.Return(lent, lent - spent_below);
    }
  }
  return spent;
}

RC_GTEST_PROP(CreditLedgerTest, TreeNeverSpendsMoreThanItsRootHas, ()) {
  const auto credit = *rc::gen::inRange<std::uint32_t>(0, 5);
  RC_ASSERT(SpendInTree(credit, 3) <= credit);
}

TEST(CreditLedgerTest, ChildCannotHandBackMoreThanItWasLent) {
  credit_ledger ledger(2);
  const std::uint32_t lent = ledger.Lend();
  EXPECT_EQ(lent, 1U);
  ledger.Return(lent, 1000);
  EXPECT_EQ(ledger.available(), 2U);
}

}  // namespace
}  // namespace pistachioweir
