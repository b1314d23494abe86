// Admission, runs and answers of calls to the target beside this daemon.
#include "src/forward/executor.h"

#include <utility>

#include <boost/asio/post.hpp>

#include <algorithm>
#include <string>

#include "include/base/call_log.h"
#include "include/base/log.h"
#include "include/base/random_bits.h"
#include "src/forward/run_outcome.h"

namespace pistachioweir {
namespace {

// Maximum of requests queued for one target. Deadlines bound the wait first.
constexpr std::uint32_t kMaxQueue = 1024;
// Fraction of a target's slots that is used: some targets slow down for all
// requests from 95 in 100 busy slots on.
constexpr double kUsableSlotFraction = 0.94;
// Share of a full target's capacity that less important requests get: half of
// the demand of the least important kind in the known deployments. All of it
// would take as much from more important requests.
constexpr double kAssuredShare = 0.2;
// A target that refused a connection is tried again after this delay, with the
// next call. Shorter than a target's restart, and long enough that callers are
// sent elsewhere in between.
constexpr milliseconds kTargetRetryDelay{100};
// Retry delay for a caller whose target is down.
constexpr milliseconds kDownRetryAfter{500};
constexpr milliseconds kDrainRetryAfter{50};
// A few periods of the throttle: its share has changed by then.
constexpr milliseconds kThrottledRetryAfter{500};

microseconds ToMicroseconds(duration time) {
  return std::chrono::duration_cast<microseconds>(time);
}

// A request that crashed a target is repeated with the same path and body, at
// any daemon: after a refusal its caller tries other VMs, also of other
// services, so VM and service are not part of the fingerprint.
request_fingerprint FingerprintOf(const std::string& route,
                                  const relayed_request& request) {
  return Fingerprint({.service = {},
                      .method = request.target,
                      .body = request.body.str(),
                      .label = route});
}

milliseconds RetryAfterOf(reason refusal) {
  switch (refusal) {
    case reason::kDraining:
      return kDrainRetryAfter;
    case reason::kQuarantined:
      return kQuarantineRetryAfter;
    case reason::kWasted:
      return kThrottledRetryAfter;
    default:
      return kDownRetryAfter;
  }
}

}  // namespace

executor::executor(boost::asio::io_context& context,
                   target_runner run,
                   call_log& log,
                   incarnation_id self)
    : run_(std::move(run)),
      log_(log),
      wakeup_(context),
      // A run's duration includes the calls that the target makes, so a slow
      // downstream service would lower an adaptive limit.
      admission_({.slots = 1,
                  .methods = kind_index::kMaxKinds,
                  .max_queue = kMaxQueue,
                  .adaptive_limit = false,
                  // Levels refuse a share of each kind, including calls made by
                  // targets, which fail the whole request they belong to.
                  .use_level = false,
                  .assured_share = kAssuredShare}),
      suspects_(self) {}

void executor::SetSlots(std::uint32_t slots) {
  slots_known_ = true;
  const auto used = static_cast<std::uint32_t>(kUsableSlotFraction * slots);
  admission_.Reconfigure(std::max(1U, used), kind_index::kMaxKinds);
  if (entrance_) {
    entrance_->SetSlots(std::max(1U, used));
  }
  ProcessAdmissionEvents();
}

void executor::SetTargetStart(const std::string& start) {
  if (start == target_start_) {
    return;
  }
  ChangeNotices([&] { notices_.SetStart(start); }, "another start is listed");
  if (!std::exchange(target_start_, start).empty()) {
    ReportTargetCrash(monotonic_clock::now());
  }
}

suspects_frame executor::ImportSuspects(const suspects_frame& received) {
  const time_point now = monotonic_clock::now();
  suspects_frame reply{.cleared =
                           suspects_.RecentlyCompleted(received.entries, now)};
  const suspects_frame update{
      .entries = suspects_.Import(received.entries, now),
      .cleared = suspects_.OnCleared(received.cleared, now)};
  LogEvent(
      "suspects_heard",
      {{.name = "requests", .value = std::to_string(received.entries.size())},
       {.name = "news", .value = std::to_string(update.entries.size())},
       {.name = "innocent", .value = std::to_string(reply.cleared.size())},
       {.name = "cleared", .value = std::to_string(received.cleared.size())},
       {.name = "cleared_news",
        .value = std::to_string(update.cleared.size())}});
  if (!update.empty() && on_suspects_) {
    on_suspects_(update, suspects_source::kRemote);
  }
  return reply;
}

void executor::Tick(time_point now) {
  suspects_.Expire(now);
  PublishNotice();
  if (entrance_) {
    entrance_->Tick(now);
    LogOverload();
  }
  if (view_state_) {
    const view_state view = view_state_();
    vouching_.Tick(view, now);
    LogVouching(view, now);
  }
}

void executor::PublishCleared(const request_fingerprint& request,
                              const std::string& request_id) {
  LogEvent("suspect_cleared", {{.name = "why", .value = "it has completed"},
                               {.name = "request", .value = request_id}});
  if (on_suspects_) {
    on_suspects_({.cleared = {request}}, suspects_source::kLocal);
  }
}

std::vector<quarantine_entry> executor::KnownSuspects() const {
  return suspects_.Snapshot(monotonic_clock::now());
}

bool executor::IsQuarantined(const std::string& route,
                             const relayed_request& request,
                             time_point now) const {
  return !suspects_.empty() &&
         suspects_.RemainingQuarantine(FingerprintOf(route, request), now) >
             milliseconds(0);
}

void executor::NoteCompleted(const std::string& route,
                             const relayed_request& request,
                             const std::string& request_id,
                             time_point now) {
  const request_fingerprint fingerprint = FingerprintOf(route, request);
  if (suspects_.OnCompleted(fingerprint, now)) {
    PublishCleared(fingerprint, request_id);
  }
}

void executor::ReportTargetCrash(time_point now) {
  std::vector<quarantine_entry> suspects = suspects_.OnTargetCrash(now);
  if (suspects.empty()) {
    return;
  }
  LogWarning("target_crashed",
             {{.name = "suspects", .value = std::to_string(suspects.size())}});
  if (on_suspects_) {
    on_suspects_({.entries = std::move(suspects)}, suspects_source::kLocal);
  }
}

void executor::Drain() {
  leaving_ = true;
  draining_ = true;
}

void executor::EndOpenRuns() {
  Drain();
  std::vector<std::uint64_t> open;
  open.reserve(calls_.size());
  for (const auto& [id, served] : calls_) {
    open.push_back(id);
  }
  const time_point now = monotonic_clock::now();
  for (const std::uint64_t id : open) {
    served_call& served = calls_.at(id);
    if (served.started == time_point()) {
      Withdraw(id);
      Refuse(id, reason::kDraining, kDrainRetryAfter);
      continue;
    }
    ++counters_.ended_by_stop;
    log_.Add(
        id, served.call.request_id, "ended_by_stop",
        {{.name = "ran_ms",
          .value =
              std::to_string(ToMilliseconds(now - served.started).count())},
         {.name = "left_ms",
          .value = std::to_string(TimeLeft(served.deadline, now).count())}});
    answer_frame answer;
    answer.why = reason::kDraining;
    answer.reached_target = true;
    Answer(id, std::move(answer));
  }
}

bool executor::IsTargetDown(time_point now) const {
  return now < target_down_until_;
}

// A request that would miss its latency objective is refused while a retry can
// still meet it; run late, it would have only part of its value for the caller
// and take a slot from one that is in time. If the objective has already
// passed, the deadline decides.
time_point executor::LatestStart(const served_call& served,
                                 time_point now) const {
  const time_point wanted = served.objective > now
                                ? std::min(served.objective, served.deadline)
                                : served.deadline;
  return std::min(
      {wanted, served.start_by, stop_window_.LatestStart(served.deadline)});
}

reason executor::StartRefusalOf(const served_call& served, time_point now) {
  if (HasTargetLeft(served.call.target_id, now)) {
    return reason::kWrongTarget;
  }
  if (!stop_window_.MayBegin(served.deadline, now) ||
      run_times_.MayOutlive(served.kind, served.deadline, stop_window_.end_by,
                            now)) {
    ++counters_.too_long_for_stop;
    LogEvent(
        "too_long_for_stop",
        {{.name = "target", .value = served.call.target_id},
         {.name = "left_ms",
          .value = std::to_string(TimeLeft(served.deadline, now).count())},
         {.name = "stop_left_ms",
          .value = std::to_string(TimeLeft(stop_window_.end_by, now).count())},
         {.name = "request", .value = served.call.request_id}});
    return reason::kDraining;
  }
  return reason::kNone;
}

// Why the call is refused regardless of free slots; kNone if it isn't.
reason executor::RefusalOf(served_call& served, time_point now) {
  if (draining_) {
    return reason::kDraining;
  }
  if (!slots_known_ || IsTargetDown(now)) {
    return reason::kNotReady;
  }
  const reason refusal = StartRefusalOf(served, now);
  if (refusal != reason::kNone) {
    return refusal;
  }
  if (served.deadline <= now) {
    return reason::kDeadlinePassed;
  }
  if (suspects_.RemainingQuarantine(served.fingerprint, now) >
      milliseconds(0)) {
    return reason::kQuarantined;
  }
  kind_state& kind = by_kind_[served.kind];
  kind.callers.Add(served.call.caller_service);
  kind.throttle.SetRank(served.call.route_rank);
  kind.throttle.OnPressure(DownstreamPressure(now), now);
  kind.level = PriorityOfRank(served.call.rank);
  kind.objective = served.call.objective_left;
  kind.last_call = now;
  return PassesEntrance(served, now) ? reason::kNone : reason::kWasted;
}

bool executor::PassesEntrance(served_call& served, time_point now) {
  kind_state& kind = by_kind_[served.kind];
  const bool made_by_targets = kind.callers.IsMadeByTargets();
  const bool ahead = served.call.ahead;
  if (!entrance_) {
    return made_by_targets || kind.throttle.Admit(ahead);
  }
  entrance_control::arrival& arrival = served.counted.emplace(
      entrance_->OnArrival(served.call, made_by_targets, now));
  if (!arrival.is_entrance) {
    return true;
  }
  const bool may_succeed = kind.throttle.MayAdmit(ahead);
  const bool has_room = entrance_->MayAdmit(arrival, ahead, now);
  // The lower limit alone decides, so it's the share that is admitted.
  arrival.admitted_share =
      std::min(kind.throttle.share(), entrance_->AppliedShare(arrival));
  if (!may_succeed || !has_room) {
    return false;
  }
  kind.throttle.Spend();
  entrance_->Spend(arrival);
  return true;
}

std::uint64_t executor::Serve(call_frame call, callback done) {
  const time_point now = monotonic_clock::now();
  const std::uint64_t id = next_id_++;
  served_call& served = calls_[id];
  served.call = std::move(call);
  served.done = std::move(done);
  served.arrived = now;
  served.deadline = now + served.call.remaining;
  served.start_by = served.call.start_within > milliseconds(0)
                        ? now + served.call.start_within
                        : served.deadline;
  served.kind = kinds_.IndexOf(served.call.route);
  served.objective = now + served.call.objective_left;
  served.fingerprint = FingerprintOf(served.call.route, served.call.request);
  counters_.lineages_unreadable += served.call.lineage_unreadable ? 1 : 0;
  log_.Add(id, served.call.request_id, "executor_received",
           {{.name = "route", .value = served.call.route},
            {.name = "target", .value = served.call.target_id},
            {.name = "rank", .value = std::to_string(served.call.rank)},
            {.name = "left_ms",
             .value = std::to_string(served.call.remaining.count())},
            {.name = "transit_ms",
             .value = std::to_string(served.call.transit.count())},
            {.name = "running", .value = std::to_string(admission_.running())},
            {.name = "queued", .value = std::to_string(admission_.queued())}});
  const reason refusal = RefusalOf(served, now);
  if (refusal != reason::kNone) {
    Refuse(id, refusal, RetryAfterOf(refusal));
    return id;
  }
  const admission_decision decision =
      admission_.Offer({.level = PriorityOfRank(served.call.rank),
                        .ticket = served.call.ticket,
                        .method = served.kind,
                        .deadline = LatestStart(served, now),
                        .cookie = id},
                       now, RandomBits32());
  served.admitted = decision.handle;
  if (decision.action == admission_action::kRefused) {
    Refuse(id, decision.why, decision.retry_after);
  } else if (decision.action == admission_action::kRun) {
    ScheduleStart(id);
  } else {
    log_.Add(id, served.call.request_id, "queued",
             {{.name = "ahead", .value = std::to_string(admission_.queued())}});
  }
  ProcessAdmissionEvents();
  return id;
}

// Starts or refuses queued calls as the last change of admission decided.
void executor::ProcessAdmissionEvents() {
  while (const auto event =
             admission_.TakeNext(monotonic_clock::now(), RandomBits32())) {
    const auto found = calls_.find(event->cookie);
    if (found == calls_.end()) {
      continue;
    }
    if (event->decision.action == admission_action::kRun) {
      found->second.admitted = event->decision.handle;
      ScheduleStart(event->cookie);
    } else {
      Refuse(event->cookie, event->decision.why, event->decision.retry_after);
    }
  }
  ArmWakeup();
}

void executor::ArmWakeup() {
  const time_point due = admission_.next_wakeup();
  if (wakeup_armed_ || due == time_point::max()) {
    return;
  }
  wakeup_armed_ = true;
  wakeup_.expires_at(due);
  wakeup_.async_wait([this](boost::system::error_code error) {
    if (!error) {
      wakeup_armed_ = false;
      ProcessAdmissionEvents();
    }
  });
}

// A daemon whose event loop is late finds the cancellation of a call among the
// input that is ready together with the call, or with the end of the run that
// frees its slot. A start before that input is handled would send the target a
// request whose caller is known to have left.
void executor::ScheduleStart(std::uint64_t id) {
  starting_.push_back(id);
  if (starting_.size() == 1) {
    boost::asio::post(wakeup_.get_executor(), [this] { StartScheduled(); });
  }
}

void executor::StartScheduled() {
  for (const std::uint64_t id : std::exchange(starting_, {})) {
    const time_point now = monotonic_clock::now();
    const reason refusal = StartRefusalOf(calls_.at(id), now);
    if (refusal == reason::kNone) {
      Start(id);
      continue;
    }
    admission_.Finish(calls_.at(id).admitted, {.answered = false}, now);
    Refuse(id, refusal, RetryAfterOf(refusal));
  }
  ProcessAdmissionEvents();
}

bool executor::Withdraw(std::uint64_t id) {
  const admission_handle admitted = calls_.at(id).admitted;
  if (std::erase(starting_, id) == 0) {
    return admission_.Cancel(admitted);
  }
  admission_.Finish(admitted, {.answered = false}, monotonic_clock::now());
  return true;
}

void executor::Start(std::uint64_t id) {
  served_call& served = calls_.at(id);
  served.started = monotonic_clock::now();
  log_.Add(
      id, served.call.request_id, "run_at_target",
      {{.name = "queued_us",
        .value = std::to_string(
            ToMicroseconds(served.started - served.arrived).count())},
       {.name = "running", .value = std::to_string(admission_.running())}});
  target_run run{.request = std::move(served.call.request),
                 .request_id = served.call.request_id,
                 .target_id = served.call.target_id,
                 .caller_service = served.call.caller_service,
                 .organisation = served.call.organisation,
                 .repeats = served.call.repeats,
                 .deadline = served.deadline};
  AddRunning(id, served);
  served.cancel = run_(std::move(run), [this, id](run_result result) {
    OnRunEnd(id, std::move(result));
  });
}

void executor::AddRunning(std::uint64_t id, const served_call& served) {
  if (!keeps_lineage()) {
    return;
  }
  const call_frame& call = served.call;
  call_lineage lineage =
      call.lineage.value_or(call_lineage{.root = call.route});
  if (served.counted) {
    lineage.admitted_share = served.counted->admitted_share;
  }
  running_.Insert(id, {.id = call.request_id,
                       .deadline = served.deadline,
                       .rank = call.rank,
                       .has_precedence = call.ahead,
                       .ticket = call.ticket,
                       .lineage = std::move(lineage)});
  ++by_kind_[served.kind].running;
}

void executor::RemoveRunning(std::uint64_t id, const served_call& served) {
  if (running_.Find(id) != nullptr) {
    running_.Erase(id);
    --by_kind_[served.kind].running;
  }
}

parent_match executor::FindParent(std::string_view call_id,
                                  time_point deadline,
                                  bool made_by_targets) {
  if (!keeps_lineage()) {
    return {};
  }
  parent_match match;
  if (lineage_policy_ == lineage_policy::kRequestId) {
    match = running_.FindById(call_id);
  }
  if (!match.found() && made_by_targets) {
    match = running_.FindByDeadline(deadline);
  }
  ++lineage_counts_[static_cast<std::size_t>(match.evidence)];
  NoteParent(match);
  return match;
}

void executor::NoteParent(const parent_match& match) {
  const auto parent = calls_.find(match.parent);
  if (parent != calls_.end()) {
    by_kind_[parent->second.kind].makes_calls = true;
  } else if (match.found()) {
    for (kind_state& kind : by_kind_) {
      kind.makes_calls |= kind.running > 0;
    }
  }
}

bool executor::MayMakeCalls(std::uint32_t kind) const {
  const kind_state& state = by_kind_[kind];
  return !keeps_lineage() || state.makes_calls || !state.has_succeeded;
}

void executor::UpdateTargetState(const run_result& result, time_point now) {
  if (result.end != run_end::kNotSent || !result.connection_refused) {
    return;
  }
  if (!IsTargetDown(now)) {
    LogWarning("target_down", {{.name = "why", .value = "refused connection"}});
  }
  ReportTargetCrash(now);
  target_down_until_ = now + kTargetRetryDelay;
}

void executor::UpdateNotices(const served_call& served,
                             const target_notice& notice,
                             time_point now) {
  if (!notice.unreadable.empty()) {
    LogWarning("target_notice_unreadable",
               {{.name = "target", .value = served.call.target_id},
                {.name = "value", .value = notice.unreadable},
                {.name = "request", .value = served.call.request_id}});
  }
  ChangeNotices(
      [&] {
        notices_.OnAnswer(served.call.target_id, notice, served.started, now);
      },
      served.call.request_id);
}

void executor::ImportNotice(const known_notice& notice, const std::string& ip) {
  ChangeNotices([&] { notices_.Import(notice, monotonic_clock::now()); }, ip);
  ProcessAdmissionEvents();
}

void executor::UpdateSuspects(const served_call& served,
                              const run_result& result,
                              time_point now) {
  if (result.end == run_end::kAnswered) {
    if (suspects_.OnAnswered(served.fingerprint, served.started, now)) {
      PublishCleared(served.fingerprint, served.call.request_id);
    }
  } else if (result.end == run_end::kLost && result.interrupted) {
    suspects_.OnInterrupted(served.fingerprint, served.started, now);
  }
}

void executor::OnRunEnd(std::uint64_t id, run_result result) {
  const time_point now = monotonic_clock::now();
  const auto found = calls_.find(id);
  if (found == calls_.end()) {
    return;
  }
  served_call& served = found->second;
  const bool answered = result.end == run_end::kAnswered;
  admission_.Finish(served.admitted,
                    {.answered = answered,
                     .target_refused = result.end == run_end::kNotExecuted},
                    now);
  // Other ends cut a run short or come without one.
  if (answered || result.end == run_end::kTimedOut) {
    run_times_.OnEnded(served.kind, now - served.started, now);
  }
  UpdateTargetState(result, now);
  UpdateSuspects(served, result, now);
  if (answered || result.end == run_end::kNotExecuted) {
    UpdateNotices(served, result.notice, now);
  }
  if (answered) {
    vouching_.OnAnswer(result.closing || result.notice.leaving, now);
    by_kind_[served.kind].throttle.OnResult(!IsFailure(result.response.status),
                                            now);
    by_kind_[served.kind].has_succeeded |=
        keeps_lineage() && !IsFailure(result.response.status);
  }
  CountRunEnd(served, result, now);
  log_.Add(
      id, served.call.request_id, "run_ended",
      {{.name = "end", .value = std::string(kRunEndNames.Name(result.end))},
       {.name = "status", .value = std::to_string(result.response.status)},
       {.name = "problem",
        .value = std::string(kReadProblemNames.Name(result.problem))},
       {.name = "connection", .value = std::to_string(result.connection)},
       {.name = "stray_answers", .value = std::to_string(result.stray_answers)},
       {.name = "served_us",
        .value =
            std::to_string(ToMicroseconds(now - served.started).count())}});
  // An at-most-once run may go on at the target, and needs its calls then.
  const bool lost =
      !answered && served.call.repeats == repeat_policy::kIdempotent;
  answer_frame answer = ToAnswerFrame(std::move(result));
  answer.queued = ToMicroseconds(served.started - served.arrived);
  answer.served = ToMicroseconds(now - served.started);
  answer.failed_below = answer.kind == outcome_kind::kCompleted &&
                        IsFailure(answer.response.status) &&
                        downstream_failures_.IsTooHigh(now);
  Answer(id, std::move(answer));
  if (lost && on_run_lost_ && keeps_lineage()) {
    // Posted: cancelling the run's calls may end other runs here, and this run
    // may itself be ending because origin cancels its call.
    boost::asio::post(wakeup_.get_executor(), [this, id] { on_run_lost_(id); });
  }
  ProcessAdmissionEvents();
}

void executor::CountRunEnd(const served_call& served,
                           const run_result& result,
                           time_point now) {
  if (!served.counted) {
    return;
  }
  if (result.end == run_end::kAnswered && !IsFailure(result.response.status)) {
    entrance_->OnSucceeded(*served.counted, now - served.started);
  } else if (result.end != run_end::kCancelled &&
             result.end != run_end::kNotExecuted) {
    entrance_->OnFailed(*served.counted);
  }
}

void executor::Refuse(std::uint64_t id, reason why, milliseconds retry_after) {
  served_call& served = calls_.at(id);
  const time_point now = monotonic_clock::now();
  const duration waited = now - served.arrived;
  if (served.counted) {
    entrance_->OnRefused(*served.counted, why);
  }
  if (why == reason::kRateLimited) {
    LogRateLimited(id, served, now);
  }
  log_.Add(
      id, served.call.request_id, "executor_refused",
      {{.name = "why", .value = std::string(kReasonNames.Name(why))},
       {.name = "retry_after_ms", .value = std::to_string(retry_after.count())},
       {.name = "share",
        .value = std::to_string(served.counted
                                    ? served.counted->admitted_share
                                    : by_kind_[served.kind].throttle.share())},
       {.name = "running", .value = std::to_string(admission_.running())},
       {.name = "queued", .value = std::to_string(admission_.queued())},
       {.name = "waited_ms",
        .value = std::to_string(ToMilliseconds(waited).count())}});
  answer_frame answer;
  answer.kind = outcome_kind::kNotExecuted;
  answer.why = why;
  answer.retry_after = retry_after;
  answer.queued = ToMicroseconds(waited);
  Answer(id, std::move(answer));
}

void executor::Answer(std::uint64_t id, answer_frame answer) {
  const auto found = calls_.find(id);
  served_call served = std::move(found->second);
  calls_.erase(found);
  RemoveRunning(id, served);
  const time_point now = monotonic_clock::now();
  max_request_time_.Add(now - served.arrived, now);
  answer.number = served.call.number;
  answer.load = Load();
  answer.report = Report();
  answer.by_targets = by_kind_[served.kind].callers.IsMadeByTargets();
  if (served.call.lineage) {
    answer.lineage = {
        .entrance_share = entrance_ ? entrance_->ShareOf(served.call, now) : 1,
        .makes_calls = MayMakeCalls(served.kind)};
  }
  ++(answer.kind == outcome_kind::kCompleted     ? counters_.completed
     : answer.kind == outcome_kind::kNotExecuted ? counters_.refused
                                                 : counters_.unknown);
  const bool failed = answer.kind != outcome_kind::kCompleted ||
                      IsFailure(answer.response.status);
  log_.End(id, served.call.request_id, failed);
  if (served.done) {
    served.done(std::move(answer));
  }
}

void executor::Cancel(std::uint64_t id) {
  const auto found = calls_.find(id);
  if (found == calls_.end() || found->second.caller_disconnected) {
    return;
  }
  served_call& served = found->second;
  served.caller_disconnected = true;
  const bool runs = served.cancel != nullptr;
  const bool stops = !runs || served.call.repeats == repeat_policy::kIdempotent;
  log_.Add(id, served.call.request_id, "cancelled",
           {{.name = "running", .value = runs ? "yes" : "no"},
            {.name = "stopped", .value = stops ? "yes" : "no"}});
  if (!stops) {
    return;
  }
  if (runs) {
    const auto cancel = served.cancel;
    cancel();
    return;
  }
  if (Withdraw(id)) {
    Refuse(id, reason::kCancelled, milliseconds(0));
    ProcessAdmissionEvents();
  }
}

void executor::OnConnectionEnd(std::uint64_t id) {
  if (std::ranges::find(starting_, id) != starting_.end()) {
    Withdraw(id);
    Refuse(id, reason::kConnectionLost, milliseconds(0));
    ProcessAdmissionEvents();
  }
}

}  // namespace pistachioweir
