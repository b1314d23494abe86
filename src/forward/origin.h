// origin: the calling side of a daemon. Routes each request to a service,
// places it on a target, sends it there, and retries where the route's policy
// and the deadline allow.
#pragma once

#include <array>
#include <bitset>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "include/admit/stop_window.h"
#include "include/base/ids.h"
#include "include/base/recent_extreme.h"
#include "include/base/time.h"
#include "include/config/settings.h"
#include "include/forward/lapsed_targets.h"
#include "include/forward/service_view.h"
#include "include/forward/target_changes.h"
#include "include/forward/target_notice.h"
#include "include/lineage/running_requests.h"
#include "include/organisation/key_check.h"
#include "include/quota/quota_ledger.h"
#include "include/retry/ranked_repeat_budget.h"
#include "include/retry/repeat_budget.h"
#include "include/retry/reserve_share.h"
#include "include/retry/send_feasibility.h"
#include "include/route/balancer.h"
#include "include/route/kind_index.h"
#include "include/route/weighted_split.h"
#include "src/forward/relayed_call.h"
#include "src/peer/peer_link.h"

namespace pistachioweir {

class call_log;
class executor;

// Retry-after of a stopping daemon: short, since other daemons can serve the
// caller at once.
inline constexpr milliseconds kDrainingRetryAfter{100};

struct origin_options {
  vm_id vm;
  std::string service;  // Service of the local target.
  std::string data_centre;
  endpoint own_target;
  std::uint16_t peer_port = 0;  // Port on which all daemons accept peers.
  incarnation_id self{};
  std::shared_ptr<memory_budget> memory;  // See peer_link_options.
  // Limits for all daemons together, for each called service and window.
  double repeat_ratio = 0.1;
  double repeat_reserve = 10;
  milliseconds repeat_window{10000};
  repeat_sharing_policy repeat_sharing = repeat_sharing_policy::kLocal;
  // With kShared: the ratio that inherited repeats and those of kinds whose
  // runs make no calls may use; the others may use `repeat_ratio`.
  double leaf_repeat_ratio = 0.1;
  // With kShared: the ratio of all of them after `started`, if lower; see
  // ranked_repeat_options.
  double starting_repeat_ratio = 0.1;
  time_point started;  // When this daemon started.
  std::function<suspects_frame(const suspects_frame&)> on_suspects;
  // The daemon at `ip` reported the state of its view.
  std::function<void(const std::string& ip, const neighbour_report& report)>
      on_report;
  // The daemon at `ip` is unreachable or is stopping.
  std::function<void(const std::string& ip)> on_peer_lost;
  // There is a new connection to the daemon at `ip`.
  std::function<void(const std::string& ip)> on_peer_connected;
  // Time since the configuration was last proven to be the newest one; nullopt
  // if it never was.
  std::function<std::optional<milliseconds>()> proven_age;
  // Maximum proven age of a configuration for checking API keys; zero means
  // unlimited.
  milliseconds max_key_age{0};
  // The target at an address isn't the one that the view lists there.
  std::function<void()> on_stale_target;
  // Newest known revision of the platform's store.
  std::function<std::uint64_t()> revision;
  // Encoded frame of the changes after `revision`; nullptr if there are none.
  std::function<std::shared_ptr<const std::string>(std::uint64_t revision)>
      changes_since;
  // Another daemon sent changes of the store.
  std::function<void(const view_changes&)> on_changes;
  // Another daemon answered a request for a freshness proof sent at `asked`.
  std::function<void(const freshness_proof&, boot_time asked)> on_proof;
  // Admits or refuses a request by the organisation's quota. If empty, all are
  // admitted.
  std::function<quota_decision(organisation_id)> admit;
  // An admitted request was not executed.
  std::function<void(organisation_id)> refund_quota;
  // The daemon at `ip` answered a usage report.
  std::function<void(const std::string& ip, const quota_frame&)> on_quota;
  // The daemon at `ip` answered a report of repeats; nothing if the answer
  // can't be read.
  std::function<void(const std::string& ip, const std::optional<repeat_frame>&)>
      on_repeat_grant;
};

struct origin_counters {
  std::uint64_t completed = 0;
  std::uint64_t not_executed = 0;
  std::uint64_t unknown = 0;
  std::uint64_t abandoned = 0;  // The caller disconnected.
  std::uint64_t begun = 0;      // Sent at least once.
  std::uint64_t sent_again = 0;
  std::uint64_t ended_by_stop = 0;        // Open when the daemon stopped.
  std::uint64_t ended_with_parent = 0;    // See origin::EndCallsOf().
  std::uint64_t lineages_unreadable = 0;  // See answer_frame.
  // Included in `not_executed`.
  std::uint64_t unauthenticated = 0;
  std::uint64_t keys_unconfirmed = 0;
  std::uint64_t over_quota = 0;
  // Not sent since they might not have ended before the stopping daemon.
  std::uint64_t too_long_for_stop = 0;
};

// Used on its context's thread only. Owns the state of targets, the links to
// their daemons, and each call until it is answered.
class origin {
 public:
  // Identifies a call in progress.
  using call_id = std::uint64_t;

