// What the origin tells of its calls when the process ends.
#include <string>

#include "include/base/call_log.h"
#include "src/forward/origin.h"

namespace pistachioweir {
namespace {

std::string Milliseconds(duration time) {
  return std::to_string(std::chrono::duration_cast<milliseconds>(time).count());
}

}  // namespace

void origin::LogOpen(time_point now) {
  for (const auto& [id, call] : calls_) {
    ++counters_.open_at_end;
    const auto heard =
        call->link == nullptr ? std::nullopt : call->link->last_heard();
    log_.Add(
        id, call->call.id, "open_at_end",
        {{.name = "sending", .value = call->sending ? "yes" : "no"},
         {.name = "target", .value = call->target_id},
         {.name = "link",
          .value = call->link == nullptr ? "own"
                                         : std::string(kLinkStateNames.Name(
                                               call->link->state()))},
         {.name = "silent_ms",
          .value = heard ? Milliseconds(now - *heard) : "unknown"},
         {.name = "sent_ms",
          .value = call->sending ? Milliseconds(now - call->sent_at) : "none"},
         {.name = "here_ms", .value = Milliseconds(now - call->call.received)},
         {.name = "left_ms",
          .value = Milliseconds(TimeLeft(call->deadline, now))}});
    log_.End(id, call->call.id, true);
  }
}

}  // namespace pistachioweir
