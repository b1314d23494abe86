// executor: runs calls on the target beside this daemon. Admits, queues or
// refuses each call and reports its definite or unknown outcome.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "include/admit/adaptive_throttle.h"
#include "include/admit/admission_controller.h"
#include "include/admit/stop_feasibility.h"
#include "include/admit/stop_window.h"
#include "include/base/ids.h"
#include "include/base/recent_extreme.h"
#include "include/base/time.h"
#include "include/forward/target_notice.h"
#include "include/forward/target_vouching.h"
#include "include/forward/view_state.h"
#include "include/lineage/running_requests.h"
#include "include/quarantine/crash_suspects.h"
#include "include/retry/downstream_failure_rate.h"
#include "include/route/caller_mix.h"
#include "include/route/kind_index.h"
#include "src/forward/entrance_control.h"
#include "src/forward/suspect_sharing.h"
#include "src/forward/target_run.h"
#include "src/peer/peer_frame.h"

namespace pistachioweir {

class call_log;

// Retry delay for a request that is refused for crashing targets: an earlier
// retry would be refused again.
inline constexpr milliseconds kQuarantineRetryAfter =
    quarantine_options{}.period;

// Sends a request to the target; returns a function that cancels it.
using target_runner =
    std::function<std::function<void()>(target_run run,
                                        std::function<void(run_result)> done)>;

struct executor_counters {
  std::uint64_t completed = 0;
  std::uint64_t refused = 0;  // Not executed, for any reason.
  std::uint64_t unknown = 0;
  std::uint64_t ended_by_stop = 0;  // While the target was running them.
  // Refused because they might not have ended before the stopping daemon.
  std::uint64_t too_long_for_stop = 0;
  std::uint64_t lineages_unreadable = 0;  // See call_frame.
};

// Used on its context's thread only. Owns the admission state and every call
// until it is answered.
class executor {
 public:
  using callback = std::function<void(answer_frame)>;

  // Receives suspects (requests that may have crashed the target) and cleared
  // suspects, to publish to other daemons.
  using suspects_listener =
      std::function<void(const suspects_frame&, suspects_source)>;

  executor(boost::asio::io_context& context,
           target_runner run,
           call_log& log,
           incarnation_id self = {});

  // Sets the number of slots that the target beside the daemon registered.
  void SetSlots(std::uint32_t slots);
  // Sets the number of targets of the local target's service.
  void SetTargets(std::uint32_t targets) {
    if (entrance_) {
      entrance_->SetTargets(targets);
    }
  }
  // Sets the instance of the target that is registered beside the daemon. A
  // change means that the previous instance has ended.
  void SetTargetStart(const std::string& start);
  // Sets the instance of the target beside the daemon if its entry is listed
  // as ready, empty if it is leaving; nothing if it isn't listed.
  void SetListedTarget(std::optional<std::string> start) {
    if (!start) {
      vouching_.SetUnlisted(monotonic_clock::now());
    } else if (start->empty()) {
      vouching_.SetLeaving(monotonic_clock::now());
    } else {
      vouching_.SetTarget(*std::move(start));
    }
  }
  // Sets the sources of the state of the daemon's view of the platform's store,
  // of the time since a daemon that reads the store confirmed the view, and of
  // the time since the store answered.
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
  // Applies suspects received from another daemon. Forwards those that are new
  // to the listener. Returns the received suspects that completed here
  // recently, as cleared.
  suspects_frame ImportSuspects(const suspects_frame& received);
  // Receives what the target says about itself whenever that changes.
  void OnNotice(std::function<void(const known_notice&)> listener) {
    on_notice_ = std::move(listener);
  }
  // What the target last said about itself, for other daemons.
  [[nodiscard]] known_notice Notice() const {
    return notices_.Known(monotonic_clock::now());
  }
  // Applies what the daemon at `ip` had been told before this one restarted.
  void ImportNotice(const known_notice& notice, const std::string& ip);
  // The initial suspects for a daemon that connects.
  [[nodiscard]] std::vector<quarantine_entry> KnownSuspects() const;
  // Whether a request from a local caller is refused because equal requests
  // have crashed targets. Checked at the caller's daemon too, since the daemons
  // beside the targets of a service don't exchange suspects, but all of them
  // publish theirs to their callers.
  [[nodiscard]] bool IsQuarantined(const std::string& route,
                                   const relayed_request& request,
                                   time_point now) const;
  // A request of a local caller was answered by its target.
  void NoteCompleted(const std::string& route,
                     const relayed_request& request,
                     const std::string& request_id,
                     time_point now);
  // To be called once a second.
  void Tick(time_point now);

  // Runs the call and calls `done` once, now or later. Returns the call's id.
  std::uint64_t Serve(call_frame call, callback done);
  // Sets the pressure of a service that the target calls.
  void UpdateDownstreamPressure(const std::string& service,
                                double pressure,
                                time_point now);