  origin(boost::asio::io_context& context,
         origin_options options,
         executor& local,
         call_log& log);
  ~origin();

  void SetView(std::shared_ptr<const service_view> view);

  // Sets this daemon's position among the callers of its data centre; see
  // target_ring.
  void SetPosition(double position);

  // Starts a call. `done` runs exactly once, possibly before Submit() returns,
  // unless the call is abandoned first.
  call_id Submit(relayed_call call, relayed_callback done);
  // Cancels a call whose caller disconnected.
  void Abandon(call_id id);
  // Cancels the idempotent calls made for a run that is lost; `parent` as in
  // parent_match.
  void EndCallsOf(std::uint64_t parent);

  // Sends a frame of suspects to the linked daemons in `to`, and removes those
  // with healthy links from `to`.
  void SendSuspects(const std::shared_ptr<const std::string>& frame,
                    std::set<incarnation_id>* to);
  // Connects to some daemons without a link; each link sends all known suspects
  // when it is established.
  void PushSuspectsToUnlinked();
  // Subscribes to store changes from the daemons at these IP addresses, and
  // unsubscribes from all others.
  void Follow(const std::vector<std::string>& ips);
  // The daemon at `ip` told what the target beside it says about itself.
  void OnNotice(const std::string& ip, const known_notice& notice);
  // Requests store changes from the daemon at `ip` once.
  void AskChanges(const std::string& ip);
  // Reports quota usage to the daemon at `ip`.
  void SendUsage(const std::string& ip, const usage_frame& usage);
  // Whether the daemon at `ip` is connected and reads reports of repeats.
  [[nodiscard]] bool ReadsRepeatReports(const std::string& ip);
  // Reports repeats to it.
  void SendRepeatReport(const std::string& ip, const repeat_frame& report);
  // The budgets of all called services.
  [[nodiscard]] std::vector<own_repeat_budget> RepeatBudgets();
  // Over all called services.
  [[nodiscard]] ranked_repeat_counters RepeatCounters() const;
  // Requests freshness proofs from the daemons at these IP addresses and from
  // up to `additional` linked daemons, chosen round-robin.
  void AskProofs(const std::vector<std::string>& ips, std::size_t additional);
  // Called once a second.
  void Tick(time_point now);
  // Called when the daemon begins to stop: only calls that may begin in the
  // window are sent. The owner calls EndOpenCalls() at its end.
  void SetStopWindow(const stop_window& window) { stop_window_ = window; }
  // Answers all calls in progress: not executed if no part was sent, else
  // unknown. Logs what each was waiting for.
  void EndOpenCalls();
  // Recent maximum of a request's time in queues and at targets. Excludes
  // network time, which does not predict that of the next request.
  [[nodiscard]] duration MaxRequestTime(time_point now) {
    return max_request_time_.Get(now).value_or(duration(0));
  }

  [[nodiscard]] std::size_t in_progress() const { return calls_.size(); }
  // Incarnations of the connected daemons.
  [[nodiscard]] std::set<incarnation_id> linked() const;
  // Sum over all links to other daemons.
  [[nodiscard]] stream_load link_load() const;
  [[nodiscard]] const origin_counters& counters() const { return counters_; }
  [[nodiscard]] const std::shared_ptr<const service_view>& view() const {
    return view_;
  }
  // The view as the store lists it, without retained targets that the store has
  // lost; nullptr before the first view.
  [[nodiscard]] const std::shared_ptr<const service_view>& listed() const {
    return listed_;
  }

 private:
  // State of one called service.
  struct service_state {
    service_state(const balancer_options& placing,
                  const repeat_budget_options& repeating,
                  const ranked_repeat_options& by_rank)
        : targets(placing), repeats(repeating), ranked_repeats(by_rank) {}

