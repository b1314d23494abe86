// Implementation of once_network.
#pragma once

#include <algorithm>
#include <iterator>
#include <utility>

#include "src/once/executor_table_impl.h"
#include "src/once/key_home_impl.h"
#include "tests/support/once_network.h"

namespace pistachioweir {

template <typename Guards>
void once_network<Guards>::StartHome() {
  if (home_) {
    coverage_.evicted += home_->counters().evicted;
    coverage_.joined += home_->counters().joined;
    coverage_.moved += home_->counters().moved;
    coverage_.discarded += home_->counters().answers_discarded;
  }
  waiting_requests_.clear();
  home_.emplace(key_home_options{
      .self = {.vm = "home",
               .incarnation = incarnation_id{++last_incarnation_}},
      .max_keys = 12,
      .max_keys_per_caller = 9,
      .max_answer_bytes = 30,
      .max_waiters = 3,
      .max_sends = 3});
}

template <typename Guards>
void once_network<Guards>::StartExecutor(std::size_t index) {
  executor& started = executors_[index];
  if (started.table) {
    coverage_.busy += started.table->counters().busy;
    coverage_.stale += started.table->counters().stale;
    coverage_.cancelled += started.table->counters().cancelled;
  }
  started.self = incarnation_id{++last_incarnation_};
  started.table.emplace(executor_table_options{.self = started.self,
                                               .started = now_,
                                               .epoch_length = seconds(10),
                                               .max_records = 8,
                                               .cancel_reserve = 3,
                                               .max_answer_bytes = 30,
                                               .max_waiters = 3});
  started.queue.clear();
  started.running.clear();
  if (started.known_incarnation == incarnation_id{}) {
    started.known_incarnation = started.self;
    started.known_epoch = started.table->epoch();
  }
}

template <typename Guards>
network_coverage once_network<Guards>::coverage() const {
  network_coverage all = coverage_;
  all.evicted += home_->counters().evicted;
  all.joined += home_->counters().joined;
  all.moved += home_->counters().moved;
  all.discarded += home_->counters().answers_discarded;
  for (const executor& each : executors_) {
    all.busy += each.table->counters().busy;
    all.stale += each.table->counters().stale;
    all.cancelled += each.table->counters().cancelled;
  }
  return all;
}

template <typename Guards>
void once_network<Guards>::Run(const network_step& step) {
  executor& chosen = executors_[step.pick % kExecutors];
  switch (step.op) {
    case network_op::kNewRequest:
      return NewRequest(step.bits);
    case network_op::kResend:
      return SendCopy(step, false);
    case network_op::kReuseKey:
      return ReuseKey(step);
    case network_op::kRelayRefuses:
      return RelayRefuses(step);
    case network_op::kDeliver:
      return Deliver(step, false);
    case network_op::kDeliverAndKeep:
      return Deliver(step, true);
    case network_op::kDrop:
      if (!network_.empty() && step.bits % 4 == 0) {
        network_.erase(network_.begin() + step.pick % network_.size());
      }
      return;
    case network_op::kStartQueued:
      return StartQueued(step);
    case network_op::kRefuseQueued:
      return RefuseQueued(step);
    case network_op::kFinishRunning:
      return FinishRunning(step, false);
    case network_op::kCrashTarget:
      return FinishRunning(step, step.bits % 4 == 0);
    case network_op::kLoseAttempt:
    case network_op::kPassDeadline:
    case network_op::kDisconnectCaller:
      return ChooseKeyEvent(step);
    case network_op::kAdvanceClock:
      now_ += milliseconds(step.bits % 2000);
      home_->Tick(Now(step.bits));
      return chosen.table->Tick(Now(step.bits));
    case network_op::kRestartExecutor:
      return step.bits % 16 == 0 ? StartExecutor(step.pick % kExecutors)
                                 : void();
    case network_op::kRestartHome:
      return step.bits % 32 == 0 ? StartHome() : void();
    case network_op::kPause:
      chosen.paused = step.bits % 4 == 0;
      return;
    case network_op::kPartition:
      chosen.partitioned = step.bits % 4 == 0;
      return;
    case network_op::kCount:
      return;
  }
}

template <typename Guards>
void once_network<Guards>::NewRequest(std::uint32_t bits) {
  const std::string caller = bits % 2 == 0 ? "first" : "second";
  const auto issued = home_->Issue(1, caller, kLifetime, now_);
  if (issued.keys.empty() || requests_.size() >= kMaxRequests) {
    return;
  }
  requests_.push_back(
      {.key = issued.keys[0], .body = std::to_string(requests_.size())});
  network_.push_back(
      caller_message{.request = requests_.size() - 1, .refused = false});
}

template <typename Guards>
void once_network<Guards>::SendCopy(const network_step& step, bool refused) {
  if (!requests_.empty()) {
    // Mostly one of the latest, so that copies meet while the key is valid.
    const std::size_t back = step.pick % (step.bits % 4 == 0 ? 300 : 6);
    const std::size_t last = requests_.size() - 1;
    network_.push_back(caller_message{.request = last - std::min(back, last),
                                      .refused = refused});
  }
}

// Sends a second request under the key of another one.
template <typename Guards>
void once_network<Guards>::ReuseKey(const network_step& step) {
  if (requests_.empty() || requests_.size() >= kMaxRequests ||
      step.bits % 16 != 0) {
    return;
  }
  requests_.push_back(
      {.key = requests_.back().key, .body = std::to_string(requests_.size())});
  network_.push_back(
      caller_message{.request = requests_.size() - 1, .refused = false});
}

template <typename Guards>
void once_network<Guards>::RelayRefuses(const network_step& step) {
  if (requests_.empty()) {
    return;
  }
  if (Guards::kHomeHasLastWord) {
    return SendCopy(step, true);
  }
  const std::size_t index = step.pick % requests_.size();
  if (requests_[index].ran == 0) {
    ReportOutcome(index, NotExecuted(reason::kOverload));
  }
}

template <typename Guards>
bool once_network<Guards>::IsBlocked(const message& sent) const {
  if (const auto* attempt = std::get_if<attempt_message>(&sent)) {
    const executor& to = executors_[attempt->executor];
    return to.paused || to.partitioned;
  }
  if (const auto* cancel = std::get_if<cancel_message>(&sent)) {
    const executor& to = executors_[cancel->executor];
    return to.paused || to.partitioned;
  }
  if (const auto* answer = std::get_if<answer_message>(&sent)) {
    return executors_[answer->executor].partitioned;
  }
  return false;
}

template <typename Guards>
void once_network<Guards>::Deliver(const network_step& step, bool keep) {
  if (network_.empty()) {
    return;
  }
  const std::size_t index = step.pick % network_.size();
  if (IsBlocked(network_[index])) {
    return;
  }
  const message received = network_[index];
  if (!keep || network_.size() > 60) {
    network_.erase(network_.begin() + static_cast<std::ptrdiff_t>(index));
  }
  std::visit([&](const auto& each) { Receive(each, step.bits); }, received);
}

template <typename Guards>
void once_network<Guards>::Receive(const caller_message& received,
                                   std::uint32_t bits) {
  const request& sent = requests_[received.request];
  const std::uint64_t waiter = ++last_waiter_;
  waiting_requests_[waiter] = received.request;
  const begin_request begin{.key = sent.key,
                            .fingerprint = Fingerprint({.service = "contracts",
                                                        .method = "sign",
                                                        .body = sent.body,
                                                        .label = ""}),
                            .waiter = waiter_id{waiter},
                            .retry_credit = kCredit};
  const home_action action =
      received.refused
          ? home_->Refuse(begin, NotExecuted(reason::kOverload), Now(bits))
          : home_->Begin(begin, Now(bits));
  if (const auto* place = std::get_if<place_attempt>(&action)) {
    begun_[place->key] = received.request;
  }
  Execute(action, bits);
}

template <typename Guards>
void once_network<Guards>::Receive(const attempt_message& received,
                                   std::uint32_t bits) {
  executor& to = executors_[received.executor];
  // A daemon that has just started may refuse before it consults its table.
  if (received.binding.executor != to.self && bits % 2 == 0) {
    return Answer(received, NotExecuted(reason::kNotReady));
  }
  const std::uint64_t waiter = ++last_waiter_;
  waiting_attempts_[waiter] = received;
  const attempt_decision decision =
      to.table->Accept(received.binding, waiter_id{waiter}, Now(bits));
  if (decision.step == attempt_step::kAdmit) {
    to.queue.push_back(
        {.binding = received.binding, .request = received.request});
  } else if (decision.step == attempt_step::kAnswer) {
    Answer(received, decision.result);
  }
}

template <typename Guards>
void once_network<Guards>::Receive(const cancel_message& received,
                                   std::uint32_t bits) {
  executor& to = executors_[received.executor];
  const cancel_decision decision =
      to.table->Cancel(received.binding, Now(bits));
  answer_envelope answer;
  answer.result = decision.result;
  answer.executor = to.self;
  answer.epoch = to.table->epoch();
  network_.push_back(answer_message{.key = received.binding.key,
                                    .attempt = received.binding.attempt,
                                    .executor = received.executor,
                                    .answer = answer,
                                    .to_cancel = true});
  for (const waiter_id waiter : decision.waiters) {
    Answer(waiting_attempts_.at(static_cast<std::uint64_t>(waiter)),
           decision.result);
  }
}

template <typename Guards>
void once_network<Guards>::Receive(const answer_message& received,
                                   std::uint32_t bits) {
  executor& from = executors_[received.executor];
  from.known_incarnation = received.answer.executor;
  from.known_epoch = received.answer.epoch;
  Execute(received.to_cancel
              ? home_->CancelAnswered(received.key, received.attempt,
                                      received.answer, Now(bits))
              : home_->AttemptAnswered(received.key, received.attempt,
                                       received.answer, Now(bits)),
          bits);
}

template <typename Guards>
void once_network<Guards>::Answer(const attempt_message& to,
                                  const outcome& result) {
  const executor& from = executors_[to.executor];
  answer_envelope answer;
  answer.result = result;
  answer.unspent_credit = kCredit;
  answer.executor = from.self;
  answer.epoch = from.table->epoch();
  network_.push_back(answer_message{.key = to.binding.key,
                                    .attempt = to.binding.attempt,
                                    .executor = to.executor,
                                    .answer = answer,
                                    .to_cancel = false});
}

template <typename Guards>
void once_network<Guards>::FinishAdmitted(std::size_t index,
                                          const admitted_attempt& attempt,
                                          const outcome& result) {
  const finished_attempt finished =
      executors_[index].table->Finish(attempt.binding, result, now_);
  for (const waiter_id waiter : finished.waiters) {
    Answer(waiting_attempts_.at(static_cast<std::uint64_t>(waiter)),
           finished.result);
  }
}

template <typename Attempts>
auto TakeAny(Attempts& from, std::uint32_t bits) {
  const auto chosen =
      from.begin() + static_cast<std::ptrdiff_t>(bits % from.size());
  auto taken = *chosen;
  from.erase(chosen);
  return taken;
}

template <typename Guards>
void once_network<Guards>::StartQueued(const network_step& step) {
  executor& at = executors_[step.pick % kExecutors];
  if (at.paused || at.queue.empty()) {
    return;
  }
  const admitted_attempt next = TakeAny(at.queue, step.bits);
  if (at.table->Start(next.binding)) {
    at.running.push_back(next);
    ++requests_[next.request].ran;
    Check(next.request);
  }
}

template <typename Guards>
void once_network<Guards>::RefuseQueued(const network_step& step) {
  const std::size_t index = step.pick % kExecutors;
  executor& at = executors_[index];
  if (!at.paused && !at.queue.empty()) {
    FinishAdmitted(index, TakeAny(at.queue, step.bits),
                   NotExecuted(reason::kOverload));
  }
}

template <typename Guards>
void once_network<Guards>::FinishRunning(const network_step& step, bool crash) {
  const std::size_t index = step.pick % kExecutors;
  executor& at = executors_[index];
  if (at.paused || at.running.empty()) {
    return;
  }
  const admitted_attempt done = TakeAny(at.running, step.bits);
  const outcome completed =
      Completed({.status = 200,
                 .content_type = "text/plain",
                 .body = "answer to " + requests_[done.request].body});
  FinishAdmitted(index, done,
                 crash ? Unknown(reason::kTargetFailed) : completed);
}

// An event at the home for one of the keys that it began.
template <typename Guards>
void once_network<Guards>::ChooseKeyEvent(const network_step& step) {
  if (begun_.empty()) {
    return;
  }
  // Mostly one of the latest, which may still run.
  const std::size_t back = step.pick % std::min<std::size_t>(begun_.size(), 8);
  const auto chosen =
      std::prev(begun_.end(), static_cast<std::ptrdiff_t>(back) + 1);
  const idempotency_key key = chosen->first;
  switch (step.op) {
    case network_op::kLoseAttempt:
      return Execute(home_->AttemptLost(key, attempts_[key], now_), step.bits);
    case network_op::kPassDeadline:
      return Execute(home_->DeadlinePassed(key, now_), step.bits);
    default:
      return DisconnectCaller(key);
  }
}

// Disconnects the caller that has waited longest for `key`.
template <typename Guards>
void once_network<Guards>::DisconnectCaller(const idempotency_key& key) {
  for (const auto& [waiter, index] : waiting_requests_) {
    if (requests_[index].key == key) {
      const std::uint64_t disconnected = waiter;
      waiting_requests_.erase(disconnected);
      return Execute(home_->RemoveWaiter(key, waiter_id{disconnected}), 0);
    }
  }
}

template <typename Guards>
void once_network<Guards>::Execute(const home_action& action,
                                   std::uint32_t bits) {
  if (const auto* place = std::get_if<place_attempt>(&action)) {
    Place(*place, bits);
  } else if (const auto* send = std::get_if<send_attempt>(&action)) {
    Send(*send);
  } else if (const auto* cancel = std::get_if<send_cancel>(&action)) {
    network_.push_back(cancel_message{.binding = cancel->binding,
                                      .executor = IndexOf(cancel->target)});
  } else if (const auto* finish = std::get_if<finish_call>(&action)) {
    FinishCall(*finish);
  }
}

template <typename Guards>
void once_network<Guards>::Place(const place_attempt& place,
                                 std::uint32_t bits) {
  attempts_[place.key] = place.attempt;
  if (place.attempt > kCredit + 1 && Guards::kHomeJoin &&
      Guards::kFinalRefusal) {
    violation_ = "an attempt exceeded the retry credit";
  }
  if (bits % 16 == 1) {
    return Execute(home_->NotPlaced(place.key, place.attempt,
                                    NotExecuted(reason::kNoTarget), now_),
                   bits / 16);
  }
  const std::size_t index = bits % kExecutors;
  const executor& to = executors_[index];
  // Mostly the current state of the executor, sometimes an outdated one.
  const bool old = bits % 8 == 2;
  const daemon_ref target{.vm = std::to_string(index),
                          .incarnation = old ? to.known_incarnation : to.self};
  Execute(home_->Placed(place.key, place.attempt, target,
                        old ? to.known_epoch : to.table->epoch()),
          bits / 16);
}

template <typename Guards>
void once_network<Guards>::Send(const send_attempt& send) {
  const std::size_t index = IndexOf(send.target);
  // Connections across a partition fail before anything is sent.
  if (executors_[index].partitioned) {
    return Execute(
        home_->AttemptNotSent(send.binding.key, send.binding.attempt, now_),
        static_cast<std::uint32_t>(index) + 1);
  }
  network_.push_back(attempt_message{.binding = send.binding,
                                     .executor = index,
                                     .request = begun_.at(send.binding.key)});
}

template <typename Guards>
void once_network<Guards>::FinishCall(const finish_call& finish) {
  for (const waiter_id waiter : finish.waiters) {
    const auto found =
        waiting_requests_.find(static_cast<std::uint64_t>(waiter));
    if (found != waiting_requests_.end()) {
      ReportOutcome(found->second, finish.result);
      waiting_requests_.erase(found);
    }
  }
  if (finish.cancel) {
    Execute(*finish.cancel, 0);
  }
}

template <typename Guards>
void once_network<Guards>::ReportOutcome(std::size_t index,
                                         const outcome& result) {
  request& reported = requests_[index];
  switch (result.kind) {
    case outcome_kind::kCompleted:
      ++coverage_.completed;
      reported.reported_completed = true;
      if (result.reply.body != "answer to " + reported.body) {
        violation_ = "a caller received another request's answer";
      }
      break;
    case outcome_kind::kNotExecuted:
      ++coverage_.not_executed;
      reported.reported_not_executed = true;
      break;
    case outcome_kind::kUnknown:
      ++coverage_.unknown;
      break;
  }
  Check(index);
}

template <typename Guards>
void once_network<Guards>::Check(std::size_t index) {
  const request& checked = requests_[index];
  if (checked.ran > 1) {
    violation_ = "a request ran twice";
  }
  if (checked.reported_not_executed && checked.ran > 0) {
    violation_ = "a request that ran was reported as not executed";
  }
  if (checked.reported_completed && checked.ran == 0) {
    violation_ = "a request that never ran was reported as completed";
  }
}

}  // namespace pistachioweir
