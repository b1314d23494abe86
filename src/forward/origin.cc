// Routing, placement, sending and retries of callers' requests.
#include "src/forward/origin.h"

#include <utility>

#include <boost/asio/post.hpp>

#include <algorithm>
#include <set>
#include <vector>

#include "include/base/call_log.h"
#include "include/base/log.h"
#include "include/base/random_bits.h"
#include "include/retry/target_wait.h"
#include "src/forward/executor.h"
#include "src/forward/run_outcome.h"

namespace pistachioweir {
namespace {

// Used if neither the caller nor the route sets a timeout.
constexpr milliseconds kDefaultTimeout{30000};
// Retry-after if the refusal carries none.
constexpr milliseconds kDefaultRetryAfter{200};
// Covers the calls that a target may still make for a few ended runs.
constexpr std::uint8_t kIdsDecideFor = 64;

std::string Text(std::uint64_t number) {
  return std::to_string(number);
}

call_result ResultOf(const peer_answer& answer) {
  if (answer.answer.kind == outcome_kind::kCompleted) {
    return IsFailure(answer.answer.response.status) ? call_result::kErrored
                                                    : call_result::kAnswered;
  }
  if (answer.answer.kind == outcome_kind::kNotExecuted) {
    return answer.heard ? call_result::kRefused : call_result::kFailed;
  }
  if (answer.answer.why == reason::kCancelled) {
    return call_result::kCancelled;
  }
  return answer.answer.why == reason::kTimeout ? call_result::kTimedOut
                                               : call_result::kFailed;
}

// The daemon was unreachable, or has no local target.
bool IsTargetAbsent(const peer_answer& answer) {
  return answer.answer.kind == outcome_kind::kNotExecuted &&
         !answer.answer.reached_target &&
         (!answer.heard || answer.answer.why == reason::kNotReady);
}

}  // namespace

origin::origin(boost::asio::io_context& context,
               origin_options options,
               executor& local,
               call_log& log)
    : context_(context),
      options_(std::move(options)),
      local_(local),
      log_(log),
      reserve_share_(options_.repeat_window) {}

origin::~origin() {
  for (const auto& [ip, link] : links_) {
    link->Close();
  }
}

bool origin::FindRoute(placed_call& call, reason* why) const {
  if (view_ == nullptr || view_->config == nullptr) {
    *why = reason::kNotReady;
    return false;
  }
  call.view = view_;
  call.matched =
      view_->config->routes.Find(call.call.host, call.call.request.target);
  if (call.matched == nullptr) {
    *why = reason::kNoRoute;
    return false;
  }
  return true;
}

// The shorter of the caller's and the route's timeouts.
milliseconds origin::TimeoutOf(const placed_call& call) const {
  milliseconds timeout = call.call.caller_timeout;
  const milliseconds max_timeout = call.matched->timeout;
  if (timeout == milliseconds(0) ||
      (max_timeout > milliseconds(0) && max_timeout < timeout)) {
    timeout = max_timeout;
  }
  return timeout == milliseconds(0) ? kDefaultTimeout : timeout;
}

void origin::StartTimer(call_id id) {
  placed_call& call = *calls_.at(id);
  call.deadline_timer.expires_at(call.deadline);
  call.deadline_timer.async_wait([this, id](boost::system::error_code error) {
    if (!error) {
      OnTimeout(id);
    }
  });
}

origin::call_id origin::Submit(relayed_call call, relayed_callback done) {
  const call_id id = next_id_++;
  auto placed = std::make_shared<placed_call>(context_);
  placed->call = std::move(call);
  placed->done = std::move(done);
  calls_.emplace(id, placed);
  const std::string& name = placed->call.id;
  reason why = reason::kNone;
  if (!FindRoute(*placed, &why)) {
    log_.Add(id, name, "received",
             {{.name = "host", .value = placed->call.host},
              {.name = "target", .value = placed->call.request.target}});
    Finish(id, {.kind = outcome_kind::kNotExecuted,
                .why = why,
                .retry_after = kDefaultRetryAfter});
    return id;
  }
  if (!Authenticate(id)) {
    return id;
  }
  if (!ChargeQuota(id)) {
    return id;
  }
  if (view_->config->organisations == nullptr) {
    placed->call.request.header_block += placed->call.credential_headers;
  }
  SetPlacing(placed.get());
  Inherit(id, placed.get());
  placed->placing.level = PriorityOfRank(placed->rank);
  if (SharesRepeats()) {
    StateOf(placed->service)
        .ranked_repeats.OnRequest(placed->placing.level, placed->call.received);
  }
  LogRouted(id, *placed);
  if (local_.IsQuarantined(placed->matched->name, placed->call.request,
                           placed->call.received)) {
    Finish(id, {.kind = outcome_kind::kNotExecuted,
                .why = reason::kQuarantined,
                .retry_after = kQuarantineRetryAfter});
    return id;
  }
  StartTimer(id);
  PlaceAndSend(id);
  return id;
}

void origin::SetPlacing(placed_call* call) {
  const route& matched = *call->matched;
  const auto split =
      splits_.try_emplace(matched.name, weighted_split(RandomBits64())).first;
  call->service = std::string(split->second.Next(matched.parts));
  service_state& state = StateOf(call->service);
  if (!SharesRepeats()) {
    state.repeats.OnRequest(call->call.received);
  }
  const milliseconds timeout = TimeoutOf(*call);
  call->deadline = call->call.received + timeout;
  call->placing = {
      .method = state.kinds.IndexOf(matched.name),
      .ticket = static_cast<std::uint8_t>(RandomBits32()),
      .objective = matched.latency_objective > milliseconds(0)
                       ? matched.latency_objective
                       : timeout,
      .at_most_once = matched.repeats == repeat_policy::kAtMostOnce};
}

void origin::LogRouted(call_id id, const placed_call& call) {
  const milliseconds timeout =
      ToMilliseconds(call.deadline - call.call.received);
  const auto add = [&](auto... more) {
    log_.Add(
        id, call.call.id, "routed",
        {{.name = "route", .value = call.matched->name},
         {.name = "service", .value = call.service},
         {.name = "config", .value = Text(view_->config->version)},
         {.name = "targets", .value = Text(view_->targets_version)},
         {.name = "organisation", .value = call.organisation},
         {.name = "rank", .value = Text(call.rank)},
         std::move(more)...,
         {.name = "timeout_ms", .value = std::to_string(timeout.count())}});
  };
  if (!local_.keeps_lineage()) {
    add();
    return;
  }
  const parent_match& match = call.parent;
  const running_request* const parent = local_.FindRunning(match.parent);
  add(log_field{.name = "lineage",
                .value =
                    std::string(kLineageEvidenceNames.Name(match.evidence))},
      log_field{.name = "parent",
                .value = parent == nullptr ? std::string() : parent->id},
      log_field{.name = "root", .value = match.lineage.root},
      log_field{.name = "depth", .value = Text(match.lineage.depth)});
}

void origin::Inherit(call_id id, placed_call* call) {
  if (!local_.keeps_lineage()) {
    return;
  }
  const time_point expiry =
      call->call.caller_timeout > milliseconds(0)
          ? call->call.received + call->call.caller_timeout
          : call->deadline;
  service_state& state = StateOf(call->service);
  const std::uint32_t kind = call->placing.method;
  // Where ids tell the parent, a call without one is made for a run that has
  // ended, and another run with its deadline isn't its parent. Not for good: a
  // single caller could extend an id, or the target could stop doing so.
  std::uint8_t& ids_decide_for = state.ids_decide_for[kind];
  const bool search_deadlines =
      state.made_by_targets.test(kind) && ids_decide_for == 0;
  call->parent = local_.FindParent(call->call.id, expiry, search_deadlines);
  if (call->parent.evidence == lineage_evidence::kRequestId) {
    ids_decide_for = kIdsDecideFor;
  } else if (ids_decide_for > 0) {
    --ids_decide_for;
  }
  if (call->parent.found()) {
    call->rank = call->parent.rank;
    call->ahead = call->parent.has_precedence;
    call->placing.ticket = call->parent.ticket;
  }
  if (call->parent.parent != parent_match::kNoParent &&
      call->matched->repeats == repeat_policy::kIdempotent) {
    calls_by_parent_.emplace(call->parent.parent, id);
  }
}

void origin::EndCallsOf(std::uint64_t parent) {
  const auto [first, last] = calls_by_parent_.equal_range(parent);
  std::vector<call_id> calls;
  for (auto at = first; at != last; ++at) {
    calls.push_back(at->second);
  }
  for (const call_id id : calls) {
    // The end of another one may have ended it.
    const auto found = calls_.find(id);
    if (found == calls_.end()) {
      continue;
    }
    const call_ptr call = found->second;
    ++counters_.ended_with_parent;
    log_.Add(id, call->call.id, "parent_lost",
             {{.name = "target", .value = call->target_id}});
    StopSend(*call, monotonic_clock::now());
    // Says nothing about the called service.
    call->from_own_target = false;
    call->why = reason::kCancelled;
    FinishWithoutAnswer(id);
  }
}

bool origin::CannotMeetDeadline(const placed_call& call, time_point now) {
  return StateOf(call.service)
      .feasibility.IsInfeasible(
          call.placing.method,
          std::min(call.deadline, stop_window_.end_by) - now, now);
}

// Checks the key again: it may have been withdrawn while the request waited.
void origin::Retry(call_id id) {
  if (Authenticate(id)) {
    PlaceAndSend(id);
  }
}

void origin::PlaceAndSend(call_id id) {
  const call_ptr call = calls_.at(id);
  service_state& state = StateOf(call->service);
  const time_point now = monotonic_clock::now();
  if (!MayBegin(id, *call, now)) {
    call->why = reason::kDraining;
    call->retry_after = kDrainingRetryAfter;
    FinishWithoutAnswer(id);
    return;
  }
  if (CannotMeetDeadline(*call, now)) {
    call->why = reason::kDeadlinePassed;
    log_.Add(
        id, call->call.id, "not_placed",
        {{.name = "why", .value = std::string(kReasonNames.Name(call->why))},
         {.name = "left_ms",
          .value = std::to_string(TimeLeft(call->deadline, now).count())}});
    FinishWithoutAnswer(id);
    return;
  }
  const placement placed = state.targets.Place(
      call->sends_again ? AgainRequest(*call) : call->placing, now,
      RandomBits64());
  if (!placed.placed) {
    call->why = placed.why;
    call->retry_after = placed.retry_after;
    log_.Add(
        id, call->call.id, "not_placed",
        {{.name = "why", .value = std::string(kReasonNames.Name(placed.why))},
         {.name = "usable", .value = Text(state.targets.usable(now))}});
    FinishOrRetryLater(id);
    return;
  }
  call->target = placed.target;
  call->target_id = std::string(state.targets.VmOf(placed.target));
  if (!call->sends_again) {
    call->placing.tried.refs[call->placing.tried.count++] = placed.target;
  }
  const target_entry* const target = directory_.Find(call->target_id);
  if (target == nullptr) {
    // Not expected: the balancer's targets are those of the view.
    LogWarning("target_unknown", {{.name = "id", .value = call->target_id}});
    call->why = reason::kNoTarget;
    FinishWithoutAnswer(id);
    return;
  }
  Send(id, *target);
}

milliseconds origin::StartWithin(const placed_call& call,
                                 time_point now) const {
  constexpr milliseconds kMinimum{1};  // Zero means no bound.
  std::optional<milliseconds> within;
  if (!call.organisation.empty() && options_.max_key_age > milliseconds(0)) {
    const auto age = options_.proven_age();
    within = options_.max_key_age - age.value_or(options_.max_key_age);
  }
  if (stop_window_.stopping()) {
    const milliseconds left =
        TimeLeft(stop_window_.LatestStart(call.deadline), now);
    within = std::min(within.value_or(left), left);
  }
  return within ? std::max(kMinimum, *within) : milliseconds(0);
}

std::optional<call_lineage> origin::LineageOf(const placed_call& call) const {
  if (!local_.keeps_lineage()) {
    return std::nullopt;
  }
  call_lineage lineage = call.parent.found()
                             ? call.parent.lineage
                             : call_lineage{.root = call.matched->name};
  lineage.in_repeat |= call.targets_reached > 0;
  return lineage;
}

call_frame origin::FrameOf(const placed_call& call,
                           const target_entry& target,
                           time_point now) const {
  const auto waited =
      std::chrono::duration_cast<milliseconds>(now - call.call.received);
  return {.target_id = target.id,
          .route = call.matched->name,
          .rank = call.rank,
          .route_rank = call.matched->rank,
          .ahead = call.ahead,
          .ticket = call.placing.ticket,
          .repeats = call.matched->repeats,
          .remaining = TimeLeft(call.deadline, now),
          .objective_left = std::max(milliseconds(0),
                                     call.matched->latency_objective - waited),
          .start_within = StartWithin(call, now),
          .caller_service = options_.service,
          .organisation = call.organisation,
          .request_id = call.call.id,
          .request = call.call.request,
          .lineage = LineageOf(call)};
}

void origin::Send(call_id id, const target_entry& target) {
  const call_ptr call = calls_.at(id);
  const time_point now = monotonic_clock::now();
  const std::uint32_t generation = ++call->generation;
  if (generation == 1) {
    ++counters_.begun;
    ChargeFirstSend(*call, now);
  }
  call->sent_at = now;
  call->sending = true;
  log_.Add(id, call->call.id, generation == 1 ? "sent" : "sent_again",
           {{.name = "target", .value = target.id},
            {.name = "address", .value = ToString(target.address)},
            {.name = "send", .value = Text(generation)},
            {.name = "left_ms",
             .value = std::to_string(TimeLeft(call->deadline, now).count())}});
  call_frame frame = FrameOf(*call, target, now);
  if (target.address == options_.own_target) {
    call->link = nullptr;
    call->number = 0;
    const std::uint64_t number = local_.Serve(
        std::move(frame), [this, id, generation](answer_frame answer) {
          // Posted, since the executor may answer before Serve() returns.
          boost::asio::post(context_, [this, id, generation,
                                       answer = std::move(answer)]() mutable {
            OnAnswer(id, generation,
                     {.answer = std::move(answer), .heard = true});
          });
        });
    call->number = number;
    return;
  }
  call->link = LinkTo(target.address.ip);
  call->number = call->link->Send(std::move(frame),
                                  [this, id, generation](peer_answer answer) {
                                    OnAnswer(id, generation, std::move(answer));
                                  });
}

void origin::RecordAnswer(placed_call& call,
                          const peer_answer& answer,
                          time_point now) {
  StateOf(call.service)
      .targets.Finish(call.target, call.placing.method, ResultOf(answer),
                      answer.answer.served,
                      answer.heard ? &answer.answer.load : nullptr, now);
  if (answer.answer.kind == outcome_kind::kCompleted &&
      !IsFailure(answer.answer.response.status)) {
    StateOf(call.service)
        .feasibility.OnCompleted(call.placing.method, answer.answer.served,
                                 now);
  }
  // Not by refusals: those of a daemon that doesn't know the call don't tell.
  if (answer.answer.kind == outcome_kind::kCompleted) {
    StateOf(call.service)
        .made_by_targets.set(call.placing.method, answer.answer.by_targets);
  }
  counters_.lineages_unreadable += answer.answer.lineage_unreadable ? 1 : 0;
  if (answer.heard && answer.answer.lineage && call.parent.found()) {
    local_.UpdateEntranceShare(call.parent.lineage.root, call.service,
                               answer.answer.lineage->entrance_share, now);
  }
  if (answer.answer.lineage) {
    StateOf(call.service)
        .without_calls.set(call.placing.method,
                           !answer.answer.lineage->makes_calls);
  }
  if (answer.answer.by_targets) {
    call.from_own_target = true;
    local_.UpdateDownstreamPressure(
        call.service, StateOf(call.service).targets.Pressure(now), now);
  }
  if (answer.answer.why == reason::kDraining) {
    StateOf(call.service).targets.SetStopping(call.target, true);
  }
  if (answer.answer.why == reason::kWrongTarget) {
    // The intended target has ended; the list of targets will follow later.
    StateOf(call.service).targets.MarkLeaving(call.target);
    if (options_.on_stale_target) {
      options_.on_stale_target();
    }
  }
  if (answer.heard) {
    call.processing_time += answer.answer.queued + answer.answer.served;
  }
  if (IsTargetAbsent(answer)) {
    ++call.placing.tried.unavailable;
  }
  if (answer.answer.reached_target ||
      answer.answer.kind == outcome_kind::kUnknown) {
    ++call.targets_reached;
    call.reached_again += call.sends_again ? 1U : 0U;
  }
  NoteRejection(call, answer.answer);
  if (answer.answer.kind == outcome_kind::kUnknown) {
    call.may_have_run = true;
  }
  if (answer.answer.kind != outcome_kind::kCompleted) {
    call.why = answer.answer.why;
    call.retry_after = answer.answer.retry_after;
  }
}

void origin::OnAnswer(call_id id,
                      std::uint32_t generation,
                      peer_answer answer) {
  const auto found = calls_.find(id);
  if (found == calls_.end() || found->second->generation != generation) {
    return;
  }
  const call_ptr call = found->second;
  const time_point now = monotonic_clock::now();
  call->sending = false;
  RecordAnswer(*call, answer, now);
  answer_frame& frame = answer.answer;
  log_.Add(
      id, call->call.id, "answer",
      {{.name = "target", .value = call->target_id},
       {.name = "outcome",
        .value = std::string(kOutcomeKindNames.Name(frame.kind))},
       {.name = "why", .value = std::string(kReasonNames.Name(frame.why))},
       {.name = "status", .value = std::to_string(frame.response.status)},
       {.name = "heard", .value = answer.heard ? "yes" : "no"},
       {.name = "took_us",
        .value = std::to_string(
            std::chrono::duration_cast<microseconds>(now - call->sent_at)
                .count())},
       {.name = "queued_us", .value = std::to_string(frame.queued.count())},
       {.name = "served_us", .value = std::to_string(frame.served.count())}});
  if (MayRetry(id, *call, frame, now)) {
    if (frame.kind == outcome_kind::kCompleted) {
      call->may_have_run = true;
      call->has_failure = true;
      call->failure = std::move(frame.response);
    }
    ++counters_.sent_again;
    Retry(id);
    return;
  }
  if (frame.kind == outcome_kind::kCompleted) {
    local_.NoteCompleted(call->matched->name, call->call.request, call->call.id,
                         now);
    Finish(id, {.kind = outcome_kind::kCompleted,
                .response = std::move(frame.response)});
    return;
  }
  FinishOrRetryLater(id);
}

void origin::FinishOrRetryLater(call_id id) {
  const placed_call& call = *calls_.at(id);
  const time_point now = monotonic_clock::now();
  const bool nothing_sent = call.targets_reached == 0 && !call.may_have_run;
  const auto delay = nothing_sent && stop_window_.MayBegin(call.deadline, now)
                         ? NextLookupDelay({.received = call.call.received,
                                            .deadline = call.deadline,
                                            .objective = call.placing.objective,
                                            .why = call.why},
                                           now)
                         : std::nullopt;
  if (delay) {
    RetryLater(id, *delay);
  } else {
    FinishWithoutAnswer(id);
  }
}

void origin::RetryLater(call_id id, milliseconds delay) {
  placed_call& call = *calls_.at(id);
  log_.Add(id, call.call.id, "looks_again",
           {{.name = "why", .value = std::string(kReasonNames.Name(call.why))},
            {.name = "in_ms", .value = std::to_string(delay.count())}});
  call.placing.tried = {};
  call.retry_timer.expires_after(delay);
  call.retry_timer.async_wait([this, id](boost::system::error_code error) {
    // The call may have ended after the timer expired.
    if (!error && calls_.contains(id)) {
      Retry(id);
    }
  });
}

void origin::OnTimeout(call_id id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) {
    return;
  }
  const call_ptr call = found->second;
  log_.Add(id, call->call.id, "timed_out",
           {{.name = "sending", .value = call->sending ? "yes" : "no"},
            {.name = "target", .value = call->target_id}});
  if (call->sending) {
    const time_point now = monotonic_clock::now();
    RecordWait(*call, now);
    CancelSend(*call);
    call->may_have_run = true;
    StateOf(call->service)
        .targets.Finish(call->target, call->placing.method,
                        call_result::kTimedOut, now - call->sent_at, nullptr,
                        now);
  }
  call->why = reason::kTimeout;
  FinishWithoutAnswer(id);
}

