// Placing calls and trying again.
#include "src/daemon/outbound_role.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <optional>
#include <utility>

#include "include/base/random_bits.h"
#include "include/fleet/fleet_agent.h"
#include "src/daemon/inbound_role.h"
#include "src/daemon/observer.h"
#include "src/daemon/outbound_call.h"
#include "src/daemon/peer_directory.h"
#include "src/daemon/peer_paths.h"
#include "src/net/worker_pool.h"

namespace pistachioweir {
namespace {

// With less time than this left, another try only adds load: it can't be sent,
// run and answered in time.
constexpr milliseconds kLeastTimeForRetry{3};

constexpr milliseconds kNoTargetRetryAfter{500};

// A call without an answer for this part of its time is tried elsewhere: early
// enough for a whole second try, and late enough that few calls to a target
// that is well are given up.
constexpr int kSuspicionShare = 3;
constexpr milliseconds kLeastSuspicionTime{20};

// Whether another target may do better. The rest is about the request itself.
bool DependsOnTarget(reason why) {
  switch (why) {
    case reason::kNotReady:
    case reason::kDraining:
    case reason::kNoTarget:
    case reason::kOverload:
    case reason::kQueueFull:
    case reason::kDeadlineInfeasible:
    case reason::kTableFull:
    case reason::kTargetRefused:
      return true;
    default:
      return false;
  }
}

// What goes on behind a call that may be given up.
struct attempt_handle {
  std::function<void()> cancel;
};

}  // namespace

call_result ResultOf(const peer_result& result) {
  switch (result.end) {
    case exchange_end::kTimedOut:
      return call_result::kTimedOut;
    case exchange_end::kCancelled:
      return call_result::kCancelled;
    case exchange_end::kNotSent:
    case exchange_end::kLost:
      return call_result::kFailed;
    case exchange_end::kAnswered:
      break;
  }
  if (!result.answer) {
    return call_result::kFailed;
  }
  switch (result.answer->result.kind) {
    case outcome_kind::kCompleted:
      return call_result::kAnswered;
    case outcome_kind::kNotExecuted:
      return result.answer->result.why == reason::kNoTarget
                 ? call_result::kFailed
                 : call_result::kRefused;
    case outcome_kind::kUnknown:
      break;
  }
  return result.answer->result.why == reason::kTimeout ? call_result::kTimedOut
                                                       : call_result::kFailed;
}

outcome OutcomeOf(const peer_result& result) {
  switch (result.end) {
    case exchange_end::kAnswered:
      break;
    case exchange_end::kNotSent:
      return NotExecuted(reason::kNoTarget, kNoTargetRetryAfter);
    // Guard TIMEOUT_IS_UNKNOWN in spec/outcome_truth.pml. A request that was
    // sent may stand in a queue or a paused daemon and run later.
    case exchange_end::kTimedOut:
      return Unknown(reason::kTimeout);
    case exchange_end::kCancelled:
      return Unknown(reason::kCancelled);
    case exchange_end::kLost:
      return Unknown(reason::kConnectionLost);
  }
  // An answer that can't be read says nothing about what ran.
  return result.answer ? result.answer->result
                       : Unknown(reason::kConnectionLost);
}

outbound_role::outbound_role(const outbound_options& options)
    : settings_(options.settings),
      workers_(options.workers),
      peers_(options.peers),
      directory_(options.directory),
      inbound_(options.inbound),
      fleet_(options.fleet),
      watch_(options.watch) {}

outbound_role::~outbound_role() = default;

void outbound_role::SetView(const std::shared_ptr<const fleet_view>& view) {
  const time_point now = monotonic_clock::now();
  for (const fleet_service& service : view->services) {
    std::vector<target_info> targets;
    for (const fleet_target& target : service.targets) {
      if (target.state == member_state::kDead) {
        continue;
      }
      targets.push_back(
          {.vm = target.vm,
           .data_centre = target.data_centre,
           .incarnation = target.incarnation.value_or(incarnation_id{}),
           .leaving = target.state == member_state::kLeaving});
    }
    const auto found = RouteTo(service.service);
    const std::lock_guard lock(found->mutex);
    found->targets.SetTargets(targets, now);
  }
}

auto outbound_role::RouteTo(const std::string& service)
    -> std::shared_ptr<route> {
  const std::lock_guard lock(routes_mutex_);
  auto& found = routes_[service];
  if (found == nullptr) {
    found = std::make_shared<route>(
        balancer_options{.data_centre = settings_.data_centre});
  }
  return found;
}

auto outbound_role::Call(std::size_t worker,
                         outbound_request request,
                         callback done) -> call_ptr {
  auto placed =
      std::make_shared<call>(worker, std::move(request), std::move(done));
  const auto route = RouteTo(placed->request.request.service);
  {
    const std::lock_guard lock(route->mutex);
    route->retries.OnFirstTry();
  }
  Try(placed);
  return placed;
}

void outbound_role::Try(const call_ptr& placed) {
  chosen_target chosen;
  placement where = Choose(placed->request, placed->tried, &chosen);
  if (!where.placed && placed->suspected) {
    // Only the connection may be at fault, and there is no other target.
    placed->tried.clear();
    where = Choose(placed->request, placed->tried, &chosen);
  }
  if (!where.placed) {
    Finish(placed, NotExecuted(where.why, where.retry_after));
    return;
  }
  const std::uint32_t lent = placed->request.leaf ? 0 : placed->credit.Lend();
  call_envelope envelope = placed->request.request;
  envelope.retry_credit = lent;
  SendTo(
      placed->worker, chosen.vm, std::move(envelope), placed->request.deadline,
      /*fresh=*/std::exchange(placed->suspected, false),
      [this, placed, chosen, lent,
       sent = monotonic_clock::now()](peer_result result) {
        OnResult(placed, chosen, sent, lent, std::move(result));
      },
      &placed->attempt);
  placed->target = chosen.vm;
  ArmSuspicion(placed);
}

// Made for connections that go silent for good and VMs that stop without a
// word: nothing tells the caller, whose call would wait out its deadline. Under
// overload the same silence is a queue, and a second try would only add to it;
// so calls to a daemon that reports a queue or a level are left alone, and each
// early try takes credit and a token like any other.
void outbound_role::ArmSuspicion(const call_ptr& placed) {
  const bool remote = placed->target != settings_.vm;
  if (!remote || placed->credit.available() == 0 ||
      directory_.IsLoaded(placed->target)) {
    return;
  }
  const time_point now = monotonic_clock::now();
  const duration share = (placed->request.deadline - now) / kSuspicionShare;
  placed->suspicion.emplace(workers_.context(placed->worker),
                            std::max<duration>(share, kLeastSuspicionTime));
  placed->suspicion->async_wait(
      [this, placed](boost::system::error_code error) {
        if (!error) {
          OnSuspicion(placed);
        }
      });
}

void outbound_role::OnSuspicion(const call_ptr& placed) {
  const auto attempt =
      std::static_pointer_cast<attempt_handle>(placed->attempt);
  if (attempt == nullptr || placed->done == nullptr ||
      !MayRetry(*placed, Unknown(reason::kTimeout))) {
    return;
  }
  placed->suspected = true;
  if (const auto address = directory_.AddressOf(placed->target)) {
    peers_.DropIdle(placed->worker, *address);
  }
  attempt->cancel();
}

placement outbound_role::Choose(const outbound_request& request,
                                const std::vector<vm_id>& tried,
                                chosen_target* chosen) {
  placement_request wanted{.method = request.method,
                           .level = request.request.level,
                           .ticket = request.request.ticket,
                           .is_nested = request.request.depth > 0};
  const auto route = RouteTo(request.request.service);
  const time_point now = monotonic_clock::now();
  const std::lock_guard lock(route->mutex);
  // The balancer knows targets by its own references, the call by their VMs;
  // each round rules out one target that was tried.
  while (wanted.tried.count < tried_targets::kMax) {
    placement where = route->targets.Place(wanted, now, RandomBits64());
    if (!where.placed) {
      return where;
    }
    chosen->ref = where.target;
    chosen->vm = vm_id(route->targets.VmOf(where.target));
    if (std::ranges::find(tried, chosen->vm) == tried.end()) {
      return where;
    }
    route->targets.Finish(where.target, wanted.method, call_result::kCancelled,
                          duration(0), nullptr, now);
    wanted.tried.refs[wanted.tried.count++] = where.target;
  }
  return {.placed = false,
          .why = reason::kNoTarget,
          .retry_after = kNoTargetRetryAfter};
}

void outbound_role::Release(const outbound_request& request,
                            const chosen_target& chosen,
                            call_result result,
                            duration latency,
                            const answer_envelope* answer) {
  const time_point now = monotonic_clock::now();
  const auto route = RouteTo(request.request.service);
  {
    const std::lock_guard lock(route->mutex);
    if (answer == nullptr) {
      route->targets.Finish(chosen.ref, request.method, result, latency,
                            nullptr, now);
    } else {
      const load_report report{.admission_level = answer->admission_level,
                               .in_flight = answer->in_flight,
                               .queued = answer->queued,
                               .limit = answer->limit};
      route->targets.Finish(chosen.ref, request.method, result, latency,
                            &report, now);
      if (answer->draining) {
        route->targets.MarkLeaving(chosen.ref);
      }
    }
  }
  if (answer == nullptr) {
    // A call that this side gave up says nothing of the other.
    if (result != call_result::kCancelled) {
      directory_.NoteFailure(chosen.vm);
      fleet_.NoteCallFailed(chosen.vm, incarnation_id{});
    }
    return;
  }
  directory_.NoteLoad(chosen.vm,
                      answer->queued > 0 || answer->admission_level > 0);
  const bool news = directory_.NoteStart(
      chosen.vm, {.incarnation = answer->executor, .epoch = answer->epoch},
      now);
  if (answer->draining) {
    fleet_.NoteLeaving(chosen.vm, answer->executor);
  } else if (news) {
    fleet_.NoteCallAnswered(chosen.vm, answer->executor);
  }
}

void outbound_role::SendTo(std::size_t worker,
                           const vm_id& vm,
                           call_envelope envelope,
                           time_point deadline,
                           bool fresh,
                           std::function<void(peer_result)> done,
                           std::shared_ptr<void>* cancel_handle) {
  const time_point now = monotonic_clock::now();
  envelope.remaining = TimeLeft(deadline, now);
  if (vm == settings_.vm) {
    auto served = inbound_.Serve(
        worker, std::move(envelope),
        [this, worker, done = std::move(done)](answer_envelope answer) {
          // Later, as an answer from elsewhere comes: the call that is being
          // sent is not in place yet if it is refused at once.
          boost::asio::post(workers_.context(worker),
                            [done, answer = std::move(answer)]() mutable {
                              done({.end = exchange_end::kAnswered,
                                    .answer = std::move(answer)});
                            });
        });
    if (cancel_handle != nullptr) {
      *cancel_handle = std::make_shared<attempt_handle>(attempt_handle{
          .cancel = [this, served] { inbound_.Abandon(served); }});
    }
    return;
  }
  const auto address = directory_.AddressOf(vm);
  if (!address) {
    boost::asio::post(workers_.context(worker),
                      [done = std::move(done)] { done({}); });
    return;
  }
  auto exchange = peers_.Send(worker, *address,
                              {.path = kPeerCallPath,
                               .body = Encode(envelope),
                               .deadline = deadline,
                               .fresh = fresh},
                              std::move(done));
  if (cancel_handle != nullptr) {
    *cancel_handle = std::make_shared<attempt_handle>(attempt_handle{
        .cancel = [exchange] { http_client::Cancel(exchange); }});
  }
}

void outbound_role::OnResult(const call_ptr& placed,
                             const chosen_target& chosen,
                             time_point sent,
                             std::uint32_t lent,
                             peer_result result) {
  placed->attempt = nullptr;
  placed->suspicion.reset();
  if (placed->suspected && result.end == exchange_end::kCancelled) {
    result.end = exchange_end::kTimedOut;
  }
  const answer_envelope* answer = result.answer ? &*result.answer : nullptr;
  Release(placed->request, chosen, ResultOf(result),
          monotonic_clock::now() - sent, answer);
  if (answer != nullptr) {
    placed->credit.Return(lent, answer->unspent_credit);
  } else {
    placed->credit.Lose(lent);
  }
  const outcome told = OutcomeOf(result);
  if (told.kind == outcome_kind::kUnknown) {
    placed->may_have_run = true;
    placed->unknown_reason = told.why;
  }
  placed->tried.push_back(chosen.vm);
  const bool again =
      placed->done != nullptr && (placed->suspected || MayRetry(*placed, told));
  if (again) {
    Try(placed);
    return;
  }
  Finish(placed, told);
}

// Made for a service that fails or refuses for everybody at once, while each
// hop above it would try again: what one root request may spend is bounded by
// its credit, what this daemon adds to the load by the ratio, and a try that
// can't finish in time isn't made.
bool outbound_role::MayRetry(call& failed, const outcome& result) {
  if (result.kind == outcome_kind::kCompleted) {
    return false;
  }
  if (result.kind == outcome_kind::kNotExecuted &&
      !DependsOnTarget(result.why)) {
    return false;
  }
  const time_point now = monotonic_clock::now();
  if (failed.request.deadline - now < kLeastTimeForRetry) {
    return false;
  }
  const auto route = RouteTo(failed.request.request.service);
  {
    const std::lock_guard lock(route->mutex);
    placement_request wanted{.method = failed.request.method,
                             .level = failed.request.request.level,
                             .ticket = failed.request.request.ticket,
                             .is_nested = failed.request.request.depth > 0};
    wanted.tried.count = static_cast<std::uint32_t>(
        std::min<std::size_t>(failed.tried.size(), tried_targets::kMax));
    if (failed.credit.available() == 0 ||
        !route->targets.MayTryElsewhere(wanted, now) ||
        !route->retries.TrySpend()) {
      watch_.metrics().Add(counter::kRetriesDenied);
      return false;
    }
  }
  watch_.metrics().Add(counter::kRetries);
  return failed.credit.Spend();
}

void outbound_role::Finish(const call_ptr& finished, const outcome& result) {
  callback done = std::exchange(finished->done, nullptr);
  if (done == nullptr) {
    return;
  }
  outbound_result told{.result = result,
                       .unspent_credit = finished->credit.available()};
  // Guard EVERY_ATTEMPT in spec/outcome_truth.pml. An earlier attempt may have
  // run although the last one did not.
  if (result.kind == outcome_kind::kNotExecuted && finished->may_have_run) {
    told.result = Unknown(finished->unknown_reason);
  }
  done(std::move(told));
}

admission_rank outbound_role::EntranceLevel(const std::string& service,
                                            std::uint32_t method) {
  const auto route = RouteTo(service);
  const std::lock_guard lock(route->mutex);
  return route->targets.EntranceLevel(method, monotonic_clock::now());
}

void outbound_role::Abandon(const call_ptr& abandoned) {
  abandoned->done = nullptr;
  const auto attempt =
      std::static_pointer_cast<attempt_handle>(abandoned->attempt);
  if (attempt != nullptr) {
    attempt->cancel();
  }
}

}  // namespace pistachioweir