    balancer targets;
    // The one in use depends on the policy.
    repeat_budget repeats;
    ranked_repeat_budget ranked_repeats;
    send_feasibility feasibility;
    kind_index kinds;
    // Kinds that are made by targets, as far as their executors know.
    std::bitset<kind_index::kMaxKinds> made_by_targets;
    // Of each kind, calls without a parent by id until deadlines are searched
    // again; see Inherit().
    std::array<std::uint8_t, kind_index::kMaxKinds> ids_decide_for{};
    // Kinds whose runs make no calls, by the last answer that told.
    std::bitset<kind_index::kMaxKinds> without_calls;
  };

  struct placed_call {
    relayed_call call;
    relayed_callback done;
    std::shared_ptr<const service_view> view;  // Keeps `matched` valid.
    const route* matched = nullptr;
    std::string service;
    std::string organisation;  // Holder of the API key; may be empty.
    std::optional<organisation_id> holder;   // Its id.
    std::optional<organisation_id> charged;  // Charged for the call.
    std::uint32_t rank = 0;  // Priority by organisation and route.
    bool ahead = false;      // Precedes calls of other organisations.
    time_point deadline;
    placement_request placing;
    boost::asio::steady_timer deadline_timer;
    boost::asio::steady_timer retry_timer;  // Delay of the next placement.
    // State of the current send.
    target_ref target;
    std::string target_id;
    std::shared_ptr<peer_link> link;  // nullptr for the local target.
    std::uint64_t number = 0;         // Assigned by `link` or the executor.
    time_point sent_at;
    bool sending = false;
    std::uint32_t generation = 0;  // Of sends; a late answer has an older one.

    // Time in queues and at targets, from received answers.
    duration processing_time{0};
    std::uint32_t targets_reached = 0;  // Sends that reached a target.
    // Sends that reached one of `rejecting` again; included above.
    std::uint32_t reached_again = 0;
    // Targets that rejected the request without running it, and gave no time to
    // wait; the last one at the end.
    tried_targets rejecting;
    bool sends_again = false;  // The current send is to one of these.
    bool may_have_run = false;
    bool from_own_target = false;  // Downstream call of the local target.
    parent_match parent;           // The request that it is made for.
    bool has_failure = false;      // `failure` holds a target's response.
    relayed_response failure;
    reason why = reason::kNone;  // Of the last send without an answer.
    milliseconds retry_after{0};

    explicit placed_call(boost::asio::io_context& context)
        : deadline_timer(context), retry_timer(context) {}
  };

  using call_ptr = std::shared_ptr<placed_call>;

  struct heard_notice {
    known_notice notice;
    time_point learnt_at;  // By the daemon beside the target.
  };

