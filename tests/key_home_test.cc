// Tests of the home's side of at-most-once execution.
#include "include/once/key_home.h"

#include <gtest/gtest.h>

#include <string>
#include <variant>

namespace pistachioweir {
namespace {

constexpr time_point kStart{};
constexpr milliseconds kLifetime{30000};

const daemon_ref kSelf{.vm = "vm-0", .incarnation = incarnation_id{1}};
const daemon_ref kFirst{.vm = "vm-1", .incarnation = incarnation_id{11}};
const daemon_ref kSecond{.vm = "vm-2", .incarnation = incarnation_id{12}};

class key_home_test : public testing::Test {
 protected:
  static key_home MakeHome(std::size_t max_keys = 100) {
    return key_home({.self = kSelf,
                     .max_keys = max_keys,
                     .max_keys_per_caller = 10,
                     .max_answer_bytes = 100,
                     .max_waiters = 2,
                     .max_sends = 2});
  }

  static begin_request Request(const idempotency_key& key,
                               std::uint64_t waiter = 1,
                               std::uint64_t body = 7) {
    return {.key = key,
            .fingerprint = {.high = 0, .low = body},
            .waiter = waiter_id{waiter},
            .retry_credit = 2};
  }

  static answer_envelope From(const daemon_ref& target,
                              const outcome& result,
                              std::uint32_t unspent = 0) {
    answer_envelope answer;
    answer.result = result;
    answer.unspent_credit = unspent;
    answer.executor = target.incarnation;
    return answer;
  }

  idempotency_key IssueOne(time_point now = kStart) {
    return home_.Issue(1, "10.0.0.1", kLifetime, now).keys.at(0);
  }

  // Begins `key` and sends its first attempt to kFirst.
  send_attempt BeginAt(const idempotency_key& key) {
    home_.Begin(Request(key), kStart);
    return std::get<send_attempt>(home_.Placed(key, 1, kFirst, epoch_id{3}));
  }