void origin::RecordWait(placed_call& call, time_point now) {
  if (call.link == nullptr || call.link->IsWell(now)) {
    call.processing_time += now - call.sent_at;
  }
}

bool origin::CancelSend(placed_call& call) {
  ++call.generation;
  call.sending = false;
  if (call.link != nullptr) {
    return call.link->Cancel(call.number);
  }
  local_.Cancel(call.number);
  return false;
}

void origin::StopSend(placed_call& call, time_point now) {
  if (!call.sending) {
    return;
  }
  RecordWait(call, now);
  call.may_have_run |= !CancelSend(call);
  StateOf(call.service)
      .targets.Finish(call.target, call.placing.method, call_result::kCancelled,
                      duration(0), nullptr, now);
}

void origin::Abandon(call_id id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) {
    return;
  }
  const call_ptr call = found->second;
  ++counters_.abandoned;
  log_.Add(id, call->call.id, "caller_gone",
           {{.name = "target", .value = call->target_id}});
  const time_point now = monotonic_clock::now();
  StopSend(*call, now);
  max_request_time_.Add(call->processing_time, now);
  log_.End(id, call->call.id, true);
  Forget(id, *call);
}

void origin::Forget(call_id id, const placed_call& call) {
  const auto [first, last] = calls_by_parent_.equal_range(call.parent.parent);
  const auto child = std::find_if(
      first, last, [id](const auto& entry) { return entry.second == id; });
  if (child != last) {
    calls_by_parent_.erase(child);
  }
  calls_.erase(id);
}

