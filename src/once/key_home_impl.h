// Implementation of basic_key_home, for key_home.cc and for tests that
// instantiate it with a guard disabled.
#pragma once

#include <algorithm>
#include <cassert>
#include <utility>

#include "include/once/key_home.h"

namespace pistachioweir {

// Whether another target may accept a request that one target refused for
// `why`. An invalid request is refused by every target.
inline bool IsRetryableElsewhere(reason why) {
  switch (why) {
    case reason::kNotReady:
    case reason::kDraining:
    case reason::kOverload:
    case reason::kQueueFull:
    case reason::kDeadlineInfeasible:
    case reason::kTableFull:
    case reason::kTargetRefused:
    case reason::kConnectionLost:
      return true;
    default:
      return false;
  }
}

template <typename Guards>
basic_key_home<Guards>::basic_key_home(const key_home_options& options)
    : options_(options), begun_(kBegunWindow / options.shards) {
  assert(options.shards > 0 && options.shard < options.shards);
}

template <typename Guards>
idempotency_key basic_key_home<Guards>::KeyOf(std::uint64_t sequence) const {
  return {.home = options_.self, .sequence = sequence};
}

template <typename Guards>
std::uint64_t basic_key_home<Guards>::IndexOf(std::uint64_t sequence) const {
  return sequence / options_.shards;
}

template <typename Guards>
auto basic_key_home<Guards>::Find(const idempotency_key& key) -> record_entry* {
  // Guard HOME_INCARNATION in spec/at_most_once.pml. An earlier incarnation of
  // this daemon issued the key and may have had it executed; its record was
  // lost with that process, and the same number here belongs to another
  // request.
  if (Guards::kHomeIncarnation &&
      key.home.incarnation != options_.self.incarnation) {
    return nullptr;
  }
  const auto found = records_.find(key.sequence);
  return found == records_.end() ? nullptr : &*found;
}

template <typename Guards>
auto basic_key_home<Guards>::FindSent(const idempotency_key& key,
                                      std::uint32_t attempt) -> record_entry* {
  record_entry* entry = Find(key);
  if (entry == nullptr || entry->second.running == nullptr) {
    return nullptr;
  }
  const key_state state = entry->second.state;
  const bool sent = state == key_state::kSent || state == key_state::kGaveUp;
  return sent && entry->second.running->attempt == attempt ? entry : nullptr;
}

template <typename Guards>
void basic_key_home<Guards>::AdvanceTo(time_point now) {
  // A thread that was preempted passes an older time, at which a key that was
  // reported as expired could still start.
  now_ = std::max(now_, now);
}

template <typename Guards>
issued_keys basic_key_home<Guards>::Issue(std::uint32_t count,
                                          const std::string& caller,
                                          milliseconds lifetime,
                                          time_point now) {
  AdvanceTo(now);
  if (draining_) {
    ++counters_.issue_refused;
    return {.keys = {}, .refusal = reason::kDraining};
  }
  const auto found = callers_.find(caller);
  const std::size_t outstanding = found == callers_.end() ? 0 : found->second;
  issued_keys issued;
  while (issued.keys.size() < count &&
         outstanding + issued.keys.size() < options_.max_keys_per_caller &&
         EnsureCapacity(1)) {
    const std::uint64_t sequence =
        begun_.Append() * options_.shards + options_.shard;
    auto& caller_entry = *callers_.try_emplace(caller, 0).first;
    Insert(sequence, caller_entry, lifetime);
    issued.keys.push_back(KeyOf(sequence));
  }
  counters_.issued += issued.keys.size();
  if (issued.keys.empty()) {
    ++counters_.issue_refused;
    issued.refusal = reason::kTableFull;
  }
  return issued;
}

// Evicts settled keys to make room for new ones: callers wait for new keys, but
// query a settled one only after they lost its answer. Such a query receives
// kAnswerDiscarded.
template <typename Guards>
bool basic_key_home<Guards>::EnsureCapacity(std::uint32_t count) {
  while (records_.size() + count > options_.max_keys && !settled_.empty()) {
    const std::uint64_t oldest = settled_.front();
    settled_.pop_front();
    const auto found = records_.find(oldest);
    if (found == records_.end()) {
      continue;
    }
    found->second.evictable = false;
    if (found->second.result == nullptr) {
      continue;
    }
    ++counters_.evicted;
    Erase(oldest);
  }
  return records_.size() + count <= options_.max_keys;
}

template <typename Guards>
void basic_key_home<Guards>::Insert(std::uint64_t sequence,
                                    typename caller_map::value_type& caller,
                                    milliseconds lifetime) {
  key_record& added = records_[sequence];
  added.caller = &caller;
  added.lifetime = lifetime;
  added.expires = now_ + lifetime;
  ++caller.second;
  expiries_.push({.at = added.expires, .sequence = sequence});
}

template <typename Guards>
void basic_key_home<Guards>::Erase(std::uint64_t sequence) {
  const auto found = records_.find(sequence);
  if (found == records_.end()) {
    return;
  }
  key_record& record = found->second;
  if (record.result != nullptr) {
    answer_bytes_ -= record.result->reply.body.size();
  }
  ReleaseCaller(record);
  records_.erase(found);
}

template <typename Guards>
outcome basic_key_home<Guards>::OutcomeOfMissing(
    const idempotency_key& key) const {
  if (key.home.incarnation != options_.self.incarnation) {
    return Unknown(reason::kHomeUnreachable);
  }
  const std::uint64_t index = IndexOf(key.sequence);
  if (key.sequence % options_.shards != options_.shard ||
      index >= begun_.end()) {
    return NotExecuted(reason::kBadKey);
  }
  // Guard FORGOTTEN_KEY in spec/at_most_once.pml. A key that began and whose
  // record was removed looks like one that expired unused; starting it would
  // run it twice, and "not executed" would be false.
  if (begun_.IsMarked(index)) {
    return Unknown(reason::kAnswerDiscarded);
  }
  return NotExecuted(reason::kKeyExpired);
}

template <typename Guards>
finish_call basic_key_home<Guards>::MakeFinishCall(const begin_request& request,
                                                   const outcome& result) {
  return {.key = request.key,
          .waiters = {request.waiter},
          .result = result,
          .cancel = std::nullopt};
}

template <typename Guards>
home_action basic_key_home<Guards>::Begin(const begin_request& request,
                                          time_point now) {
  AdvanceTo(now);
  record_entry* entry = Find(request.key);
  if (entry == nullptr) {
    const outcome judged = OutcomeOfMissing(request.key);
    const bool forgotten =
        judged.why == reason::kAnswerDiscarded && !Guards::kForgottenKey;
    const bool foreign =
        judged.why == reason::kHomeUnreachable && !Guards::kHomeIncarnation;
    if (!forgotten && !foreign) {
      return MakeFinishCall(request, judged);
    }
    // Only with one of these guards disabled: treats the key as a new one.
    Insert(request.key.sequence, *callers_.try_emplace("", 0).first,
           milliseconds(1000));
    entry = Find(request.key);
  }
  key_record& record = entry->second;
  if (record.state == key_state::kIssued) {
    if (now_ >= record.expires) {
      return MakeFinishCall(request, NotExecuted(reason::kKeyExpired));
    }
    return BeginIssued(*entry, request);
  }
  return Join(*entry, request);
}

template <typename Guards>
home_action basic_key_home<Guards>::BeginIssued(record_entry& entry,
                                                const begin_request& request) {
  key_record& record = entry.second;
  record.fingerprint = request.fingerprint;
  record.running = std::make_unique<running_execution>(request.retry_credit);
  record.running->waiters.push_back(request.waiter);
  begun_.Mark(IndexOf(entry.first));
  ++counters_.started;
  return Place(entry);
}

template <typename Guards>
home_action basic_key_home<Guards>::Join(record_entry& entry,
                                         const begin_request& request) {
  key_record& record = entry.second;
  if (record.fingerprint != request.fingerprint) {
    return MakeFinishCall(request, NotExecuted(reason::kBadKey));
  }
  if (record.state == key_state::kFinished) {
    // Guard FINAL_REFUSAL in spec/at_most_once.pml. The caller that received
    // "not executed" may have abandoned the request or sent it under another
    // key; a copy that arrives later from a paused daemon must not run.
    if (!Guards::kFinalRefusal &&
        record.result->kind == outcome_kind::kNotExecuted) {
      record.result.reset();
      return BeginIssued(entry, request);
    }
    ++counters_.replayed;
    return MakeFinishCall(request, *record.result);
  }
  if (record.state == key_state::kGaveUp) {
    return ResendForResult(entry, request);
  }
  // Guard HOME_JOIN in spec/at_most_once.pml. Callers that receive no answer
  // resend, often while the first copy still runs.
  if (!Guards::kHomeJoin) {
    return BeginIssued(entry, request);
  }
  if (record.running->waiters.size() >= options_.max_waiters) {
    return MakeFinishCall(request, Unknown(reason::kTimeout));
  }
  ++counters_.joined;
  record.running->waiters.push_back(request.waiter);
  return no_action{};
}

// The callers received an unknown outcome, and one of them retries. A copy of
// the same attempt fetches the result from the executor, or runs there if no
// earlier copy arrived; either way there is one execution.
template <typename Guards>
home_action basic_key_home<Guards>::ResendForResult(
    record_entry& entry,
    const begin_request& request) {
  key_record& record = entry.second;
  if (record.result->why == reason::kStale) {
    ++counters_.replayed;
    return MakeFinishCall(request, *record.result);
  }
  ++counters_.resent;
  running_execution& running = *record.running;
  record.state = key_state::kSent;
  record.result.reset();
  running.sends = 1;
  running.only_copy = false;
  running.waiters.push_back(request.waiter);
  return send_attempt{.binding = BindingOf(entry),
                      .target = running.target.vm,
                      .credit = 0,
                      .delay = milliseconds(0)};
}

template <typename Guards>
home_action basic_key_home<Guards>::Refuse(const begin_request& request,
                                           const outcome& refusal,
                                           time_point now) {
  assert(refusal.kind == outcome_kind::kNotExecuted);
  AdvanceTo(now);
  record_entry* entry = Find(request.key);
  if (entry == nullptr) {
    return MakeFinishCall(request, OutcomeOfMissing(request.key));
  }
  if (entry->second.state != key_state::kIssued) {
    return Join(*entry, request);
  }
  entry->second.fingerprint = request.fingerprint;
  begun_.Mark(IndexOf(entry->first));
  finish_call finish = MakeFinishCall(request, refusal);
  StoreResult(*entry, refusal);
  return finish;
}

template <typename Guards>
home_action basic_key_home<Guards>::Place(record_entry& entry) {
  running_execution& running = *entry.second.running;
  entry.second.state = key_state::kPlacing;
  ++running.attempt;
  return place_attempt{.key = KeyOf(entry.first),
                       .attempt = running.attempt,
                       .tried = running.tried};
}

template <typename Guards>
home_action basic_key_home<Guards>::Placed(const idempotency_key& key,
                                           std::uint32_t attempt,
                                           const daemon_ref& target,
                                           epoch_id epoch) {
  record_entry* entry = Find(key);
  if (entry == nullptr || entry->second.state != key_state::kPlacing ||
      entry->second.running->attempt != attempt) {
    return no_action{};
  }
  running_execution& running = *entry->second.running;
  entry->second.state = key_state::kSent;
  running.target = target;
  running.epoch = epoch;
  running.sends = 1;
  running.only_copy = true;
  running.lent_credit = running.ledger.Lend();
  return send_attempt{.binding = BindingOf(*entry),
                      .target = target.vm,
                      .credit = running.lent_credit,
                      .delay = milliseconds(0)};
}

template <typename Guards>
home_action basic_key_home<Guards>::NotPlaced(const idempotency_key& key,
                                              std::uint32_t attempt,
                                              const outcome& refusal,
                                              time_point now) {
  assert(refusal.kind == outcome_kind::kNotExecuted);
  AdvanceTo(now);
  record_entry* entry = Find(key);
  if (entry == nullptr || entry->second.state != key_state::kPlacing ||
      entry->second.running->attempt != attempt) {
    return no_action{};
  }
  // Every earlier attempt ended in a definite not-executed, or this one would
  // not be placed.
  return Settle(*entry, refusal);
}

template <typename Guards>
home_action basic_key_home<Guards>::AttemptAnswered(
    const idempotency_key& key,
    std::uint32_t attempt,
    const answer_envelope& answer,
    time_point now) {
  AdvanceTo(now);
  record_entry* entry = FindSent(key, attempt);
  if (entry == nullptr) {
    return no_action{};
  }
  running_execution& running = *entry->second.running;
  // Guard ANSWER_INCARNATION in spec/at_most_once.pml. Whatever another
  // incarnation of the executor answers, the one that the attempt was bound to
  // may have run it before it crashed.
  if (Guards::kAnswerIncarnation &&
      answer.executor != running.target.incarnation) {
    return GiveUp(*entry, reason::kStale, false);
  }
  const outcome& result = answer.result;
  if (result.kind == outcome_kind::kCompleted) {
    running.ledger.Return(running.lent_credit, answer.unspent_credit);
    running.lent_credit = 0;
    return Settle(*entry, result);
  }
  // Guard STALE_NOT_DEFINITE in spec/at_most_once.pml: an earlier copy may have
  // run while its epoch was current.
  const bool stale = result.why == reason::kStale;
  // Guard BUSY_NOT_DEFINITE in spec/at_most_once.pml: an earlier copy may have
  // run and its record been removed, or be in transit until the table has room.
  const bool busy =
      result.why == reason::kTableFull && result.kind == outcome_kind::kUnknown;
  const bool definite = result.kind == outcome_kind::kNotExecuted ||
                        (stale && !Guards::kStaleNotDefinite) ||
                        (busy && !Guards::kBusyNotDefinite);
  if (definite) {
    running.ledger.Return(running.lent_credit, answer.unspent_credit);
    running.lent_credit = 0;
    return TryNextTarget(*entry, NotExecuted(result.why, result.retry_after));
  }
  if (busy) {
    return Resend(*entry, options_.busy_retry_delay, reason::kTableFull);
  }
  return GiveUp(*entry, result.why, false);
}

template <typename Guards>
home_action basic_key_home<Guards>::AttemptNotSent(const idempotency_key& key,
                                                   std::uint32_t attempt,
                                                   time_point now) {
  AdvanceTo(now);
  record_entry* entry = FindSent(key, attempt);
  if (entry == nullptr) {
    return no_action{};
  }
  running_execution& running = *entry->second.running;
  // Guard ONLY_COPY in spec/at_most_once.pml. That this copy wasn't sent
  // implies nothing about a copy that was sent before it.
  const bool definite = running.only_copy || !Guards::kOnlyCopy;
  if (!definite || entry->second.state == key_state::kGaveUp) {
    return AttemptLost(key, attempt, now);
  }
  running.ledger.Return(running.lent_credit, running.lent_credit);
  running.lent_credit = 0;
  return TryNextTarget(*entry, NotExecuted(reason::kConnectionLost));
}

template <typename Guards>
home_action basic_key_home<Guards>::AttemptLost(const idempotency_key& key,
                                                std::uint32_t attempt,
                                                time_point now) {
  AdvanceTo(now);
  record_entry* entry = FindSent(key, attempt);
  if (entry == nullptr) {
    return no_action{};
  }
  // Guard MOVE_ON_DEFINITE in spec/at_most_once.pml. A missing answer doesn't
  // show whether the attempt is running, has run, or is in transit.
  if (!Guards::kMoveOnDefinite) {
    return TryNextTarget(*entry, NotExecuted(reason::kConnectionLost));
  }
  return Resend(*entry, milliseconds(0), reason::kConnectionLost);
}

// Resends the attempt to the same executor, which runs at most one copy. This
// recovers from a connection that has stalled.
template <typename Guards>
home_action basic_key_home<Guards>::Resend(record_entry& entry,
                                           milliseconds delay,
                                           reason why) {
  running_execution& running = *entry.second.running;
  if (entry.second.state == key_state::kGaveUp) {
    return no_action{};
  }
  if (running.sends >= options_.max_sends) {
    return GiveUp(entry, why, true);
  }
  ++running.sends;
  running.only_copy = false;
  ++counters_.resent;
  return send_attempt{.binding = BindingOf(entry),
                      .target = running.target.vm,
                      .credit = running.lent_credit,
                      .delay = delay};
}

// Called if the attempt definitely did not run and never will.
template <typename Guards>
home_action basic_key_home<Guards>::TryNextTarget(record_entry& entry,
                                                  const outcome& refusal) {
  running_execution& running = *entry.second.running;
  if (entry.second.state == key_state::kGaveUp || running.waiters.empty() ||
      !IsRetryableElsewhere(refusal.why) || !running.ledger.Spend()) {
    return Settle(entry, refusal);
  }
  ++counters_.moved;
  running.tried.push_back(running.target.vm);
  return Place(entry);
}

template <typename Guards>
home_action basic_key_home<Guards>::CancelAnswered(
    const idempotency_key& key,
    std::uint32_t attempt,
    const answer_envelope& answer,
    time_point now) {
  AdvanceTo(now);
  record_entry* entry = FindSent(key, attempt);
  if (entry == nullptr) {
    return no_action{};
  }
  const bool bound =
      answer.executor == entry->second.running->target.incarnation;
  if ((Guards::kAnswerIncarnation && !bound) ||
      answer.result.kind == outcome_kind::kUnknown) {
    return no_action{};
  }
  return Settle(*entry, answer.result);
}

template <typename Guards>
home_action basic_key_home<Guards>::DeadlinePassed(const idempotency_key& key,
                                                   time_point now) {
  AdvanceTo(now);
  record_entry* entry = Find(key);
  if (entry == nullptr) {
    return no_action{};
  }
  switch (entry->second.state) {
    case key_state::kPlacing:
      return Settle(*entry, NotExecuted(reason::kDeadlinePassed));
    case key_state::kSent:
      return GiveUp(*entry, reason::kTimeout, true);
    default:
      return no_action{};
  }
}

template <typename Guards>
home_action basic_key_home<Guards>::RemoveWaiter(const idempotency_key& key,
                                                 waiter_id waiter) {
  record_entry* entry = Find(key);
  if (entry == nullptr || entry->second.running == nullptr) {
    return no_action{};
  }
  running_execution& running = *entry->second.running;
  std::erase(running.waiters, waiter);
  if (!running.waiters.empty()) {
    return no_action{};
  }
  if (entry->second.state == key_state::kPlacing) {
    return Settle(*entry, NotExecuted(reason::kCancelled));
  }
  if (entry->second.state == key_state::kSent) {
    return send_cancel{.binding = BindingOf(*entry),
                       .target = running.target.vm};
  }
  return no_action{};
}

template <typename Guards>
home_action basic_key_home<Guards>::GiveUp(record_entry& entry,
                                           reason why,
                                           bool cancel) {
  running_execution& running = *entry.second.running;
  if (entry.second.state == key_state::kGaveUp) {
    return no_action{};
  }
  ++counters_.unknown;
  finish_call finish{.key = KeyOf(entry.first),
                     .waiters = std::move(running.waiters),
                     .result = Unknown(why),
                     .cancel = std::nullopt};
  running.waiters.clear();
  running.ledger.Lose(running.lent_credit);
  running.lent_credit = 0;
  if (cancel) {
    finish.cancel =
        send_cancel{.binding = BindingOf(entry), .target = running.target.vm};
  }
  entry.second.state = key_state::kGaveUp;
  entry.second.result = std::make_unique<outcome>(finish.result);
  MarkSettled(entry);
  return finish;
}

template <typename Guards>
home_action basic_key_home<Guards>::Settle(record_entry& entry,
                                           const outcome& result) {
  finish_call finish{.key = KeyOf(entry.first),
                     .waiters = std::move(entry.second.running->waiters),
                     .result = result,
                     .cancel = std::nullopt};
  StoreResult(entry, result);
  return finish;
}

template <typename Guards>
void basic_key_home<Guards>::StoreResult(record_entry& entry,
                                         const outcome& result) {
  key_record& record = entry.second;
  record.state = key_state::kFinished;
  record.running.reset();
  record.result = std::make_unique<outcome>(result);
  // A caller whose answer was lost has a full lifetime to retry.
  record.expires = std::max(record.expires, now_ + record.lifetime);
  MarkSettled(entry);
  if (result.reply.body.empty()) {
    return;
  }
  answer_bytes_ += result.reply.body.size();
  answered_.push_back(entry.first);
  DiscardOldAnswers();
}

template <typename Guards>
void basic_key_home<Guards>::MarkSettled(record_entry& entry) {
  ReleaseCaller(entry.second);
  if (!entry.second.evictable) {
    entry.second.evictable = true;
    settled_.push_back(entry.first);
  }
}

template <typename Guards>
void basic_key_home<Guards>::ReleaseCaller(key_record& record) {
  auto* const caller_entry = std::exchange(record.caller, nullptr);
  if (caller_entry != nullptr && --caller_entry->second == 0) {
    callers_.erase(callers_.find(caller_entry->first));
  }
}

template <typename Guards>
void basic_key_home<Guards>::DiscardOldAnswers() {
  while (answer_bytes_ > options_.max_answer_bytes && !answered_.empty()) {
    const auto found = records_.find(answered_.front());
    answered_.pop_front();
    if (found == records_.end() || found->second.result == nullptr ||
        found->second.result->reply.body.empty()) {
      continue;
    }
    answer_bytes_ -= found->second.result->reply.body.size();
    *found->second.result = Unknown(reason::kAnswerDiscarded);
    ++counters_.answers_discarded;
  }
}

template <typename Guards>
execution_binding basic_key_home<Guards>::BindingOf(
    const record_entry& entry) const {
  const running_execution& running = *entry.second.running;
  return {.key = KeyOf(entry.first),
          .attempt = running.attempt,
          .executor = running.target.incarnation,
          .epoch = running.epoch};
}

template <typename Guards>
void basic_key_home<Guards>::Tick(time_point now) {
  AdvanceTo(now);
  while (!expiries_.empty() && expiries_.top().at <= now_) {
    const std::uint64_t sequence = expiries_.top().sequence;
    expiries_.pop();
    const auto found = records_.find(sequence);
    if (found == records_.end()) {
      continue;
    }
    const key_state state = found->second.state;
    const bool busy = state == key_state::kPlacing || state == key_state::kSent;
    if (found->second.expires > now_ || busy) {
      // Checks again at the earliest time at which it can have expired.
      const duration pause = std::max(found->second.lifetime, milliseconds(1));
      expiries_.push({.at = std::max(found->second.expires, now_ + pause),
                      .sequence = sequence});
      continue;
    }
    Erase(sequence);
  }
  CompactQueues();
}

// Evicted and expired keys leave their numbers in the queues. Under a flood of
// short requests the queues would outgrow the records.
template <typename Guards>
void basic_key_home<Guards>::CompactQueues() {
  const std::size_t max_entries = 2 * records_.size() + 64;
  const auto is_erased = [this](std::uint64_t sequence) {
    return !records_.contains(sequence);
  };
  if (settled_.size() > max_entries) {
    std::erase_if(settled_, is_erased);
  }
  if (answered_.size() > max_entries) {
    std::erase_if(answered_, is_erased);
  }
  if (expiries_.size() > max_entries) {
    decltype(expiries_) remaining;
    for (const auto& [sequence, record] : records_) {
      remaining.push({.at = record.expires, .sequence = sequence});
    }
    expiries_ = std::move(remaining);
  }
}

template <typename Guards>
bool basic_key_home<Guards>::drained() const {
  if (!draining_) {
    return false;
  }
  return std::ranges::all_of(records_, [](const record_entry& entry) {
    return entry.second.state == key_state::kGaveUp ||
           entry.second.state == key_state::kFinished;
  });
}

}  // namespace pistachioweir
