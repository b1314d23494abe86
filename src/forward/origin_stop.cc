// Which calls a stopping daemon doesn't send, and the end of those in progress.
#include <string>
#include <vector>

#include "include/base/call_log.h"
#include "src/forward/origin.h"

namespace pistachioweir {
namespace {

std::string Milliseconds(duration time) {
  return std::to_string(std::chrono::duration_cast<milliseconds>(time).count());
}

}  // namespace

bool origin::MayBegin(call_id id, const placed_call& call, time_point now) {
  if (stop_window_.MayBegin(call.deadline, now)) {
    return true;
  }
  ++counters_.too_long_for_stop;
  log_.Add(
      id, call.call.id, "too_long_for_stop",
      {{.name = "left_ms", .value = Milliseconds(TimeLeft(call.deadline, now))},
       {.name = "stop_left_ms",
        .value = Milliseconds(TimeLeft(stop_window_.end_by, now))}});
  return false;
}

void origin::EndOpenCalls() {
  std::vector<call_id> open;
  open.reserve(calls_.size());
  for (const auto& [id, call] : calls_) {
    open.push_back(id);
  }
  const time_point now = monotonic_clock::now();
  for (const call_id id : open) {
    placed_call& call = *calls_.at(id);
    ++counters_.ended_by_stop;
    LogEndedByStop(id, call, now);
    if (call.sending && !CancelSend(call)) {
      call.may_have_run = true;
    }
    call.why = reason::kDraining;
    call.retry_after = kDrainingRetryAfter;
    FinishWithoutAnswer(id);
  }
}

void origin::LogEndedByStop(call_id id,
                            const placed_call& call,
                            time_point now) {
  const auto heard =
      call.link == nullptr ? std::nullopt : call.link->last_heard();
  log_.Add(
      id, call.call.id, "ended_by_stop",
      {{.name = "sending", .value = call.sending ? "yes" : "no"},
       {.name = "target", .value = call.target_id},
       {.name = "link",
        .value = call.link == nullptr
                     ? "own"
                     : std::string(kLinkStateNames.Name(call.link->state()))},
       {.name = "silent_ms",
        .value = heard ? Milliseconds(now - *heard) : "unknown"},
       {.name = "sent_ms",
        .value = call.sending ? Milliseconds(now - call.sent_at) : "none"},
       {.name = "here_ms", .value = Milliseconds(now - call.call.received)},
       {.name = "left_ms",
        .value = Milliseconds(TimeLeft(call.deadline, now))}});
}

}  // namespace pistachioweir