  // Which evidence tells the requests that the target's calls are made for.
  void SetLineagePolicy(lineage_policy policy) { lineage_policy_ = policy; }
  [[nodiscard]] bool keeps_lineage() const {
    return lineage_policy_ != lineage_policy::kOff;
  }
  // The running request that a call of a local caller is made for, if it is
  // made by the target. `made_by_targets` tells whether calls on its route are
  // known to be; deadlines are evidence only then.
  [[nodiscard]] parent_match FindParent(std::string_view call_id,
                                        time_point deadline,
                                        bool made_by_targets);
  // A request that FindParent() found; nullptr if it has ended.
  [[nodiscard]] const running_request* FindRunning(std::uint64_t key) const {
    return running_.Find(key);
  }
  // Root requests are admitted by the capacity of the local target and of the
  // services below, too. Needs a lineage policy, and comes before SetSlots().
  void AdmitByCost() { entrance_ = std::make_unique<entrance_control>(); }
  // A service that the target called for a request of the kind `root` has room
  // for this share of them.
  void UpdateEntranceShare(const std::string& root,
                           const std::string& service,
                           double share,
                           time_point now) {
    if (entrance_) {
      entrance_->UpdateBelow(root, service, share, now);
    }
  }
  // Nullptr unless AdmitByCost() was called.
  [[nodiscard]] const entrance_control* entrance() const {
    return entrance_.get();
  }
  // Receives the keys of idempotent runs, as in parent_match, that ended
  // without an answer; later, not while the run ends.
  void OnRunLost(std::function<void(std::uint64_t)> listener) {
    on_run_lost_ = std::move(listener);
  }
  // Calls searched for their parents, by the evidence found.
  using lineage_counts =
      std::array<std::uint64_t, kLineageEvidenceNames.size()>;
  [[nodiscard]] const lineage_counts& lineages() const {
    return lineage_counts_;
  }

  // A call that the target made has ended.
  void OnTargetCallEnd(bool failed, time_point now) {
    downstream_failures_.Add(failed, now);
  }

  // Called when the caller disconnected. Ends a queued call, and stops a
  // running one at the target if it may be repeated. A call that may run only
  // once continues to its end: half of it may be done, and its effect must be
  // complete or absent.
  void Cancel(std::uint64_t id);
  // The connection that carried the call has ended. Refuses the call if it is
  // about to start: its sender has given it up, or asks for it over another
  // connection and may send it elsewhere. Queued and running calls go on.
  void OnConnectionEnd(std::uint64_t id);

  // Announces that the daemon is stopping: other daemons then send calls here
  // only if no other target can accept them. Such calls are served if they may
  // begin in the window, at whose end the owner calls EndOpenRuns().
  void Leave(const stop_window& window) {
    leaving_ = true;
    stop_window_ = window;
  }
  // Refuses new calls from now on; those in progress continue.
  void Drain();
  // Refuses all calls from now on, and answers those in progress: not executed
  // if the run has not begun, otherwise unknown.
  void EndOpenRuns();
  [[nodiscard]] bool leaving() const { return leaving_; }
  // Recent maximum of a call's time from arrival to answer.
  [[nodiscard]] duration MaxRequestTime(time_point now) {
    return max_request_time_.Get(now).value_or(duration(0));
  }
  [[nodiscard]] std::size_t in_progress() const { return calls_.size(); }
  [[nodiscard]] load_report Load() const;
  // Sent to callers' daemons with each answer, besides the load.
  [[nodiscard]] neighbour_report Report() const;
  [[nodiscard]] const executor_counters& counters() const { return counters_; }
  // What the target last said about itself.
  [[nodiscard]] const target_notices& notices() const { return notices_; }
  // Requests sent to the target within the last second.
  [[nodiscard]] std::uint32_t recent_starts(time_point now) const {
    return admission_.rate().recent_starts(now);
  }

 private:
  struct served_call {
    call_frame call;
    callback done;
    time_point arrived;
    time_point started;
    time_point deadline;
    time_point start_by;     // Latest start, besides other bounds.
    time_point objective;    // Latency objective.
    std::uint32_t kind = 0;  // Of call, for the duration estimates.
    request_fingerprint fingerprint;
    admission_handle admitted;
    std::function<void()> cancel;  // Only while it runs.
    bool caller_disconnected = false;
    // Nothing without entrance_, or if it was refused before that was asked.
    std::optional<entrance_control::arrival> counted;
  };

  // State of one kind of call.
  struct kind_state {
    adaptive_throttle throttle;
    caller_mix callers;
    // What runs of the kind have shown while lineages were kept.
    bool has_succeeded = false;
    bool makes_calls = false;   // They were possible parents of calls.
    std::uint32_t running = 0;  // Of the kind, in `running_`.
    // Of the last call of the kind.
    priority level = priority::kNormal;
    milliseconds objective{0};
    time_point last_call;
  };