  key_home home_ = MakeHome();
};

outcome Answer(std::size_t bytes = 2) {
  return Completed({.status = 200,
                    .content_type = "text/plain",
                    .body = std::string(bytes, 'x')});
}

TEST_F(key_home_test, RunsOnceAndReplaysTheAnswer) {
  const auto key = IssueOne();
  const auto sent = BeginAt(key);
  EXPECT_EQ(sent.target, "vm-1");
  EXPECT_EQ(sent.binding.executor, kFirst.incarnation);
  EXPECT_EQ(sent.binding.attempt, 1U);
  const auto done = std::get<finish_call>(
      home_.AttemptAnswered(key, 1, From(kFirst, Answer()), kStart));
  EXPECT_EQ(done.waiters, std::vector{waiter_id{1}});
  EXPECT_EQ(done.result.kind, outcome_kind::kCompleted);
  const auto again =
      std::get<finish_call>(home_.Begin(Request(key, 2), kStart));
  EXPECT_EQ(again.waiters, std::vector{waiter_id{2}});
  EXPECT_EQ(again.result.reply.body, "xx");
}

// The caller receives no answer and resends through another daemon while the
// first copy still runs.
TEST_F(key_home_test, SecondCopyJoinsTheRunningOne) {
  const auto key = IssueOne();
  BeginAt(key);
  EXPECT_TRUE(
      std::holds_alternative<no_action>(home_.Begin(Request(key, 2), kStart)));
  const auto done = std::get<finish_call>(
      home_.AttemptAnswered(key, 1, From(kFirst, Answer()), kStart));
  EXPECT_EQ(done.waiters.size(), 2U);
}

// A caller reuses a key for another request by mistake. Replaying the answer of
// the first request would return the wrong result.
TEST_F(key_home_test, DifferentBodyUnderTheKeyIsRefused) {
  const auto key = IssueOne();
  BeginAt(key);
  const auto other =
      std::get<finish_call>(home_.Begin(Request(key, 2, 8), kStart));
  EXPECT_EQ(other.result.kind, outcome_kind::kNotExecuted);
  EXPECT_EQ(other.result.why, reason::kBadKey);
  const auto done = std::get<finish_call>(
      home_.AttemptAnswered(key, 1, From(kFirst, Answer()), kStart));
  EXPECT_EQ(done.waiters, std::vector{waiter_id{1}});
}

TEST_F(key_home_test, TriesAnotherTargetAfterARefusal) {
  const auto key = IssueOne();
  BeginAt(key);
  const auto place = std::get<place_attempt>(home_.AttemptAnswered(
      key, 1, From(kFirst, NotExecuted(reason::kOverload), 1), kStart));
  EXPECT_EQ(place.attempt, 2U);
  EXPECT_EQ(place.tried, std::vector<vm_id>{"vm-1"});
  const auto sent =
      std::get<send_attempt>(home_.Placed(key, 2, kSecond, epoch_id{1}));
  EXPECT_EQ(sent.binding.executor, kSecond.incarnation);
  EXPECT_EQ(sent.credit, 1U);
}

// The connection is lost after the request was sent. The executor may be
// running it, so the home resends to the same executor, then answers unknown
// and cancels.
TEST_F(key_home_test, NoAnswerNeverMovesToAnotherTarget) {
  const auto key = IssueOne();
  const auto first = BeginAt(key);
  const auto copy = std::get<send_attempt>(home_.AttemptLost(key, 1, kStart));
  EXPECT_EQ(copy.binding.executor, first.binding.executor);
  EXPECT_EQ(copy.binding.attempt, first.binding.attempt);
  const auto finish = std::get<finish_call>(home_.AttemptLost(key, 1, kStart));
  EXPECT_EQ(finish.result.kind, outcome_kind::kUnknown);
  ASSERT_TRUE(finish.cancel);
  EXPECT_EQ(finish.cancel->target, "vm-1");
}

// The VM is down and refuses connections. Nothing was sent, so another target
// can get the request at once.
TEST_F(key_home_test, TriesAnotherTargetIfNothingWasSent) {
  const auto key = IssueOne();
  BeginAt(key);
  EXPECT_TRUE(std::holds_alternative<place_attempt>(
      home_.AttemptNotSent(key, 1, kStart)));
}

// The first copy was sent and its connection was lost; then the VM refuses
// connections. The first copy may have run.
TEST_F(key_home_test, UnreachableVmIsNotDefiniteAfterAnEarlierCopy) {
  const auto key = IssueOne();
  BeginAt(key);
  home_.AttemptLost(key, 1, kStart);
  const auto finish =
      std::get<finish_call>(home_.AttemptNotSent(key, 1, kStart));
  EXPECT_EQ(finish.result.kind, outcome_kind::kUnknown);
}

// The deadline passes while the request may run, and the caller retries. By now
// the VM refuses connections; that the second copy wasn't sent implies nothing
// about the first. Found by a random schedule.
TEST_F(key_home_test, UnsentCopyAfterACallerRetryIsNotDefinite) {
  const auto key = IssueOne();
  BeginAt(key);
  home_.DeadlinePassed(key, kStart);
  home_.Begin(Request(key, 2), kStart);
  const auto next = home_.AttemptNotSent(key, 1, kStart);
  EXPECT_FALSE(std::holds_alternative<place_attempt>(next));
}

// The executor crashes while it runs the request, and its new incarnation on
// the same address refuses the copy.
TEST_F(key_home_test, RefusalOfAnotherIncarnationIsUnknown) {
  const auto key = IssueOne();
  BeginAt(key);
  const daemon_ref restarted{.vm = "vm-1", .incarnation = incarnation_id{99}};
  const auto finish = std::get<finish_call>(home_.AttemptAnswered(
      key, 1, From(restarted, NotExecuted(reason::kNotReady)), kStart));
  EXPECT_EQ(finish.result.kind, outcome_kind::kUnknown);
  EXPECT_EQ(finish.result.why, reason::kStale);
}

TEST_F(key_home_test, StaleAndBusyAreNotRefusals) {
  const auto stale_key = IssueOne();
  BeginAt(stale_key);
  const auto finish = std::get<finish_call>(home_.AttemptAnswered(
      stale_key, 1, From(kFirst, Unknown(reason::kStale)), kStart));
  EXPECT_EQ(finish.result.kind, outcome_kind::kUnknown);

  const auto busy_key = IssueOne();
  BeginAt(busy_key);
  const auto copy = std::get<send_attempt>(home_.AttemptAnswered(
      busy_key, 1, From(kFirst, Unknown(reason::kTableFull)), kStart));
  EXPECT_EQ(copy.binding.attempt, 1U);
  EXPECT_GT(copy.delay, milliseconds(0));
}

// The deadline passes while the request may run. The caller is answered at
// once; when it retries, the home fetches the result from the executor.
TEST_F(key_home_test, CallerRetryReturnsALateResult) {
  const auto key = IssueOne();
  BeginAt(key);
  const auto finish = std::get<finish_call>(home_.DeadlinePassed(key, kStart));
  EXPECT_EQ(finish.result.why, reason::kTimeout);
  ASSERT_TRUE(finish.cancel);
  const auto copy =
      std::get<send_attempt>(home_.Begin(Request(key, 2), kStart));
  EXPECT_EQ(copy.binding.executor, kFirst.incarnation);
  const auto done = std::get<finish_call>(
      home_.AttemptAnswered(key, 1, From(kFirst, Answer()), kStart));
  EXPECT_EQ(done.waiters, std::vector{waiter_id{2}});
  EXPECT_EQ(done.result.kind, outcome_kind::kCompleted);
}

TEST_F(key_home_test, DeadlineBeforeAnythingWasSentIsDefinite) {
  const auto key = IssueOne();
  home_.Begin(Request(key), kStart);
  const auto finish = std::get<finish_call>(home_.DeadlinePassed(key, kStart));
  EXPECT_EQ(finish.result.kind, outcome_kind::kNotExecuted);
  EXPECT_TRUE(std::holds_alternative<no_action>(
      home_.Placed(key, 1, kFirst, epoch_id{3})));
}

// A caller is refused and gives up, or sends its request under a new key. An
// earlier copy, delayed in a paused daemon, arrives after that.
TEST_F(key_home_test, RefusedKeyNeverStarts) {
  const auto key = IssueOne();
  home_.Refuse(Request(key), NotExecuted(reason::kOverload, milliseconds(50)),
               kStart);
  const auto late = std::get<finish_call>(home_.Begin(Request(key, 2), kStart));
  EXPECT_EQ(late.result.kind, outcome_kind::kNotExecuted);
  EXPECT_EQ(late.result.why, reason::kOverload);
}

TEST_F(key_home_test, RefusalOfARunningKeyJoinsIt) {
  const auto key = IssueOne();
  BeginAt(key);
  EXPECT_TRUE(std::holds_alternative<no_action>(
      home_.Refuse(Request(key, 2), NotExecuted(reason::kOverload), kStart)));
}

// A caller uses an expired key, or a key whose record was removed. The request
// of the first never ran, that of the second may have; the outcomes must
// differ.
TEST_F(key_home_test, ExpiredAndEvictedKeysHaveDifferentOutcomes) {
  const auto unused = IssueOne();
  const auto used = IssueOne();
  BeginAt(used);
  home_.AttemptAnswered(used, 1, From(kFirst, Answer()), kStart);
  home_.Tick(kStart + kLifetime + seconds(1));
  EXPECT_EQ(home_.size(), 0U);
  const time_point late = kStart + kLifetime + seconds(2);
  const auto expired =
      std::get<finish_call>(home_.Begin(Request(unused), late));
  EXPECT_EQ(expired.result.kind, outcome_kind::kNotExecuted);
  EXPECT_EQ(expired.result.why, reason::kKeyExpired);
  const auto forgotten =
      std::get<finish_call>(home_.Begin(Request(used), late));
  EXPECT_EQ(forgotten.result.kind, outcome_kind::kUnknown);
  EXPECT_EQ(forgotten.result.why, reason::kAnswerDiscarded);
}

// The home's daemon restarts while a caller still holds a key of the previous
// incarnation.
TEST_F(key_home_test, KeyOfAnEarlierIncarnationIsUnknown) {
  auto key = IssueOne();
  key.home.incarnation = incarnation_id{2};
  const auto finish = std::get<finish_call>(home_.Begin(Request(key), kStart));
  EXPECT_EQ(finish.result.kind, outcome_kind::kUnknown);
}

TEST_F(key_home_test, KeyThatWasNeverIssuedIsRefused) {
  const idempotency_key key{.home = kSelf, .sequence = 12345};
  const auto finish = std::get<finish_call>(home_.Begin(Request(key), kStart));
  EXPECT_EQ(finish.result.why, reason::kBadKey);
}

// One caller requests keys without limit. Other callers must still get theirs.
TEST_F(key_home_test, OneCallerCannotExhaustTheKeys) {
  EXPECT_EQ(home_.Issue(1000, "10.0.0.1", kLifetime, kStart).keys.size(), 10U);
  const auto refused = home_.Issue(1, "10.0.0.1", kLifetime, kStart);
  EXPECT_TRUE(refused.keys.empty());
  EXPECT_EQ(refused.refusal, reason::kTableFull);
  EXPECT_EQ(home_.Issue(5, "10.0.0.2", kLifetime, kStart).keys.size(), 5U);
  home_.Tick(kStart + kLifetime);
  EXPECT_EQ(
      home_.Issue(1, "10.0.0.1", kLifetime, kStart + kLifetime).keys.size(),
      1U);
}

// A gateway sends the requests of all its users from one address. Settled keys
// must not count against it.
TEST_F(key_home_test, SettledKeysDoNotCountAgainstTheCaller) {
  for (int i = 0; i < 50; ++i) {
    const auto key = IssueOne();
    home_.Refuse(Request(key), NotExecuted(reason::kOverload), kStart);
  }
  EXPECT_EQ(home_.Issue(1000, "10.0.0.1", kLifetime, kStart).keys.size(), 10U);
}

TEST_F(key_home_test, FullTableEvictsSettledKeysOnly) {
  home_ = MakeHome(2);
  const auto running = IssueOne();
  BeginAt(running);
  const auto settled = IssueOne();
  home_.Refuse(Request(settled), NotExecuted(reason::kOverload), kStart);
  const auto third = IssueOne();
  EXPECT_EQ(home_.size(), 2U);
  EXPECT_EQ(home_.Issue(1, "a", kLifetime, kStart).refusal, reason::kTableFull);
  EXPECT_EQ(
      std::get<finish_call>(home_.Begin(Request(settled), kStart)).result.kind,
      outcome_kind::kUnknown);
  EXPECT_TRUE(std::holds_alternative<place_attempt>(
      home_.Begin(Request(third), kStart)));
}

TEST_F(key_home_test, DiscardedAnswerIsUnknown) {
  std::vector<idempotency_key> keys;
  for (int i = 0; i < 3; ++i) {
    keys.push_back(IssueOne());
    BeginAt(keys.back());
    home_.AttemptAnswered(keys.back(), 1, From(kFirst, Answer(40)), kStart);
  }
  EXPECT_LE(home_.answer_bytes(), 100U);
  const auto finish =
      std::get<finish_call>(home_.Begin(Request(keys[0], 2), kStart));
  EXPECT_EQ(finish.result.why, reason::kAnswerDiscarded);
  EXPECT_EQ(finish.result.kind, outcome_kind::kUnknown);
}

// All callers disconnect, so no one waits for the result.
TEST_F(key_home_test, LastCallerDisconnectCancels) {
  const auto key = IssueOne();
  BeginAt(key);
  home_.Begin(Request(key, 2), kStart);
  EXPECT_TRUE(
      std::holds_alternative<no_action>(home_.RemoveWaiter(key, waiter_id{1})));
  EXPECT_TRUE(std::holds_alternative<send_cancel>(
      home_.RemoveWaiter(key, waiter_id{2})));
  home_.CancelAnswered(key, 1, From(kFirst, NotExecuted(reason::kCancelled)),
                       kStart);
  const auto again =
      std::get<finish_call>(home_.Begin(Request(key, 3), kStart));
  EXPECT_EQ(again.result.why, reason::kCancelled);
}

// A planned stop: keys that were issued keep working, new ones are refused.
TEST_F(key_home_test, DrainingHomeServesItsKeysUntilTheyExpire) {
  const auto key = IssueOne();
  const auto unused = IssueOne();
  home_.StartDraining();
  EXPECT_EQ(home_.Issue(1, "a", kLifetime, kStart).refusal, reason::kDraining);
  EXPECT_FALSE(home_.drained());
  BeginAt(key);
  home_.AttemptAnswered(key, 1, From(kFirst, Answer()), kStart);
  EXPECT_FALSE(home_.drained());
  home_.Tick(kStart + kLifetime);
  EXPECT_TRUE(home_.drained());
}

TEST_F(key_home_test, RetriesStopWhenTheCreditIsSpent) {
  const auto key = IssueOne();
  BeginAt(key);
  std::uint32_t attempt = 1;
  home_action next;
  // The executors return all the credit that they were lent.
  while (true) {
    next = home_.AttemptAnswered(
        key, attempt, From(kFirst, NotExecuted(reason::kOverload), 100),
        kStart);
    if (!std::holds_alternative<place_attempt>(next)) {
      break;
    }
    ++attempt;
    home_.Placed(key, attempt, kFirst, epoch_id{3});
  }
  EXPECT_EQ(attempt, 3U);
  EXPECT_EQ(std::get<finish_call>(next).result.why, reason::kOverload);
}

}  // namespace
}  // namespace pistachioweir
