// executor: runs calls on the target beside this daemon. Admits, queues or
// refuses each, and says truthfully what became of it.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "include/admit/adaptive_throttle.h"
#include "include/admit/admission_controller.h"
#include "include/base/ids.h"
#include "include/base/recent_extreme.h"
#include "include/base/time.h"
#include "include/forward/target_vouching.h"
#include "include/forward/view_state.h"
#include "include/quarantine/crash_suspects.h"
#include "include/retry/downstream_failure_rate.h"
#include "include/route/caller_mix.h"
#include "include/route/kind_index.h"
#include "src/forward/suspect_sharing.h"
#include "src/forward/target_run.h"
#include "src/peer/peer_frame.h"

namespace pistachioweir {

class call_log;

// When a request that is refused for crashing targets should come back: it
// would only be refused again before.
inline constexpr milliseconds kQuarantineRetryAfter =
    quarantine_options{}.period;

// Hands a request to the target; returns what gives it up.
using target_runner =
    std::function<std::function<void()>(target_run run,
                                        std::function<void(run_result)> done)>;

struct executor_counters {
  std::uint64_t completed = 0;
  std::uint64_t refused = 0;  // Not executed, for whatever reason.
  std::uint64_t unknown = 0;
  std::uint64_t ended_by_stop = 0;  // While the target was at work.
};

// Used on its context's thread only. Owns the admission state and every call
// until it is answered.
class executor {
 public:
  using callback = std::function<void(answer_frame)>;

  // Hears of requests that may have crashed the target, and of those that
  // crash nothing after all, for other daemons.
  using suspects_listener =
      std::function<void(const suspects_frame&, suspects_source)>;

  executor(boost::asio::io_context& context,
           target_runner run,
           call_log& log,
           incarnation_id self = {});

  // The target beside the daemon registered with so many slots.
  void SetSlots(std::uint32_t slots);
  // The start of the target that is registered beside the daemon. Another one
  // than before means that the one before has ended.
  void SetTargetStart(const std::string& start);
  // The start of the target beside the daemon if its entry is listed as ready,
  // empty if it is leaving; nothing if it isn't listed.
  void SetListedTarget(std::optional<std::string> start) {
    if (!start) {
      vouching_.SetUnlisted(monotonic_clock::now());
    } else if (start->empty()) {
      vouching_.SetLeaving(monotonic_clock::now());
    } else {
      vouching_.SetTarget(*std::move(start));
    }
  }
  // Tell how well the daemon keeps up with the platform's store, how long ago a
  // daemon that reads it confirmed the view, and how long ago the store
  // answered.
  void SetViewState(std::function<view_state()> view,
                    std::function<milliseconds()> age,
                    std::function<std::optional<milliseconds>()> answered_ago) {
    view_state_ = std::move(view);
    view_age_ = std::move(age);
    store_answered_ago_ = std::move(answered_ago);
  }

  void OnSuspects(suspects_listener listener) {
    on_suspects_ = std::move(listener);
  }
  // Another daemon told of requests that may have crashed a target. What is
  // news goes on to the listener. Returns what the other one doesn't know.
  suspects_frame ImportSuspects(const suspects_frame& received);
  // For a daemon that connects.
  [[nodiscard]] std::vector<quarantine_entry> KnownSuspects() const;
  // Whether a request from a caller here is refused because such a one has
  // crashed targets. Known here too, since the daemons beside the targets of a
  // service don't hear of each other, but all of them tell their callers.
  [[nodiscard]] bool IsQuarantined(const std::string& route,
                                   const relayed_request& request,
                                   time_point now) const;
  // A request of a caller here has been answered by its target.
  void NoteCompleted(const std::string& route,
                     const relayed_request& request,
                     const std::string& request_id,
                     time_point now);
  // Once a second.
  void Tick(time_point now);

  // Runs the call and calls `done` once, now or later. Returns a name for it.
  std::uint64_t Serve(call_frame call, callback done);
  // Calls that the target makes find this pressure at a service.
  void UpdateDownstreamPressure(const std::string& service,
                                double pressure,
                                time_point now);

  // A call that the target made has ended.
  void OnTargetCallEnd(bool failed, time_point now) {
    downstream_failures_.Add(failed, now);
  }

