// The load model's outbound side: placing, retrying, time-outs, cancellation.
#include <algorithm>

#include "tools/load_model/model.h"

namespace pistachioweir {

balancer& load_model::BalancerOf(const call& of) {
  node& from = nodes_[of.from];
  return of.parent.index == kNone ? from.own[0] : from.next[0];
}

retry_ratio& load_model::RatioOf(const call& of) {
  node& from = nodes_[of.from];
  return of.parent.index == kNone ? from.own_ratio : from.next_ratio;
}

void load_model::BeginCall(std::uint32_t root,
                           entity_ref parent,
                           std::uint32_t service,
                           std::uint32_t from,
                           time_point deadline,
                           std::uint32_t credit) {
  std::uint32_t index = 0;
  if (free_calls_.empty()) {
    index = static_cast<std::uint32_t>(calls_.size());
    calls_.emplace_back();
  } else {
    index = free_calls_.back();
    free_calls_.pop_back();
  }
  call& added = calls_[index];
  const std::uint32_t generation = added.generation;
  added = call{.generation = generation, .live = true};
  root_request& of = roots_[root];
  added.root = root;
  added.try_number = of.tries;
  added.parent = parent;
  added.service = service;
  added.from = from;
  added.where = {.method = of.method,
                 .level = where_.methods[of.method].level,
                 .ticket = of.ticket,
                 .is_nested = service > 0};
  added.credit = credit;
  added.deadline = deadline;
  added.began = now_;
  if (parent.index == kNone) {
    of.call = {index, generation};
  } else {
    executions_[parent.index].child = {index, generation};
  }
  RatioOf(added).OnFirstTry();
  Attempt(index);
}

void load_model::Attempt(std::uint32_t index) {
  call& sent = calls_[index];
  ++sent.attempts;
  const placement place = BalancerOf(sent).Place(sent.where, now_, random_());
  if (!place.placed) {
    return EndCall(index, call_end::kRefused, place.retry_after);
  }
  sent.target = place.target;
  sent.sent = now_;
  // Without deadlines passed on, each hop waits as long as callers do.
  if (!Has(mechanism::kQueue)) {
    sent.deadline = now_ + what_.timeout;
  }
  const std::uint32_t first = sent.service * kTargetsPerService;
  const std::string_view vm = BalancerOf(sent).VmOf(place.target);
  const auto number = static_cast<std::uint32_t>(vm[vm.find('/') + 1] - '0');
  const std::uint32_t execution_index = NewExecution();
  execution& started = executions_[execution_index];
  started.for_call = {index, sent.generation};
  started.root = sent.root;
  started.try_number = sent.try_number;
  started.node = first + number;
  started.from = sent.from;
  started.method = sent.where.method;
  started.credit = sent.credit;
  sent.credit = 0;
  const duration latency = Latency(sent.from, started.node);
  started.deadline = sent.deadline - latency;
  sent.execution = {execution_index, started.generation};
  Schedule(now_ + latency, event_kind::kExecutionArrives, execution_index,
           started.generation);
  Schedule(sent.deadline, event_kind::kCallTimeout, index,
           sent.generation * 8 + sent.attempts);
}

std::uint32_t load_model::NewExecution() {
  std::uint32_t index = 0;
  if (free_executions_.empty()) {
    index = static_cast<std::uint32_t>(executions_.size());
    executions_.emplace_back();
  } else {
    index = free_executions_.back();
    free_executions_.pop_back();
  }
  const std::uint32_t generation = executions_[index].generation;
  executions_[index] = execution{.generation = generation, .live = true};
  return index;
}

void load_model::FreeExecution(std::uint32_t index) {
  executions_[index].live = false;
  ++executions_[index].generation;
  free_executions_.push_back(index);
}

void load_model::OnAnswer(std::uint32_t execution_index) {
  const execution ended = executions_[execution_index];
  FreeExecution(execution_index);
  const bool awaited =
      IsLive(ended.for_call, calls_) &&
      calls_[ended.for_call.index].execution.index == execution_index &&
      calls_[ended.for_call.index].execution.generation == ended.generation;
  if (!awaited) {
    return Waste(ended.work);
  }
  const std::uint32_t index = ended.for_call.index;
  call& answered = calls_[index];
  answered.execution = {};
  answered.credit += ended.credit;
  const bool refused = ended.end == call_end::kRefused;
  const call_result result = refused      ? call_result::kRefused
                             : ended.lost ? call_result::kFailed
                                          : call_result::kAnswered;
  BalancerOf(answered).Finish(answered.target, answered.where.method, result,
                              now_ - answered.sent,
                              ended.lost ? nullptr : &ended.report, now_);
  TellLevel(answered);
  if (ended.end == call_end::kOk) {
    answered.work += ended.work;
    return EndCall(index, call_end::kOk, {});
  }
  Waste(ended.work);
  if (MayRetry(answered, ended.end, ended.lost)) {
    return Attempt(index);
  }
  EndCall(index, ended.end, ended.retry_after);
}

// What this daemon has learnt of the level further down becomes part of its
// own, so that the request is refused before this target works for it.
void load_model::TellLevel(const call& answered) {
  node& from = nodes_[answered.from];
  if (answered.parent.index == kNone || from.controller.empty()) {
    return;
  }
  const std::uint32_t method = answered.where.method;
  from.controller[0].SetDownstreamLevel(
      method, from.next[0].EntranceLevel(method, now_), now_);
}

void load_model::OnCallTimeout(std::uint32_t index) {
  call& late = calls_[index];
  if (late.execution.index == kNone) {
    return;
  }
  const execution& running = executions_[late.execution.index];
  if (Has(mechanism::kCancel) && IsLive(late.execution, executions_)) {
    Schedule(now_ + Latency(late.from, running.node),
             event_kind::kCancelArrives, late.execution.index,
             late.execution.generation);
  }
  late.execution = {};
  BalancerOf(late).Finish(late.target, late.where.method,
                          call_result::kTimedOut, now_ - late.sent, nullptr,
                          now_);
  if (MayRetry(late, call_end::kTimedOut, true)) {
    return Attempt(index);
  }
  EndCall(index, call_end::kTimedOut, {});
}

bool load_model::MayRetry(call& failed, call_end end, bool lost) {
  if (!Has(mechanism::kRetry)) {
    // Each hop for itself, whatever has failed.
    const bool again = failed.attempts < kTriesPerHop;
    CountRetry(failed, again);
    return again;
  }
  failed.where.tried.refs[failed.where.tried.count++] = failed.target;
  if (end == call_end::kRefused) {
    // Nothing ran: another target may be asked, within the bound on tries.
    return now_ < failed.deadline &&
           BalancerOf(failed).MayTryElsewhere(failed.where, now_);
  }
  const bool idempotent = failed.where.level != priority::kCritical;
  const bool again = lost && idempotent && now_ < failed.deadline &&
                     failed.credit > 0 && RatioOf(failed).TrySpend();
  failed.credit -= again ? 1 : 0;
  CountRetry(failed, again);
  return again;
}

void load_model::CountRetry(const call& failed, bool again) {
  root_request& root = roots_[failed.root];
  if (again && root.tries == failed.try_number) {
    ++root.retries;
    result_.most_retries = std::max(result_.most_retries, root.retries);
  }
}

void load_model::EndCall(std::uint32_t index,
                         call_end end,
                         milliseconds retry_after) {
  const call ended = calls_[index];
  calls_[index].live = false;
  ++calls_[index].generation;
  free_calls_.push_back(index);
  if (end == call_end::kRefused && ended.where.level == priority::kCritical) {
    RecordCriticalRefusal(ended);
  }
  if (ended.parent.index != kNone) {
    if (!IsLive(ended.parent, executions_)) {
      return Waste(ended.work);
    }
    execution& parent = executions_[ended.parent.index];
    parent.credit += ended.credit;
    parent.work += ended.work;
    return ChildEnded(ended.parent.index, end);
  }
  root_request& root = roots_[ended.root];
  if (!root.waiting || root.tries != ended.try_number) {
    return Waste(ended.work);
  }
  root.end = end;
  root.work = ended.work;
  root.retry_after = retry_after;
  Schedule(now_ + where_.client_latency, event_kind::kTryEnds, ended.root,
           ended.try_number);
}

// The caller has gone: what runs for it is cancelled, hop by hop.
void load_model::Abandon(std::uint32_t index, call_result result) {
  const call ended = calls_[index];
  calls_[index].live = false;
  ++calls_[index].generation;
  free_calls_.push_back(index);
  Waste(ended.work);
  if (ended.execution.index == kNone) {
    return;
  }
  BalancerOf(ended).Finish(ended.target, ended.where.method, result,
                           now_ - ended.sent, nullptr, now_);
  if (IsLive(ended.execution, executions_)) {
    const std::uint32_t to = executions_[ended.execution.index].node;
    Schedule(now_ + Latency(ended.from, to), event_kind::kCancelArrives,
             ended.execution.index, ended.execution.generation);
  }
}

void load_model::RecordCriticalRefusal(const call& refused) {
  ++result_.critical_refused;
  const auto first =
      nodes_.begin() + std::ptrdiff_t{refused.service} * kTargetsPerService;
  const bool early =
      std::any_of(first, first + kTargetsPerService, [&](const node& each) {
        return !each.down && !Silent(each) && !each.controller.empty() &&
               each.controller[0]
                       .Report(refused.where.method, now_)
                       .admission_level < LowestRank(priority::kCritical);
      });
  result_.critical_refused_early += early ? 1 : 0;
}

}  // namespace pistachioweir
