// Tests of the executor's side of at-most-once execution.
#include "include/once/executor_table.h"

#include <gtest/gtest.h>

#include <string>

namespace pistachioweir {
namespace {

constexpr time_point kStart{};
constexpr incarnation_id kSelf{77};

executor_table MakeTable(std::size_t max_records = 100) {
  return executor_table({.self = kSelf,
                         .started = kStart,
                         .epoch_length = seconds(10),
                         .max_records = max_records,
                         .cancel_reserve = 2,
                         .max_answer_bytes = 100,
                         .max_waiters = 3});
}

execution_binding Attempt(std::uint64_t sequence, std::uint32_t epoch = 1) {
  return {.key = {.home = {.vm = "vm-1", .incarnation = incarnation_id{5}},
                  .sequence = sequence},
          .attempt = 1,
          .executor = kSelf,
          .epoch = epoch_id{epoch}};
}

outcome Answer(std::size_t bytes = 2) {
  return Completed({.status = 200,
                    .content_type = "text/plain",
                    .body = std::string(bytes, 'x')});
}

TEST(ExecutorTableTest, CopiesJoinTheFirst) {
  auto table = MakeTable();
  EXPECT_EQ(table.Accept(Attempt(1), waiter_id{1}, kStart).step,
            attempt_step::kAdmit);
  EXPECT_EQ(table.Accept(Attempt(1), waiter_id{2}, kStart).step,
            attempt_step::kWait);
  EXPECT_TRUE(table.Start(Attempt(1)));
  const auto finished = table.Finish(Attempt(1), Answer(), kStart);
  EXPECT_EQ(finished.waiters.size(), 2U);
  const auto late = table.Accept(Attempt(1), waiter_id{3}, kStart);
  EXPECT_EQ(late.step, attempt_step::kAnswer);
  EXPECT_EQ(late.result.kind, outcome_kind::kCompleted);
  EXPECT_EQ(late.result.reply.body, "xx");
}

// A daemon crashes and restarts on the same address with an empty table. A copy
// that was sent to the previous incarnation must not run again.
TEST(ExecutorTableTest, AttemptForAnotherIncarnationIsStale) {
  auto table = MakeTable();
  auto attempt = Attempt(1);
  attempt.executor = incarnation_id{76};
  const auto decision = table.Accept(attempt, waiter_id{1}, kStart);
  EXPECT_EQ(decision.step, attempt_step::kAnswer);
  EXPECT_EQ(decision.result.kind, outcome_kind::kUnknown);
  EXPECT_EQ(decision.result.why, reason::kStale);
  EXPECT_EQ(table.Cancel(attempt, kStart).result.kind, outcome_kind::kUnknown);
}

// A copy is in transit for longer than the record of the first one is kept. It
// finds no record; only its old epoch shows that there may have been one.
TEST(ExecutorTableTest, CopyAfterItsRecordExpiredIsStale) {
  auto table = MakeTable();
  table.Accept(Attempt(1), waiter_id{1}, kStart);
  EXPECT_TRUE(table.Start(Attempt(1)));
  table.Finish(Attempt(1), Answer(), kStart);
  const auto replayed =
      table.Accept(Attempt(1), waiter_id{2}, kStart + seconds(19));
  EXPECT_EQ(replayed.result.kind, outcome_kind::kCompleted);
  const auto late =
      table.Accept(Attempt(1), waiter_id{3}, kStart + seconds(20));
  EXPECT_EQ(late.result.why, reason::kStale);
  EXPECT_EQ(table.size(), 0U);
  EXPECT_EQ(table.answer_bytes(), 0U);
}

// A thread reads the clock, is preempted past the end of an epoch, and takes
// the lock with the old time. The records have been removed, so the old epoch
// must not become acceptable again.
TEST(ExecutorTableTest, OlderTimeDoesNotReopenAnEpoch) {
  auto table = MakeTable();
  table.Accept(Attempt(1), waiter_id{1}, kStart);
  table.Finish(Attempt(1), Answer(), kStart);
  table.Tick(kStart + seconds(25));
  const auto late = table.Accept(Attempt(1), waiter_id{2}, kStart + seconds(5));
  EXPECT_EQ(late.result.why, reason::kStale);
}

// A request runs for longer than two epochs. Its waiters must still be
// answered, and copies must still join it.
TEST(ExecutorTableTest, RunningAttemptOutlivesItsEpoch) {
  auto table = MakeTable();
  table.Accept(Attempt(1), waiter_id{1}, kStart);
  EXPECT_TRUE(table.Start(Attempt(1)));
  table.Tick(kStart + seconds(45));
  EXPECT_EQ(table.Accept(Attempt(1), waiter_id{2}, kStart + seconds(45)).step,
            attempt_step::kWait);
  const auto finished =
      table.Finish(Attempt(1), Answer(), kStart + seconds(46));
  EXPECT_EQ(finished.waiters.size(), 2U);
  table.Tick(kStart + seconds(90));
  EXPECT_EQ(table.size(), 0U);
}

// The home receives no answer and cancels; the cancel overtakes the attempt.
// The home then runs the request elsewhere, so the attempt must find the
// cancellation.
TEST(ExecutorTableTest, EarlyCancelLeavesATombstone) {
  auto table = MakeTable();
  EXPECT_EQ(table.Cancel(Attempt(1), kStart).result.kind,
            outcome_kind::kNotExecuted);
  const auto late = table.Accept(Attempt(1), waiter_id{1}, kStart);
  EXPECT_EQ(late.step, attempt_step::kAnswer);
  EXPECT_EQ(late.result.kind, outcome_kind::kNotExecuted);
}

// A cancel arrives while the attempt is queued. The queue dispatches it
// afterwards; it must not reach the target.
TEST(ExecutorTableTest, CancelledAttemptIsNotStarted) {
  auto table = MakeTable();
  table.Accept(Attempt(1), waiter_id{1}, kStart);
  const auto cancelled = table.Cancel(Attempt(1), kStart);
  EXPECT_EQ(cancelled.result.kind, outcome_kind::kNotExecuted);
  EXPECT_EQ(cancelled.waiters.size(), 1U);
  EXPECT_FALSE(table.Start(Attempt(1)));
  EXPECT_TRUE(table.Finish(Attempt(1), Answer(), kStart).waiters.empty());
}

TEST(ExecutorTableTest, CancelOfARunningAttemptIsUnknown) {
  auto table = MakeTable();
  table.Accept(Attempt(1), waiter_id{1}, kStart);
  EXPECT_TRUE(table.Start(Attempt(1)));
  const auto cancelled = table.Cancel(Attempt(1), kStart);
  EXPECT_TRUE(cancelled.running);
  EXPECT_EQ(cancelled.result.kind, outcome_kind::kUnknown);
  EXPECT_EQ(table.Finish(Attempt(1), Answer(), kStart).waiters.size(), 1U);
}

// The target's VM is overloaded and refuses; the home runs the request
// elsewhere. A second copy of the refused attempt arrives when there is
// capacity again.
TEST(ExecutorTableTest, RefusalIsFinal) {
  auto table = MakeTable();
  table.Accept(Attempt(1), waiter_id{1}, kStart);
  table.Finish(Attempt(1), NotExecuted(reason::kOverload), kStart);
  const auto late = table.Accept(Attempt(1), waiter_id{2}, kStart);
  EXPECT_EQ(late.step, attempt_step::kAnswer);
  EXPECT_EQ(late.result.why, reason::kOverload);
  EXPECT_EQ(late.result.kind, outcome_kind::kNotExecuted);
}

// More attempts arrive within two epochs than the table can hold. Those that
// don't fit may be copies of attempts that ran, so "busy" must not report them
// as not executed, and homes must still be able to cancel.
TEST(ExecutorTableTest, FullTableIsBusyAndStillAcceptsCancels) {
  auto table = MakeTable(4);
  table.Accept(Attempt(1), waiter_id{1}, kStart);
  table.Accept(Attempt(2), waiter_id{2}, kStart);
  const auto full = table.Accept(Attempt(3), waiter_id{3}, kStart);
  EXPECT_EQ(full.result.kind, outcome_kind::kUnknown);
  EXPECT_EQ(full.result.why, reason::kTableFull);
  EXPECT_EQ(table.Cancel(Attempt(3), kStart).result.kind,
            outcome_kind::kNotExecuted);
  EXPECT_EQ(table.Cancel(Attempt(4), kStart).result.kind,
            outcome_kind::kNotExecuted);
  EXPECT_EQ(table.Cancel(Attempt(5), kStart).result.kind,
            outcome_kind::kUnknown);
  EXPECT_EQ(table.size(), 4U);
}

TEST(ExecutorTableTest, TooManyWaitingCopiesAreBusy) {
  auto table = MakeTable();
  for (std::uint64_t i = 1; i <= 3; ++i) {
    table.Accept(Attempt(1), waiter_id{i}, kStart);
  }
  const auto fourth = table.Accept(Attempt(1), waiter_id{4}, kStart);
  EXPECT_EQ(fourth.step, attempt_step::kAnswer);
  EXPECT_EQ(fourth.result.kind, outcome_kind::kUnknown);
}

// Large answers exceed the limit on stored answers before their epoch ends. A
// copy whose answer was discarded must neither run again nor be reported as not
// executed.
TEST(ExecutorTableTest, DiscardedAnswerIsUnknown) {
  auto table = MakeTable();
  for (std::uint64_t i = 1; i <= 3; ++i) {
    table.Accept(Attempt(i), waiter_id{i}, kStart);
    table.Finish(Attempt(i), Answer(40), kStart);
  }
  EXPECT_LE(table.answer_bytes(), 100U);
  const auto first = table.Accept(Attempt(1), waiter_id{9}, kStart);
  EXPECT_EQ(first.result.kind, outcome_kind::kUnknown);
  EXPECT_EQ(first.result.why, reason::kAnswerDiscarded);
  const auto third = table.Accept(Attempt(3), waiter_id{9}, kStart);
  EXPECT_EQ(third.result.kind, outcome_kind::kCompleted);
}

}  // namespace
}  // namespace pistachioweir