  struct downstream_service {
    double pressure = 0;
    time_point received_at;
  };

  using call_map = std::unordered_map<std::uint64_t, served_call>;

  [[nodiscard]] time_point LatestStart(const served_call& served,
                                       time_point now) const;
  [[nodiscard]] reason RefusalOf(served_call& served, time_point now);
  // Whether the limits of root requests admit the call. Calls made by targets
  // always pass.
  [[nodiscard]] bool PassesEntrance(served_call& served, time_point now);
  void CountRunEnd(const served_call& served,
                   const run_result& result,
                   time_point now);
  void LogOverload();
  // Starts the call once the input that is ready now has been handled.
  void ScheduleStart(std::uint64_t id);
  void StartScheduled();
  // Gives back the slot or the place in the queue of a call that hasn't
  // started. Returns false if it has neither.
  bool Withdraw(std::uint64_t id);
  void Start(std::uint64_t id);
  void AddRunning(std::uint64_t id, const served_call& served);
  void RemoveRunning(std::uint64_t id, const served_call& served);
  void NoteParent(const parent_match& match);
  // Whether runs of the kind make calls. True as well while that isn't known:
  // origins send fewer repeats of such kinds.
  [[nodiscard]] bool MayMakeCalls(std::uint32_t kind) const;
  void OnRunEnd(std::uint64_t id, run_result result);
  void Refuse(std::uint64_t id, reason why, milliseconds retry_after);
  void PublishNotice();
  void LogRateLimited(std::uint64_t id,
                      const served_call& served,
                      time_point now);
  void Answer(std::uint64_t id, answer_frame answer);
  void ProcessAdmissionEvents();
  void ArmWakeup();
  // Nothing if no called service reported any recently.
  [[nodiscard]] std::optional<double> DownstreamPressure(time_point now) const;
  [[nodiscard]] double OwnPressure(time_point now) const;
  void UpdateTargetState(const run_result& result, time_point now);
  void UpdateNotices(const served_call& served,
                     const target_notice& notice,
                     time_point now);
  // Changes notices_ by `update`, and applies, logs and publishes the result if
  // it differs. `source` is the request or the daemon that it was learnt from.
  void ChangeNotices(const std::function<void()>& update,
                     std::string_view source);
  void UpdateSuspects(const served_call& served,
                      const run_result& result,
                      time_point now);
  void ReportTargetCrash(time_point now);
  void LogVouching(const view_state& view, time_point now);
  void PublishCleared(const request_fingerprint& request,
                      const std::string& request_id);
  // Whether requests for this instance of the target mustn't reach it any more,
  // even if their senders' views still list it.
  [[nodiscard]] bool HasTargetLeft(const std::string& target,
                                   time_point now) const;
  [[nodiscard]] bool IsTargetDown(time_point now) const;
  // Why a call mustn't reach the target now; kNone if it may.
  [[nodiscard]] reason StartRefusalOf(const served_call& served,
                                      time_point now);

  const target_runner run_;
  call_log& log_;
  boost::asio::steady_timer wakeup_;
  bool wakeup_armed_ = false;
  admission_controller admission_;
  kind_index kinds_;
  std::array<kind_state, kind_index::kMaxKinds> by_kind_;
  std::unordered_map<std::string, downstream_service> downstream_;
  downstream_failure_rate downstream_failures_;
  stop_feasibility run_times_;  // Of the target's runs.
  call_map calls_;
  std::uint64_t next_id_ = 1;
  // Calls that hold a slot and start with the next StartScheduled(), which is
  // pending whenever there are any.
  std::vector<std::uint64_t> starting_;
  time_point target_down_until_;
  std::string target_start_;  // Empty until one is registered.
  crash_suspects suspects_;
  target_notices notices_;
  target_vouching vouching_;
  std::string logged_vouched_;  // As last logged.
  std::function<view_state()> view_state_;
  std::function<milliseconds()> view_age_;
  std::function<std::optional<milliseconds>()> store_answered_ago_;
  lineage_policy lineage_policy_ = lineage_policy::kOff;
  running_requests running_;  // Empty if the policy is off.
  lineage_counts lineage_counts_{};
  std::function<void(std::uint64_t)> on_run_lost_;
  std::unique_ptr<entrance_control> entrance_;
  bool overload_logged_ = false;
  suspects_listener on_suspects_;
  std::function<void(const known_notice&)> on_notice_;
  bool notice_pending_ = false;  // Published by the next Tick().
  bool slots_known_ = false;
  bool leaving_ = false;
  bool draining_ = false;  // Implies leaving_.
  stop_window stop_window_;
  recent_maximum max_request_time_;
  executor_counters counters_;
};

}  // namespace pistachioweir