  // The caller has gone. A call that waits ends, one that may run again is
  // stopped at the target. One that may run only once goes on to its end: half
  // of it may be done, and its effect is wanted whole or not at all.
  void Cancel(std::uint64_t id);

  // The daemon is stopping: others are told, and send calls here only if no
  // other target can take them. Those are served.
  void Leave() { leaving_ = true; }
  // Refuses new calls from now on; those in progress go on.
  void Drain();
  // Refuses all from now on, and answers what is in progress: not executed if
  // it has not begun, else unknown.
  void EndOpenRuns();
  [[nodiscard]] bool leaving() const { return leaving_; }
  // Most that a call took lately, from its arrival on.
  [[nodiscard]] duration MaxRequestTime(time_point now) {
    return max_request_time_.Get(now).value_or(duration(0));
  }
  [[nodiscard]] std::size_t in_progress() const { return calls_.size(); }
  [[nodiscard]] load_report Load() const;
  // What callers' daemons are told besides.
  [[nodiscard]] neighbour_report Report() const;
  [[nodiscard]] const executor_counters& counters() const { return counters_; }

 private:
  struct served_call {
    call_frame call;
    callback done;
    time_point arrived;
    time_point started;
    time_point deadline;
    time_point start_by;     // The latest start, whatever else bounds it.
    time_point objective;    // Within which an answer is worth most.
    std::uint32_t kind = 0;  // Of work, for the estimates of its duration.
    request_fingerprint fingerprint;
    admission_handle admitted;
    std::function<void()> cancel;  // Only while it runs.
    bool caller_disconnected = false;
  };

  // What is learnt of one kind of work.
  struct kind_state {
    adaptive_throttle throttle;
    caller_mix callers;
    // Of the last call of the kind.
    priority level = priority::kNormal;
    milliseconds objective{0};
    time_point last_call;
  };

  struct downstream_service {
    double pressure = 0;
    time_point received;
  };

  using call_map = std::unordered_map<std::uint64_t, served_call>;

  [[nodiscard]] static time_point LatestStart(const served_call& served,
                                              time_point now);
  [[nodiscard]] reason RefusalOf(const served_call& served, time_point now);
  void StartQueued(std::uint64_t id);
  void Start(std::uint64_t id);
  void OnRunEnd(std::uint64_t id, run_result result);
  void Refuse(std::uint64_t id, reason why, milliseconds retry_after);
  void Answer(std::uint64_t id, answer_frame answer);
  void ProcessAdmissionEvents();
  void ArmWakeup();
  // Nothing if no called service told of any lately.
  [[nodiscard]] std::optional<double> DownstreamPressure(time_point now) const;
  [[nodiscard]] double OwnPressure(time_point now) const;
  void UpdateTargetState(const run_result& result, time_point now);
  void UpdateSuspects(const served_call& served,
                      const run_result& result,
                      time_point now);
  void ReportTargetCrash(time_point now);
  void LogVouching(const view_state& view, time_point now);
  void PublishCleared(const request_fingerprint& request,
                      const std::string& request_id);
  // Requests mustn't reach the target any more, whatever their senders know.
  [[nodiscard]] bool HasTargetLeft(time_point now) const;
  [[nodiscard]] bool IsTargetDown(time_point now) const;

  const target_runner run_;
  call_log& log_;
  boost::asio::steady_timer wakeup_;
  bool wakeup_armed_ = false;
  admission_controller admission_;
  kind_index kinds_;
  std::array<kind_state, kind_index::kMaxKinds> by_kind_;
  std::unordered_map<std::string, downstream_service> downstream_;
  downstream_failure_rate downstream_failures_;
  call_map calls_;
  std::uint64_t next_id_ = 1;
  time_point target_down_until_;
  std::string target_start_;  // Empty until one is registered.
  crash_suspects suspects_;
  target_vouching vouching_;
  std::string logged_vouched_;  // As it was logged last.
  std::function<view_state()> view_state_;
  std::function<milliseconds()> view_age_;
  std::function<std::optional<milliseconds>()> store_answered_ago_;
  suspects_listener on_suspects_;
  bool slots_known_ = false;
  bool leaving_ = false;
  bool draining_ = false;  // And leaving.
  recent_maximum max_request_time_;
  executor_counters counters_;
};

}  // namespace pistachioweir
