// Which requests the origin sends a second time, and the budget for that.
#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "include/base/call_log.h"
#include "src/forward/executor.h"
#include "src/forward/origin.h"
#include "src/forward/run_outcome.h"

namespace pistachioweir {
namespace {

// Maximum sends of one request if targets that rejected it may be sent it
// again. At 55 rejections in 100 sends, 1 of 120 requests is rejected by all.
constexpr std::uint32_t kMaxSendsAgain = 8;

}  // namespace

void origin::ChargeFirstSend(const placed_call& call, time_point now) {
  if (SharesRepeats() && call.parent.found() && call.parent.lineage.in_repeat) {
    StateOf(call.service).ranked_repeats.ChargeInherited(now);
  }
}

bool origin::SpendRepeat(call_id id, const placed_call& call, time_point now) {
  service_state& state = StateOf(call.service);
  if (!SharesRepeats()) {
    return state.repeats.TrySpend(now);
  }
  // Without lineage nobody tells which kinds make calls, and inherited repeats
  // aren't charged; the ratio covers them.
  const bool may_make_calls =
      local_.keeps_lineage() && !state.without_calls.test(call.placing.method);
  const priority level = call.placing.level;
  ranked_repeat_budget& budget = state.ranked_repeats;
  if (budget.TrySpend({.level = level,
                       .ticket = call.placing.ticket,
                       .makes_calls = may_make_calls},
                      now)) {
    return true;
  }
  const auto whole = [](double tokens) {
    return std::to_string(static_cast<std::int64_t>(tokens));
  };
  log_.Add(id, call.call.id, "repeat_refused",
           {{.name = "rank", .value = std::to_string(call.rank)},
            {.name = "remaining", .value = whole(budget.remaining(now))},
            {.name = "demand", .value = whole(budget.KeptFor(level, now))}});
  return false;
}

void origin::NoteRejection(placed_call& call, const answer_frame& answer) {
  if (!SharesRepeats()) {
    return;
  }
  tried_targets& all = call.rejecting;
  const auto end = all.refs.begin() + all.count;
  const auto found = std::find(all.refs.begin(), end, call.target);
  if (found != end) {
    std::rotate(found, found + 1, end);
    --all.count;
  }
  const bool rejected = answer.kind == outcome_kind::kNotExecuted &&
                        answer.why == reason::kTargetRefused &&
                        answer.retry_after == milliseconds(0);
  if (rejected && all.count < tried_targets::kMax) {
    all.refs[all.count++] = call.target;
  }
}

// Those that rejected the request, but for the last one if there are others.
placement_request origin::AgainRequest(const placed_call& call) const {
  placement_request again = call.placing;
  again.tried = call.rejecting;
  if (again.tried.count > 1) {
    --again.tried.count;
  }
  again.among_tried = true;
  return again;
}

// A target that rejects a part of its requests at once takes the next one with
// the same probability. With few targets, a request could be sent twice or
// three times, and the budget for more stayed unused. The targets that it was
// sent to remain the same.
bool origin::MayTryAgain(const placed_call& call,
                         const answer_frame& answer,
                         time_point now) {
  return SharesRepeats() && answer.why == reason::kTargetRefused &&
         call.rejecting.count > 0 && call.generation < kMaxSendsAgain &&
         StateOf(call.service).targets.MayTryElsewhere(AgainRequest(call), now);
}

// A request is retried on another target if it has not run, or if it failed and
// may run again. Retries after a send that reached a target are charged to the
// retry budget, since they add load beyond the callers' own.
bool origin::MayRetry(call_id id,
                      placed_call& call,
                      const answer_frame& answer,
                      time_point now) {
  // The share is that of all requests of the kind, whichever target gets them.
  const bool exceeds_share = answer.why == reason::kWasted && answer.lineage &&
                             answer.lineage->entrance_share < 1;
  if (exceeds_share) {
    return false;
  }
  const bool completed = answer.kind == outcome_kind::kCompleted;
  if (completed && (!IsFailure(answer.response.status) || answer.failed_below ||
                    call.matched->repeats == repeat_policy::kAtMostOnce)) {
    return false;
  }
  const bool may_run =
      !call.may_have_run || call.matched->repeats == repeat_policy::kIdempotent;
  if (!may_run || now >= call.deadline || CannotMeetDeadline(call, now) ||
      answer.why == reason::kCancelled || !MayBegin(id, call, now)) {
    return false;
  }
  const std::uint32_t different = call.targets_reached - call.reached_again;
  const bool elsewhere =
      (call.targets_reached == 0 || different < call.matched->max_targets) &&
      StateOf(call.service).targets.MayTryElsewhere(call.placing, now);
  if (!elsewhere && !MayTryAgain(call, answer, now)) {
    return false;
  }
  if (call.targets_reached > 0 &&
      ((SharesRepeats() && call.generation >= kMaxSendsAgain) ||
       !SpendRepeat(id, call, now))) {
    return false;
  }
  call.sends_again = !elsewhere;
  return true;
}

std::vector<own_repeat_budget> origin::RepeatBudgets() {
  std::vector<own_repeat_budget> budgets;
  budgets.reserve(services_.size());
  for (auto& [service, state] : services_) {
    budgets.push_back({.service = service, .budget = &state.ranked_repeats});
  }
  return budgets;
}

ranked_repeat_counters origin::RepeatCounters() const {
  ranked_repeat_counters sum;
  for (const auto& [service, state] : services_) {
    const ranked_repeat_counters& each = state.ranked_repeats.counters();
    for (std::size_t rank = 0; rank < kPriorityCount; ++rank) {
      sum.spent[rank] += each.spent[rank];
      sum.refused[rank] += each.refused[rank];
    }
    sum.inherited += each.inherited;
    sum.lent += each.lent;
    sum.borrowed += each.borrowed;
  }
  return sum;
}

}  // namespace pistachioweir