void origin::FinishWithoutAnswer(call_id id) {
  Finish(id, Failure(*calls_.at(id)));
}

// Reports not executed only if no send may have run.
relayed_result origin::Failure(const placed_call& call) const {
  if (call.has_failure) {
    return {.kind = outcome_kind::kCompleted, .response = call.failure};
  }
  if (call.may_have_run) {
    return {.kind = outcome_kind::kUnknown, .why = call.why};
  }
  return {.kind = outcome_kind::kNotExecuted,
          .why = call.why,
          .retry_after = call.retry_after > milliseconds(0)
                             ? call.retry_after
                             : kDefaultRetryAfter};
}

void origin::Finish(call_id id, relayed_result result) {
  const auto found = calls_.find(id);
  const call_ptr call = found->second;
  result.at_most_once = call->placing.at_most_once;
  Forget(id, *call);
  call->deadline_timer.cancel();
  call->retry_timer.cancel();
  const time_point now = monotonic_clock::now();
  max_request_time_.Add(call->processing_time, now);
  if (call->charged && result.kind == outcome_kind::kNotExecuted) {
    options_.refund_quota(*call->charged);
  }
  if (call->from_own_target) {
    local_.OnTargetCallEnd(result.kind != outcome_kind::kCompleted ||
                               IsFailure(result.response.status),
                           now);
  }
  ++(result.kind == outcome_kind::kCompleted     ? counters_.completed
     : result.kind == outcome_kind::kNotExecuted ? counters_.not_executed
                                                 : counters_.unknown);
  const auto took =
      std::chrono::duration_cast<milliseconds>(now - call->call.received);
  log_.Add(
      id, call->call.id, "answered",
      {{.name = "outcome",
        .value = std::string(kOutcomeKindNames.Name(result.kind))},
       {.name = "why", .value = std::string(kReasonNames.Name(result.why))},
       {.name = "status", .value = std::to_string(result.response.status)},
       {.name = "retry_after_ms",
        .value = std::to_string(result.retry_after.count())},
       {.name = "took_ms", .value = std::to_string(took.count())}});
  log_.End(id, call->call.id,
           result.kind != outcome_kind::kCompleted ||
               IsFailure(result.response.status));
  call->done(std::move(result));
}

}  // namespace pistachioweir