  [[nodiscard]] bool FindRoute(placed_call& call, reason* why) const;
  // Checks the caller's API key against the current view.
  [[nodiscard]] key_check_result CheckKeyOf(const placed_call& call) const;
  // Sets the call's organisation, or ends the call and returns false.
  bool Authenticate(call_id id);
  void CountRefusal(reason why);
  // Charges the call to its organisation's quota, or ends the call and returns
  // false.
  bool ChargeQuota(call_id id);
  void StartTimer(call_id id);
  [[nodiscard]] milliseconds TimeoutOf(const placed_call& call) const;
  [[nodiscard]] bool CannotMeetDeadline(const placed_call& call,
                                        time_point now);
  // Whether the call may be sent now, before it is and before each retry. Logs
  // if it might not end before the stopping daemon.
  [[nodiscard]] bool MayBegin(call_id id,
                              const placed_call& call,
                              time_point now);
  // Time within which the target has to begin; zero if only the deadline bounds
  // it.
  [[nodiscard]] milliseconds StartWithin(const placed_call& call,
                                         time_point now) const;
  // Chooses the called service, and sets what placement needs to know.
  void SetPlacing(placed_call* call);
  // Lets the call inherit from the request that it is made for, if any.
  void Inherit(call_id id, placed_call* call);
  void LogRouted(call_id id, const placed_call& call);
  void LogEndedByStop(call_id id, const placed_call& call, time_point now);
  // Authenticates again, then places and sends the call again.
  void Retry(call_id id);
  void PlaceAndSend(call_id id);
  void Send(call_id id, const target_entry& target);
  // What the receiver's target passes on to its calls; nothing without a
  // lineage policy.
  [[nodiscard]] std::optional<call_lineage> LineageOf(
      const placed_call& call) const;
  [[nodiscard]] call_frame FrameOf(const placed_call& call,
                                   const target_entry& target,
                                   time_point now) const;
  void OnAnswer(call_id id, std::uint32_t generation, peer_answer answer);
  void RecordAnswer(placed_call& call,
                    const peer_answer& answer,
                    time_point now);
  [[nodiscard]] bool MayRetry(call_id id,
                              placed_call& call,
                              const answer_frame& answer,
                              time_point now);
  // Whether the request may be sent again to a target that rejected it.
  [[nodiscard]] bool MayTryAgain(const placed_call& call,
                                 const answer_frame& answer,
                                 time_point now);
  void NoteRejection(placed_call& call, const answer_frame& answer);
  [[nodiscard]] placement_request AgainRequest(const placed_call& call) const;
  [[nodiscard]] bool SharesRepeats() const {
    return options_.repeat_sharing == repeat_sharing_policy::kShared;
  }
  // The first send of a call may be a repeat of a run above.
  void ChargeFirstSend(const placed_call& call, time_point now);
  [[nodiscard]] bool SpendRepeat(call_id id,
                                 const placed_call& call,
                                 time_point now);
  void OnTimeout(call_id id);
  // Ends the call, or schedules another placement.
  void FinishOrRetryLater(call_id id);
  void RetryLater(call_id id, milliseconds delay);
  // Removes a call that has ended.
  void Forget(call_id id, const placed_call& call);
  void Finish(call_id id, relayed_result result);
  void FinishWithoutAnswer(call_id id);
  // Records the wait of an unanswered send as processing time if the link is
  // healthy: then the target is slow.
  static void RecordWait(placed_call& call, time_point now);
  // Returns true if no part of the send had left this daemon.
  bool CancelSend(placed_call& call);
  // Cancels the current send, if any, of a call whose answer nobody needs.
  void StopSend(placed_call& call, time_point now);
  [[nodiscard]] relayed_result Failure(const placed_call& call) const;

  void UseTargets(time_point now);
  void KeepLapsed(time_point now);
  void SetKept(std::vector<target_entry> kept);
  void OnReport(const std::string& ip, const neighbour_report& report);
  [[nodiscard]] known_notice NoticeOf(const std::string& ip) const;
  // Applies the limits of targets, and takes those out of use that have said
  // that they are leaving.
  void ApplyNotices();
  void ExpireNotices(time_point now);
  service_state& StateOf(const std::string& service);
  [[nodiscard]] repeat_budget_options RepeatOptions(time_point now);
  [[nodiscard]] ranked_repeat_options RankedRepeatOptions(time_point now);
  void ShareReserve(time_point now);
  [[nodiscard]] std::shared_ptr<peer_link> LinkTo(const std::string& ip);
  [[nodiscard]] peer_link_events EventsOf(const std::string& ip);
  void ForTargetsAt(const std::string& ip,
                    const std::function<void(balancer&, target_ref)>& work);
  // Closes links to hosts that no longer have a target. Runs within events of
  // links too, but never within a loop over `links_`: such loops call only what
  // calls no event.
  void CloseUnusedLinks();
  [[nodiscard]] std::vector<std::string> Unlinked() const;

  boost::asio::io_context& context_;
  const origin_options options_;
  executor& local_;
  call_log& log_;

  std::shared_ptr<const service_view> listed_;  // As the store lists it.
  lapsed_targets lapsed_;
  // View in use: `listed_` and `kept_`, the live targets that the store has
  // lost.
  std::shared_ptr<const service_view> view_;
  std::vector<target_entry> kept_;
  target_directory directory_;  // Of the targets of `view_`.
  double position_ = 0;
  std::unordered_map<std::string, service_state> services_;
  reserve_share reserve_share_;
  std::unordered_map<std::string, weighted_split> splits_;   // By route.
  std::map<std::string, std::shared_ptr<peer_link>> links_;  // By IP.
  std::map<std::string, heard_notice> notices_;              // By IP.
  std::string last_proof_peer_;  // IP; the round-robin position of AskProofs().
  const std::shared_ptr<std::uint64_t> last_number_ =
      std::make_shared<std::uint64_t>(0);  // Last call number, of all links.
  std::unordered_map<call_id, call_ptr> calls_;
  // Idempotent calls by the request that they are made for.
  std::unordered_multimap<std::uint64_t, call_id> calls_by_parent_;
  call_id next_id_ = 1;
  stop_window stop_window_;
  recent_maximum max_request_time_;
  origin_counters counters_;
};

}  // namespace pistachioweir
