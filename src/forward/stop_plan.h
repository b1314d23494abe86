// stop_plan: decides which requests a stopping daemon accepts, until when it
// accepts connections, and when it may exit.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "include/admit/stop_window.h"
#include "include/base/time.h"

namespace pistachioweir {

// Progress of a stopping daemon.
struct stop_progress {
  std::uint64_t requests_read = 0;   // From callers, since the start.
  std::uint64_t requests_begun = 0;  // Of these, those that were sent on.
  std::uint64_t calls_read = 0;      // From other daemons, since the start.
  std::size_t open_requests = 0;     // From callers, unanswered.
  std::size_t runs = 0;              // At the target.
  // Callers' connections that have had their last response and aren't closed.
  // What of it the kernel hasn't sent yet is lost if the process ends while
  // bytes of the caller are unread.
  std::size_t lingering = 0;
};

// A stopping daemon serves until shortly before it would be killed, or until
// exiting interrupts nothing: earlier refusals would be needless. It accepts
// each request that is sure to end before (see stop_window). It stays for at
// least kMinLinger, in which callers learn that it is not ready, and then exits
// when nothing is in progress and nothing has arrived for kIdlePeriod. Callers
// all of whose requests are refused soon find the port closed, which sends them
// elsewhere at once.
//
// Pure logic.
class stop_plan {
 public:
  // Covers two readiness checks a second apart, the first up to a second after
  // the signal, and the round trips of both.
  static constexpr milliseconds kMinLinger{2300};
  static constexpr milliseconds kIdlePeriod{300};
  // Callers that still send requests delay the exit until then. It is later
  // than callers that check readiness take to go elsewhere.
  static constexpr milliseconds kMaxCallerWait{3000};
  // Requests are accepted for this long, or half of a shorter stop timeout,
  // regardless of how long they may take. The platform excuses interrupting
  // those sent up to 3 s after the signal; the rest is for a late signal.
  static constexpr milliseconds kAcceptAllPeriod{2500};
  // Reserved for the shutdown itself before the kill.
  static constexpr milliseconds kExitReserve{300};
  // Reserved before the exit for sending the answers of unfinished requests.
  static constexpr milliseconds kAnswerReserve{100};
  // Callers that connect this long before the exit or later are refused by the
  // kernel: the deadlines of most requests don't fit in any more.
  static constexpr milliseconds kNoConnectionsPeriod{400};

  void Begin(time_point now, milliseconds timeout) {
    stopping_ = true;
    stop_started_ = now;
    exit_by_ = now + std::max(timeout - kExitReserve, timeout / 2);
    last_request_ = now;
    last_begun_ = now;
    last_call_ = now;
    const duration stop = exit_by_ - stop_started_;
    window_ = {
        .any_until = now + std::min<duration>(kAcceptAllPeriod, stop / 2),
        .end_by = exit_by_ - std::min<duration>(kAnswerReserve, stop / 4)};
  }

  // Which requests are accepted. At its end, open requests are answered without
  // waiting for their targets, whose answers would come too late.
  [[nodiscard]] const stop_window& window() const { return window_; }

  // Records progress; call often while stopping.
  void Update(const stop_progress& progress, time_point now) {
    if (progress.requests_read != progress_.requests_read) {
      last_request_ = now;
    }
    if (progress.requests_begun != progress_.requests_begun) {
      last_begun_ = now;
    }
    if (progress.calls_read != progress_.calls_read) {
      last_call_ = now;
    }
    progress_ = progress;
  }

  [[nodiscard]] bool stopping() const { return stopping_; }

  [[nodiscard]] bool AcceptsConnections(time_point now) const {
    const bool refuses_all =
        now >= window_.any_until && last_request_ - last_begun_ >= kIdlePeriod;
    return !stopping_ || !(refuses_all || IsNearExit(now));
  }

  // Whether the daemon may exit. Records progress too.
  [[nodiscard]] bool IsOver(const stop_progress& progress, time_point now) {
    Update(progress, now);
    if (now >= exit_by_) {
      return true;
    }
    if (progress.open_requests > 0 || progress.runs > 0 ||
        progress.lingering > 0 || now - stop_started_ < kMinLinger) {
      return false;
    }
    const bool callers_idle = now - last_request_ >= kIdlePeriod ||
                              now - stop_started_ >= kMaxCallerWait;
    return IsNearExit(now) || (callers_idle && now - last_call_ >= kIdlePeriod);
  }

 private:
  [[nodiscard]] bool IsNearExit(time_point now) const {
    return now >= std::max(window_.any_until, exit_by_ - kNoConnectionsPeriod);
  }

  bool stopping_ = false;
  time_point stop_started_;
  time_point exit_by_;
  stop_window window_;  // Of a daemon that isn't stopping before Begin().
  time_point last_request_;
  time_point last_begun_;
  time_point last_call_;
  stop_progress progress_;
};

}  // namespace pistachioweir
