// stop_plan: decides what a daemon that was told to stop still takes, and when
// it may end.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "include/base/time.h"

namespace pistachioweir {

// What is going on in a stopping daemon.
struct stop_progress {
  std::uint64_t requests_read = 0;  // Of callers, since the start.
  std::uint64_t calls_read = 0;     // Of other daemons, since the start.
  std::size_t open_requests = 0;    // Of callers, not answered yet.
  std::size_t runs = 0;             // At the target.
  // Most that a request or a run needed lately, apart from what connections
  // that were lost on the way cost it.
  duration max_request_time{0};
};

// A stopping daemon serves until shortly before it would be killed, or until
// ending interrupts nothing: what it turned away before would be lost for no
// reason. It stays for kMinLinger, in which callers learn that they may not
// come, then ends when nothing is in progress and nothing has come for
// kIdlePeriod. A busy daemon closes early enough that twice what requests took
// lately is left.
//
// Pure logic.
class stop_plan {
 public:
  // Two questions a second apart, the first up to a second after the signal,
  // and their answers' way.
  static constexpr milliseconds kMinLinger{2300};
  static constexpr milliseconds kIdlePeriod{300};
  // Some time after all who ask have gone.
  static constexpr milliseconds kMaxCallerWait{3000};
  // Requests are taken until then however long they may take; half of a
  // shorter time to stop. What is taken later could still be in progress at the
  // end, and would be cut off.
  static constexpr milliseconds kAcceptAllPeriod{2500};
  // Left for ending itself before the kill.
  static constexpr milliseconds kExitReserve{400};
  // Before the end, for the answers of what could not be finished to go out.
  static constexpr milliseconds kAnswerReserve{100};
  // What requests took lately is taken for at least this: of short ones, some
  // are held up by a connection that is lost on the way (400 ms).
  static constexpr milliseconds kMinRequestTime{400};

  void Begin(time_point now, milliseconds timeout) {
    stopping_ = true;
    stop_started_ = now;
    exit_by_ = now + std::max(timeout - kExitReserve, timeout / 2);
    last_request_ = now;
    last_call_ = now;
  }

  // When requests in progress are answered as they are: from then on an answer
  // of their target comes too late. Only while stopping.
  [[nodiscard]] time_point answer_by() const {
    return exit_by_ -
           std::min<duration>(kAnswerReserve, (exit_by_ - stop_started_) / 4);
  }

  // Call often while stopping.
  void Update(const stop_progress& progress, time_point now) {
    if (progress.requests_read != progress_.requests_read) {
      last_request_ = now;
    }
    if (progress.calls_read != progress_.calls_read) {
      last_call_ = now;
    }
    progress_ = progress;
  }

  [[nodiscard]] bool stopping() const { return stopping_; }

  // Whether requests on open connections and calls of other daemons are still
  // served.
  [[nodiscard]] bool AcceptsRequests(time_point now) const {
    return !stopping_ || now < AcceptUntil(1);
  }

  // Whether new connections are still taken.
  [[nodiscard]] bool AcceptsConnections(time_point now) const {
    return !stopping_ || now < AcceptUntil(2);
  }

  // Notes the progress as well.
  [[nodiscard]] bool IsOver(const stop_progress& progress, time_point now) {
    Update(progress, now);
    if (now >= exit_by_) {
      return true;
    }
    if (progress.open_requests > 0 || progress.runs > 0 ||
        now - stop_started_ < kMinLinger) {
      return false;
    }
    const bool callers_idle = now - last_request_ >= kIdlePeriod ||
                              now - stop_started_ >= kMaxCallerWait;
    return !AcceptsConnections(now) ||
           (callers_idle && now - last_call_ >= kIdlePeriod);
  }

 private:
  // When `factor` what a request may take is left.
  [[nodiscard]] time_point AcceptUntil(int factor) const {
    const duration stop = exit_by_ - stop_started_;
    const duration request_time =
        std::clamp<duration>(progress_.max_request_time, kMinRequestTime, stop);
    return stop_started_ +
           std::max(std::min<duration>(kAcceptAllPeriod, stop / 2),
                    stop - factor * request_time);
  }

  bool stopping_ = false;
  time_point stop_started_;
  time_point exit_by_;
  time_point last_request_;
  time_point last_call_;
  // Before the first is noted, requests may take any time.
  stop_progress progress_{.max_request_time = duration::max()};
};

}  // namespace pistachioweir
