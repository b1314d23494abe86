// Serving calls for the target beside the daemon.
#include "src/daemon/inbound_role.h"

#include <utility>

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <optional>
#include <string>

#include "include/fleet/fleet_agent.h"
#include "src/daemon/crash_guard.h"
#include "src/daemon/inbound_call.h"
#include "src/daemon/observer.h"
#include "src/daemon/serving_calls.h"
#include "src/net/worker_pool.h"

namespace pistachioweir {
namespace {

constexpr std::size_t kShards = 16;

// Come back times where the admission state has none to offer.
constexpr milliseconds kDrainRetryAfter{50};
constexpr milliseconds kNotReadyRetryAfter{500};
constexpr milliseconds kTargetDownRetryAfter{500};

executor_table_options ExecutorOptions(incarnation_id self) {
  executor_table_options options{.self = self,
                                 .started = monotonic_clock::now()};
  options.max_records /= kShards;
  options.cancel_reserve /= kShards;
  options.max_answer_bytes /= kShards;
  return options;
}

}  // namespace

inbound_role::inbound_role(const inbound_options& options)
    : settings_(options.settings),
      incarnation_(options.incarnation),
      workers_(options.workers),
      fleet_(options.fleet),
      serving_(options.serving),
      crashes_(options.crashes),
      target_(options.workers, options.settings.target),
      watch_(options.watch),
      admission_(options.workers,
                 [this](const admission_event& event) { Carry(event); }),
      watch_target_(options.workers,
                    options.settings.target,
                    [this](bool up) { admission_.SetAvailable(up); }),
      // One start for all shards: they must agree on the epoch.
      executor_(kShards,
                [made = ExecutorOptions(options.incarnation)](
                    std::size_t /*shard*/) { return executor_table(made); }),
      calls_(kShards, [](std::size_t /*shard*/) { return call_map(); }) {}

inbound_role::~inbound_role() = default;

void inbound_role::SetManifest(
    std::shared_ptr<const service_manifest> manifest) {
  admission_.Reconfigure(manifest->slots,
                         static_cast<std::uint32_t>(manifest->methods.size()));
  std::vector<method_metrics*> counted;
  for (const method_spec& method : manifest->methods) {
    counted.push_back(watch_.metrics().ForMethod(
        call_role::kInbound, manifest->service, method.name));
  }
  const std::lock_guard lock(manifest_mutex_);
  manifest_ = std::move(manifest);
  counted_ = std::move(counted);
}

method_metrics* inbound_role::CountersOf(const call& counted) const {
  if (!counted.resolved) {
    return nullptr;
  }
  const std::lock_guard lock(manifest_mutex_);
  return counted.method < counted_.size() ? counted_[counted.method] : nullptr;
}

void inbound_role::Report(const call& ended, const answer_envelope& answer) {
  watch_.OnCallEnded(CountersOf(ended),
                     {.service = ended.request.service,
                      .method = ended.request.method,
                      .level = ended.request.level,
                      .result = answer.result,
                      .latency = monotonic_clock::now() - ended.arrived,
                      .vm = settings_.vm,
                      .admission_level = answer.admission_level,
                      .queued = answer.queued,
                      .limit = answer.limit});
}

std::shared_ptr<const service_manifest> inbound_role::Manifest() const {
  const std::lock_guard lock(manifest_mutex_);
  return manifest_;
}

void inbound_role::Drain() {
  draining_ = true;
}

auto inbound_role::Serve(std::size_t worker,
                         call_envelope request,
                         callback done) -> call_ptr {
  auto served =
      std::make_shared<call>(worker, std::move(request), std::move(done));
  served->id = next_id_.fetch_add(1);
  ++in_progress_;
  calls_.With(served->id,
              [&](call_map& calls) { calls.emplace(served->id, served); });
  const auto& binding = served->request.binding;
  if (binding) {
    const attempt_decision decision = executor_.With(
        executor_table::HashOf(*binding), [&](executor_table& table) {
          return table.Accept(*binding, waiter_id{served->id}, served->arrived);
        });
    if (decision.step == attempt_step::kWait) {
      return served;
    }
    if (decision.step == attempt_step::kAnswer) {
      Deliver(served, decision.result, 0);
      return served;
    }
  }
  const outcome refusal = Check(*served);
  if (refusal.kind == outcome_kind::kNotExecuted) {
    Settle(served, refusal);
    return served;
  }
  Admit(served);
  return served;
}

// Refuses what must not reach the target whatever the load; kUnknown means that
// nothing speaks against the call.
outcome inbound_role::Check(call& checked) {
  const auto manifest = Manifest();
  // A daemon that was paused doesn't know yet whether its target is leaving, or
  // which manifest is in force by now.
  // A newcomer may hold an older manifest, and its target's own calls would be
  // refused here.
  if (manifest == nullptr || !ready_ || !fleet_.IsFresh(checked.arrived)) {
    return NotExecuted(reason::kNotReady, kNotReadyRetryAfter);
  }
  if (draining_) {
    return NotExecuted(reason::kDraining, kDrainRetryAfter);
  }
  if (checked.request.service != settings_.service) {
    return NotExecuted(reason::kUnknownService);
  }
  const method_spec* method = manifest->FindMethod(checked.request.method);
  if (method == nullptr) {
    return NotExecuted(reason::kUnknownMethod);
  }
  checked.method =
      static_cast<std::uint32_t>(method - manifest->methods.data());
  checked.resolved = true;
  // A caller's daemon with an older manifest takes the method for one that may
  // be tried twice. The target's own daemon has the last word.
  if (method->at_most_once && !checked.request.binding) {
    return NotExecuted(reason::kKeyRequired);
  }
  if (checked.deadline <= checked.arrived) {
    return NotExecuted(reason::kDeadlinePassed);
  }
  const milliseconds left = crashes_.Refused(checked.request, checked.arrived);
  if (left > milliseconds(0)) {
    return NotExecuted(reason::kQuarantined, left);
  }
  return Unknown(reason::kNone);
}

void inbound_role::Admit(const call_ptr& offered) {
  const admission_request request{.level = offered->request.level,
                                  .ticket = offered->request.ticket,
                                  .method = offered->method,
                                  .is_nested = offered->request.depth > 0,
                                  .deadline = offered->deadline,
                                  .cookie = offered->id};
  const admission_decision decision =
      admission_.Offer(request, offered->arrived, [&](admission_handle handle) {
        // Another worker may start the call right after.
        offered->handle = handle;
        offered->state = call::step::kQueued;
      });
  if (decision.action == admission_action::kRun) {
    Start(offered);
  } else if (decision.action == admission_action::kRefused) {
    Settle(offered, NotExecuted(decision.why, decision.retry_after));
  }
}

void inbound_role::Start(const call_ptr& started) {
  const auto& binding = started->request.binding;
  const bool cancelled =
      binding && !executor_.With(executor_table::HashOf(*binding),
                                 [&](executor_table& table) {
                                   return table.Start(*binding);
                                 });
  if (cancelled || started->done == nullptr) {
    // Nobody waits; give the slot back.
    OnTargetResult(started, {.end = exchange_end::kCancelled});
    return;
  }
  started->state = call::step::kRunning;
  started->started = monotonic_clock::now();
  const call_envelope& request = started->request;
  started->context = serving_.Open({.service = request.service,
                                    .method = request.method,
                                    .deadline = started->deadline,
                                    .level = request.level,
                                    .ticket = request.ticket,
                                    .depth = request.depth,
                                    .retry_credit = request.retry_credit,
                                    .binding = binding},
                                   started->method);
  if (!started->context) {
    EndRun(started, NotExecuted(reason::kTableFull, kDrainRetryAfter), {});
    return;
  }
  started->run = target_.Run(started->worker,
                             {.method = request.method,
                              .context = ToString(*started->context),
                              .content_type = request.content_type,
                              .body = request.body,
                              .deadline = started->deadline},
                             [this, started](target_result result) {
                               OnTargetResult(started, std::move(result));
                             });
}

void inbound_role::OnTargetResult(const call_ptr& ended, target_result result) {
  const serving_summary summary =
      ended->context ? serving_.Close(*ended->context) : serving_summary{};
  outcome told = OutcomeOf(*ended, std::move(result));
  // The target's own refusal speaks for itself only. A call that it made before
  // may have run elsewhere, and "not executed" would be untrue.
  if (told.kind == outcome_kind::kNotExecuted && summary.child_may_have_run) {
    told = Unknown(told.why);
  }
  ended->request.retry_credit = summary.unspent_credit;
  EndRun(ended, told, summary.downstream);
}

// Gives the slot back and answers.
void inbound_role::EndRun(const call_ptr& ended,
                          const outcome& result,
                          duration downstream) {
  admission_.Finish(ended->handle,
                    {.downstream = downstream,
                     .answered = result.kind == outcome_kind::kCompleted,
                     .target_refused = result.why == reason::kTargetRefused});
  Settle(ended, result);
}

outcome inbound_role::OutcomeOf(call& ended, target_result result) {
  switch (result.end) {
    case exchange_end::kAnswered: {
      crashes_.OnCompleted(ended.request);
      const auto manifest = Manifest();
      constexpr int kUnavailable = 503;
      // Guard REFUSAL_FLAG in spec/outcome_truth.pml. Most targets answer 503
      // for failures half-way, too; only the manifest says that this one
      // doesn't.
      if (result.reply.status == kUnavailable &&
          manifest->refusal_is_not_executed) {
        return NotExecuted(reason::kTargetRefused, kDrainRetryAfter);
      }
      return Completed(std::move(result.reply));
    }
    case exchange_end::kNotSent:
      watch_target_.NoteRefused();
      return NotExecuted(reason::kNoTarget, kTargetDownRetryAfter);
    case exchange_end::kLost:
      // Guard CRASH_IS_UNKNOWN in spec/outcome_truth.pml. A target that dies
      // may have done its work, or half of it, before.
      crashes_.OnLost(ended.request, ended.started);
      return Unknown(reason::kTargetFailed);
    case exchange_end::kTimedOut:
      return Unknown(reason::kTimeout);
    case exchange_end::kCancelled:
      break;
  }
  return Unknown(reason::kCancelled);
}

// Records the result and answers everybody who waits for it.
void inbound_role::Settle(const call_ptr& settled, const outcome& result) {
  if (settled->state == call::step::kSettled) {
    return;
  }
  settled->state = call::step::kSettled;
  settled->run = nullptr;
  const std::uint32_t unspent = settled->request.retry_credit;
  const auto& binding = settled->request.binding;
  if (!binding) {
    Deliver(settled, result, unspent);
    return;
  }
  const finished_attempt finished = executor_.With(
      executor_table::HashOf(*binding), [&](executor_table& table) {
        return table.Finish(*binding, result, monotonic_clock::now());
      });
  for (const waiter_id waiter : finished.waiters) {
    if (const call_ptr waiting = Find(static_cast<std::uint64_t>(waiter))) {
      Deliver(waiting, finished.result, unspent);
    }
  }
}

// Answers one waiting call, on its own worker.
void inbound_role::Deliver(const call_ptr& waiter,
                           const outcome& result,
                           std::uint32_t unspent) {
  boost::asio::dispatch(workers_.context(waiter->worker), [this, waiter, result,
                                                           unspent] {
    calls_.With(waiter->id, [&](call_map& calls) { calls.erase(waiter->id); });
    callback done = std::exchange(waiter->done, nullptr);
    if (done == nullptr) {
      return;
    }
    --in_progress_;
    answer_envelope answer = Describe(waiter->method);
    answer.result = result;
    answer.unspent_credit = unspent;
    Report(*waiter, answer);
    done(std::move(answer));
  });
}

answer_envelope inbound_role::Hello() {
  return Describe(0);
}

answer_envelope inbound_role::Describe(std::uint32_t method) {
  const load_report load = admission_.Report(method);
  answer_envelope answer;
  answer.admission_level = load.admission_level;
  answer.in_flight = load.in_flight;
  answer.queued = load.queued;
  answer.limit = load.limit;
  answer.executor = incarnation_;
  answer.epoch = Epoch();
  answer.draining = draining_;
  return answer;
}

epoch_id inbound_role::Epoch() {
  return executor_.With(0, [](executor_table& table) {
    table.Tick(monotonic_clock::now());
    return table.epoch();
  });
}

void inbound_role::Abandon(const call_ptr& abandoned) {
  if (abandoned->done == nullptr || abandoned->request.binding) {
    return;
  }
  if (abandoned->state == call::step::kQueued &&
      admission_.Cancel(abandoned->handle)) {
    Settle(abandoned, NotExecuted(reason::kCancelled));
  } else if (abandoned->run != nullptr) {
    http_client::Cancel(abandoned->run);
  }
}

answer_envelope inbound_role::CancelAttempt(const execution_binding& attempt) {
  const cancel_decision decision = executor_.With(
      executor_table::HashOf(attempt), [&](executor_table& table) {
        return table.Cancel(attempt, monotonic_clock::now());
      });
  for (const waiter_id waiter : decision.waiters) {
    if (const call_ptr waiting = Find(static_cast<std::uint64_t>(waiter))) {
      Deliver(waiting, decision.result, waiting->request.retry_credit);
    }
  }
  answer_envelope answer = Hello();
  answer.result = decision.result;
  return answer;
}

void inbound_role::SetDownstreamLevel(std::uint32_t method,
                                      admission_rank level) {
  admission_.SetDownstreamLevel(method, level);
}

void inbound_role::Tick() {
  const time_point now = monotonic_clock::now();
  executor_.ForEach([now](executor_table& table) { table.Tick(now); });
  crashes_.Expire(now);
  admission_.Wake();
}

// Starts or refuses a call that was queued, on its own worker.
void inbound_role::Carry(const admission_event& event) {
  const call_ptr waiting = Find(event.cookie);
  if (waiting == nullptr) {
    // A cancelled attempt is answered at once but leaves the queue only when
    // its turn comes. Its slot must not stay taken then.
    if (event.decision.action == admission_action::kRun) {
      admission_.Finish(event.decision.handle, {.answered = false});
    }
    return;
  }
  boost::asio::post(workers_.context(waiting->worker),
                    [this, waiting, decision = event.decision] {
                      if (decision.action == admission_action::kRun) {
                        waiting->handle = decision.handle;
                        Start(waiting);
                      } else {
                        Settle(waiting,
                               NotExecuted(decision.why, decision.retry_after));
                      }
                    });
}

auto inbound_role::Find(std::uint64_t id) -> call_ptr {
  return calls_.With(id, [id](call_map& calls) {
    const auto found = calls.find(id);
    return found == calls.end() ? nullptr : found->second;
  });
}

load_report inbound_role::Load() const {
  return admission_.Report(0);
}

}  // namespace pistachioweir
