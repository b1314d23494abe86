// The load model's inbound side and its targets: admission, slots, service
// time, crashes.
#include <algorithm>

#include "tools/load_model/model.h"

namespace pistachioweir {

namespace {

constexpr milliseconds kPoisonTime{5};
constexpr double kScatterShape = 4;  // Of a gamma distribution: deviation 1/2.

double Seconds(duration time) {
  return std::chrono::duration<double>(time).count();
}

}  // namespace

void load_model::OnExecutionArrives(std::uint32_t index) {
  execution& arrived = executions_[index];
  node& at = nodes_[arrived.node];
  if (Silent(at)) {
    return FreeExecution(index);
  }
  if (at.down && at.controller.empty()) {
    return Answer(index, call_end::kFailed, true);
  }
  if (Has(mechanism::kQuarantine) && !at.suspects.empty() &&
      at.suspects.Remaining(FingerprintOfRoot(arrived.root), now_).count() >
          0) {
    return Refuse(index, milliseconds(1000));
  }
  if (at.controller.empty()) {
    return Admitted(index);
  }
  const admission_request request{.level = where_.methods[arrived.method].level,
                                  .ticket = roots_[arrived.root].ticket,
                                  .method = arrived.method,
                                  .deadline = arrived.deadline,
                                  .cookie = index};
  const admission_decision decision = at.controller[0].Offer(
      request, now_, static_cast<std::uint32_t>(random_()));
  arrived.handle = decision.handle;
  arrived.state = execution_state::kQueued;
  if (decision.action == admission_action::kRun) {
    Admitted(index);
  } else if (decision.action == admission_action::kRefused) {
    Refuse(index, decision.retry_after);
  }
  Drain(arrived.node);
}

void load_model::Drain(std::uint32_t node_index) {
  node& at = nodes_[node_index];
  if (at.controller.empty()) {
    return;
  }
  admission_controller& controller = at.controller[0];
  while (const auto next =
             controller.TakeNext(now_, static_cast<std::uint32_t>(random_()))) {
    const auto index = static_cast<std::uint32_t>(next->cookie);
    if (next->decision.action == admission_action::kRun) {
      Admitted(index);
    } else {
      Refuse(index, next->decision.retry_after);
    }
  }
  const time_point wake = std::max(controller.next_wakeup(), now_);
  if (controller.next_wakeup() != time_point::max() && wake < at.wake_at) {
    at.wake_at = wake;
    Schedule(wake, event_kind::kWake, node_index);
  }
}

void load_model::Refuse(std::uint32_t index, milliseconds retry_after) {
  executions_[index].retry_after = retry_after;
  Answer(index, call_end::kRefused);
}

void load_model::Admitted(std::uint32_t index) {
  execution& admitted = executions_[index];
  node& at = nodes_[admitted.node];
  admitted.admitted = !at.controller.empty();
  admitted.state = execution_state::kWaits;
  if (at.running < RealSlots(at)) {
    return StartPhase(index);
  }
  const model_service& service = where_.chain[at.service];
  if (at.waiting.size() + service.slots >= service.connections) {
    return Answer(index, call_end::kRefused);
  }
  at.waiting.push_back({index, admitted.generation});
}

void load_model::StartPhase(std::uint32_t index) {
  execution& started = executions_[index];
  node& at = nodes_[started.node];
  root_request& root = roots_[started.root];
  if (started.phase == 0) {
    ++at.running;
    at.executing.push_back(index);
    if (root.tries == started.try_number) {
      ++root.executions;
      result_.most_executions =
          std::max(result_.most_executions, root.executions);
    }
    const bool is_deepest = at.service + 1 == where_.chain.size();
    const double length = is_deepest ? root.time_factor : 1;
    std::gamma_distribution<double> scatter(kScatterShape, 1 / kScatterShape);
    started.own_time = std::chrono::duration_cast<duration>(
        where_.chain[at.service].own_time * length * TimeFactor(at) *
        scatter(random_));
  }
  const bool deepest = at.service + 1 == where_.chain.size();
  started.phase_time = deepest ? started.own_time : started.own_time / 2;
  if (deepest && root.poison) {
    started.phase_time = kPoisonTime;
  }
  started.state = execution_state::kRuns;
  started.phase_started = now_;
  Schedule(now_ + started.phase_time, event_kind::kPhaseEnds, index,
           started.generation);
}

void load_model::OnPhaseEnds(std::uint32_t index) {
  execution& ended = executions_[index];
  const node& at = nodes_[ended.node];
  if (ended.state != execution_state::kRuns) {
    return;
  }
  CountWork(ended);
  const bool deepest = at.service + 1 == where_.chain.size();
  if (deepest && roots_[ended.root].poison) {
    return Crash(ended.node);
  }
  if (deepest || ended.phase == 1) {
    return Answer(index, call_end::kOk);
  }
  ended.phase = 1;
  ended.state = execution_state::kCalls;
  ended.call_started = now_;
  const std::uint32_t credit = ended.credit;
  ended.credit = 0;
  BeginCall(ended.root, {index, ended.generation}, at.service + 1, ended.node,
            ended.deadline, credit);
}

void load_model::CountWork(execution& running) {
  const double work = Seconds(now_ - running.phase_started);
  running.work += work;
  if (TriggerNow()) {
    result_.work += work;
  }
}

void load_model::ChildEnded(std::uint32_t index, call_end end) {
  execution& parent = executions_[index];
  parent.downstream += now_ - parent.call_started;
  parent.child = {};
  if (end == call_end::kOk) {
    return StartPhase(index);
  }
  Answer(index, call_end::kFailed);
}

// Frees what the execution holds: its slot in the target and in the daemon.
void load_model::LeaveTarget(std::uint32_t index, bool answered) {
  execution& leaving = executions_[index];
  const std::uint32_t node_index = leaving.node;
  node& at = nodes_[node_index];
  const bool runs = leaving.state == execution_state::kRuns ||
                    leaving.state == execution_state::kCalls;
  if (leaving.admitted) {
    leaving.admitted = false;
    at.controller[0].Finish(
        leaving.handle,
        {.downstream = leaving.downstream, .answered = answered}, now_);
  }
  leaving.state = execution_state::kAnswers;
  if (!runs) {
    return;
  }
  --at.running;
  std::erase(at.executing, index);
  while (!at.waiting.empty() && at.running < RealSlots(at) && !at.down) {
    const entity_ref next = at.waiting.front();
    at.waiting.pop_front();
    if (IsLive(next, executions_) &&
        executions_[next.index].state == execution_state::kWaits) {
      StartPhase(next.index);
    }
  }
}

void load_model::Answer(std::uint32_t index, call_end end, bool lost) {
  execution& ended = executions_[index];
  const std::uint32_t node_index = ended.node;
  node& at = nodes_[node_index];
  const bool answered = end == call_end::kOk;
  if (answered && !at.suspects.empty()) {
    at.suspects.OnCompleted(FingerprintOfRoot(ended.root));
  }
  ended.end = end;
  LeaveTarget(index, answered);
  ended.lost = lost;
  if (!at.controller.empty()) {
    ended.report = at.controller[0].Report(ended.method, now_);
  } else {
    ended.report = {.in_flight = at.running,
                    .queued = static_cast<std::uint32_t>(at.waiting.size()),
                    .limit = where_.chain[at.service].slots};
  }
  if (!Silent(at)) {
    Schedule(now_ + Latency(node_index, ended.from), event_kind::kAnswerArrives,
             index, ended.generation);
  }
  ScheduleDrain(node_index);
}

// Not at once: the caller of this may hold what draining changes.
void load_model::ScheduleDrain(std::uint32_t node_index) {
  node& at = nodes_[node_index];
  if (!at.controller.empty() && at.wake_at > now_) {
    at.wake_at = now_;
    Schedule(now_, event_kind::kWake, node_index);
  }
}

void load_model::OnCancel(std::uint32_t index) {
  execution& cancelled = executions_[index];
  const std::uint32_t node_index = cancelled.node;
  node& at = nodes_[node_index];
  switch (cancelled.state) {
    case execution_state::kAnswers:
      return;
    case execution_state::kQueued:
      at.controller[0].Cancel(cancelled.handle);
      break;
    case execution_state::kRuns:
      CountWork(cancelled);
      break;
    case execution_state::kCalls:
      if (IsLive(cancelled.child, calls_)) {
        Abandon(cancelled.child.index, call_result::kCancelled);
      }
      break;
    case execution_state::kTravels:
    case execution_state::kWaits:
      break;
  }
  LeaveTarget(index, false);
  Waste(executions_[index].work);
  FreeExecution(index);
  ScheduleDrain(node_index);
}

// All that the target was working on is lost; its daemon stays.
void load_model::Crash(std::uint32_t node_index) {
  node& at = nodes_[node_index];
  if (at.down) {
    return;
  }
  ++result_.crashes;
  ++at.crashes;
  at.down = true;
  const crash_id crash = CrashIdOf(node_index + 1, at.crashes);
  std::vector<std::uint32_t> lost = at.executing;
  for (const entity_ref waiting : at.waiting) {
    if (IsLive(waiting, executions_)) {
      lost.push_back(waiting.index);
    }
  }
  at.waiting.clear();
  for (const std::uint32_t index : lost) {
    execution& interrupted = executions_[index];
    if (interrupted.state == execution_state::kRuns) {
      CountWork(interrupted);
    }
    if (interrupted.state == execution_state::kCalls &&
        IsLive(interrupted.child, calls_)) {
      Abandon(interrupted.child.index, call_result::kCancelled);
    }
    if (Has(mechanism::kQuarantine)) {
      at.suspects.OnCrash(FingerprintOfRoot(interrupted.root), crash, now_);
    }
    Answer(index, call_end::kFailed, true);
  }
  for (admission_controller& controller : at.controller) {
    controller.SetAvailable(false);
  }
  Schedule(now_ + kRestartTime, event_kind::kRestart, node_index);
  // What has changed is told at once, as a rumour.
  Schedule(now_ + where_.data_centre_latency, event_kind::kGossip, 0, 1);
}

void load_model::OnRestart(std::uint32_t node_index) {
  node& at = nodes_[node_index];
  at.down = false;
  at.cold_from = now_;
  for (admission_controller& controller : at.controller) {
    controller.SetAvailable(true);
  }
  ScheduleDrain(node_index);
}

}  // namespace pistachioweir
