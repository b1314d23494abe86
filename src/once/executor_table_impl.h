// Implementation of basic_executor_table, for executor_table.cc and for tests
// that instantiate it with a guard disabled.
#pragma once

#include <algorithm>
#include <cassert>
#include <utility>

#include "include/once/executor_table.h"

namespace pistachioweir {

template <typename Guards>
basic_executor_table<Guards>::basic_executor_table(
    const executor_table_options& options)
    : options_(options) {}

template <typename Guards>
std::size_t basic_executor_table<Guards>::record_key_hash::operator()(
    const record_key& key) const {
  // Incarnations are random already; the multiplier (2^64 divided by the golden
  // ratio) distributes adjacent sequence numbers over all bits.
  constexpr std::uint64_t kHashMultiplier = 0x9e3779b97f4a7c15ULL;
  std::uint64_t hash = static_cast<std::uint64_t>(key.home);
  hash = (hash ^ key.sequence) * kHashMultiplier;
  hash = (hash ^ (hash >> 32) ^ key.attempt) * kHashMultiplier;
  return hash ^ (hash >> 32);
}

template <typename Guards>
auto basic_executor_table<Guards>::KeyOf(const execution_binding& attempt)
    -> record_key {
  return {.home = attempt.key.home.incarnation,
          .sequence = attempt.key.sequence,
          .attempt = attempt.attempt};
}

template <typename Guards>
std::size_t basic_executor_table<Guards>::HashOf(
    const execution_binding& attempt) {
  return record_key_hash()(KeyOf(attempt));
}

template <typename Guards>
void basic_executor_table<Guards>::AdvanceTo(time_point now) {
  const auto elapsed = now - options_.started;
  if (elapsed < duration::zero()) {
    return;
  }
  const auto current = static_cast<epoch_id>(
      static_cast<std::uint32_t>(1 + elapsed / options_.epoch_length));
  // A thread that was preempted between reading the clock and taking the lock
  // passes an older time. Going back would accept attempts whose records have
  // been removed, and they would run a second time.
  if (current <= epoch_) {
    return;
  }
  epoch_ = current;
  while (!by_epoch_.empty() && !IsAcceptable(by_epoch_.front().epoch)) {
    DropOldestEpoch();
  }
}

template <typename Guards>
bool basic_executor_table<Guards>::IsAcceptable(epoch_id epoch) const {
  const auto named = static_cast<std::uint32_t>(epoch);
  const auto current = static_cast<std::uint32_t>(epoch_);
  return named <= current && current - named <= 1;
}

template <typename Guards>
void basic_executor_table<Guards>::DropOldestEpoch() {
  std::vector<record_key> unfinished;
  for (const record_key& key : by_epoch_.front().keys) {
    const auto found = records_.find(key);
    assert(found != records_.end());
    if (found->second.state != record_state::kFinished) {
      unfinished.push_back(key);
      continue;
    }
    answer_bytes_ -= found->second.result.reply.body.size();
    records_.erase(found);
  }
  by_epoch_.pop_front();
  if (unfinished.empty()) {
    return;
  }
  // An unfinished attempt has its waiters in its record, so the record moves to
  // the list of the current epoch and is removed with that epoch.
  if (by_epoch_.empty() || by_epoch_.back().epoch != epoch_) {
    by_epoch_.push_back({.epoch = epoch_, .keys = {}});
  }
  auto& keys = by_epoch_.back().keys;
  keys.insert(keys.end(), unfinished.begin(), unfinished.end());
}

template <typename Guards>
bool basic_executor_table<Guards>::IsForOtherIncarnation(
    const execution_binding& attempt) {
  // Guard EXECUTOR_INCARNATION in spec/at_most_once.pml. An attempt that was
  // sent to an earlier incarnation of this daemon may have run there, and its
  // record was lost with that process; a copy that arrives now would run it
  // again.
  if (!Guards::kExecutorIncarnation || attempt.executor == options_.self) {
    return false;
  }
  ++counters_.stale;
  return true;
}

template <typename Guards>
bool basic_executor_table<Guards>::IsEpochExpired(
    const execution_binding& attempt) {
  // Guard EXECUTOR_EPOCH in spec/at_most_once.pml. A copy that was in transit
  // for longer than records are kept would find none and run again.
  if (!Guards::kExecutorEpoch || IsAcceptable(attempt.epoch)) {
    return false;
  }
  ++counters_.stale;
  return true;
}

template <typename Guards>
attempt_decision basic_executor_table<Guards>::Accept(
    const execution_binding& attempt,
    waiter_id waiter,
    time_point now) {
  AdvanceTo(now);
  if (IsForOtherIncarnation(attempt)) {
    return {.step = attempt_step::kAnswer, .result = Unknown(reason::kStale)};
  }
  const record_key key = KeyOf(attempt);
  const auto found = records_.find(key);
  // Guard EXECUTOR_DEDUP in spec/at_most_once.pml. A home that received no
  // answer resends over a new connection, so both copies can arrive.
  if (Guards::kExecutorDedup && found != records_.end()) {
    record& first = found->second;
    if (first.state == record_state::kFinished) {
      ++counters_.replayed;
      return {.step = attempt_step::kAnswer, .result = first.result};
    }
    if (first.waiters.size() >= options_.max_waiters) {
      ++counters_.busy;
      return {.step = attempt_step::kAnswer,
              .result = Unknown(reason::kTableFull)};
    }
    ++counters_.joined;
    first.waiters.push_back(waiter);
    return {.step = attempt_step::kWait, .result = {}};
  }
  if (IsEpochExpired(attempt)) {
    return {.step = attempt_step::kAnswer, .result = Unknown(reason::kStale)};
  }
  // Not definite: the table is full now but may have accepted an earlier copy,
  // which ran and was answered.
  if (records_.size() + options_.cancel_reserve >= options_.max_records) {
    ++counters_.busy;
    return {.step = attempt_step::kAnswer,
            .result = Unknown(reason::kTableFull)};
  }
  ++counters_.admitted;
  if (!Guards::kExecutorDedup) {
    EraseRecord(key);
  }
  Insert(key).waiters.push_back(waiter);
  return {.step = attempt_step::kAdmit, .result = {}};
}

template <typename Guards>
bool basic_executor_table<Guards>::Start(const execution_binding& attempt) {
  const auto found = records_.find(KeyOf(attempt));
  // Guard START_CHECK in spec/at_most_once.pml. The home was notified that a
  // cancelled attempt never runs and may have tried another target, while the
  // request is still in this daemon's queue.
  if (found == records_.end() ||
      found->second.state == record_state::kFinished) {
    return !Guards::kStartCheck;
  }
  found->second.state = record_state::kRunning;
  return true;
}

template <typename Guards>
finished_attempt basic_executor_table<Guards>::Finish(
    const execution_binding& attempt,
    const outcome& result,
    time_point now) {
  AdvanceTo(now);
  const record_key key = KeyOf(attempt);
  const auto found = records_.find(key);
  if (found == records_.end() ||
      found->second.state == record_state::kFinished) {
    return {};
  }
  record& entry = found->second;
  finished_attempt finished{.waiters = std::move(entry.waiters),
                            .result = result};
  entry.waiters.clear();
  if (!Guards::kRefusalTombstone && result.kind == outcome_kind::kNotExecuted) {
    EraseRecord(key);
    return finished;
  }
  // Guard REFUSAL_TOMBSTONE in spec/at_most_once.pml: a refusal is stored like
  // any other result. The home tries another executor after it, and a late copy
  // of this attempt would run here as well.
  StoreResult(key, entry, result);
  return finished;
}

template <typename Guards>
auto basic_executor_table<Guards>::Insert(const record_key& key) -> record& {
  assert(!records_.contains(key));
  if (by_epoch_.empty() || by_epoch_.back().epoch != epoch_) {
    by_epoch_.push_back({.epoch = epoch_, .keys = {}});
  }
  by_epoch_.back().keys.push_back(key);
  return records_[key];
}

// Only for tables with a guard disabled; otherwise records are removed by
// epoch.
template <typename Guards>
void basic_executor_table<Guards>::EraseRecord(const record_key& key) {
  const auto found = records_.find(key);
  if (found == records_.end()) {
    return;
  }
  answer_bytes_ -= found->second.result.reply.body.size();
  records_.erase(found);
  for (epoch_records& each : by_epoch_) {
    std::erase(each.keys, key);
  }
}

template <typename Guards>
void basic_executor_table<Guards>::StoreResult(const record_key& key,
                                               record& entry,
                                               const outcome& result) {
  entry.state = record_state::kFinished;
  entry.result = result;
  if (result.reply.body.empty()) {
    return;
  }
  answer_bytes_ += result.reply.body.size();
  answered_.push_back(key);
  DiscardOldAnswers();
}

// Answers are the only part of a record without a fixed size. Discarding the
// oldest retains the fact that the attempt ran, which is what prevents a second
// execution; a later copy receives kAnswerDiscarded.
template <typename Guards>
void basic_executor_table<Guards>::DiscardOldAnswers() {
  while (answer_bytes_ > options_.max_answer_bytes && !answered_.empty()) {
    const auto found = records_.find(answered_.front());
    answered_.pop_front();
    if (found == records_.end() || found->second.result.reply.body.empty()) {
      continue;
    }
    answer_bytes_ -= found->second.result.reply.body.size();
    found->second.result = Unknown(reason::kAnswerDiscarded);
    ++counters_.answers_discarded;
  }
}

template <typename Guards>
cancel_decision basic_executor_table<Guards>::Cancel(
    const execution_binding& attempt,
    time_point now) {
  AdvanceTo(now);
  if (IsForOtherIncarnation(attempt)) {
    return {.result = Unknown(reason::kStale), .running = false, .waiters = {}};
  }
  const record_key key = KeyOf(attempt);
  const auto found = records_.find(key);
  if (found != records_.end()) {
    record& entry = found->second;
    if (entry.state == record_state::kFinished) {
      return {.result = entry.result, .running = false, .waiters = {}};
    }
    if (entry.state == record_state::kRunning) {
      return {.result = Unknown(reason::kCancelled),
              .running = true,
              .waiters = {}};
    }
    ++counters_.cancelled;
    const outcome cancelled = NotExecuted(reason::kCancelled);
    cancel_decision decision{.result = cancelled,
                             .running = false,
                             .waiters = std::move(entry.waiters)};
    entry.waiters.clear();
    StoreResult(key, entry, cancelled);
    return decision;
  }
  if (IsEpochExpired(attempt)) {
    return {.result = Unknown(reason::kStale), .running = false, .waiters = {}};
  }
  if (records_.size() >= options_.max_records) {
    ++counters_.busy;
    return {
        .result = Unknown(reason::kTableFull), .running = false, .waiters = {}};
  }
  ++counters_.cancelled;
  // Guard CANCEL_TOMBSTONE in spec/at_most_once.pml. The cancel overtook its
  // attempt, which must find the cancellation when it arrives.
  if (Guards::kCancelTombstone) {
    StoreResult(key, Insert(key), NotExecuted(reason::kCancelled));
  }
  return {.result = NotExecuted(reason::kCancelled),
          .running = false,
          .waiters = {}};
}

template <typename Guards>
void basic_executor_table<Guards>::Tick(time_point now) {
  AdvanceTo(now);
  // Removed records leave their keys in answered_.
  while (!answered_.empty() && !records_.contains(answered_.front())) {
    answered_.pop_front();
  }
}

}  // namespace pistachioweir
