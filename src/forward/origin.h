// origin: the daemon beside a caller. Finds the service and the target of each
// request, sends it there, and tries again where that is allowed and can help.
#pragma once

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

#include "include/base/ids.h"
#include "include/base/recent_extreme.h"
#include "include/base/time.h"
#include "include/config/settings.h"
#include "include/forward/lapsed_targets.h"
#include "include/forward/service_view.h"
#include "include/organisation/key_check.h"
#include "include/quota/quota_ledger.h"
#include "include/retry/hopeless_sends.h"
#include "include/retry/repeat_budget.h"
#include "include/retry/reserve_share.h"
#include "include/route/balancer.h"
#include "include/route/kind_index.h"
#include "include/route/weighted_split.h"
#include "src/forward/relayed_call.h"
#include "src/peer/peer_link.h"

namespace pistachioweir {

class call_log;
class executor;

// When to come back where the daemon is stopping: others are there already.
inline constexpr milliseconds kDrainingRetryAfter{100};

struct origin_options {
  vm_id vm;
  std::string service;  // Of the target beside this daemon.
  std::string data_centre;
  endpoint own_target;
  std::uint16_t peer_port = 0;  // Where all daemons listen for each other.
  incarnation_id self{};
  // Of all daemons together, for each called service and window.
  double repeat_ratio = 0.1;
  double repeat_reserve = 10;
  milliseconds repeat_window{10000};
  std::function<suspects_frame(const suspects_frame&)> on_suspects;
  // The daemon at `ip` told how new its view is.
  std::function<void(const std::string& ip, const neighbour_report& report)>
      on_report;
  // It can't be reached, or is stopping.
  std::function<void(const std::string& ip)> on_lost;
  // How long ago the configuration is proven to have been the newest one;
  // nothing if that was never proven.
  std::function<std::optional<milliseconds>()> proven_age;
  // Oldest configuration that API keys may be judged by; zero if any may.
  milliseconds max_key_age{0};
  // A target turned out to be another one than the view has at its address.
  std::function<void()> on_stale_target;
  // The newest change of the platform's store that is known of.
  std::function<std::uint64_t()> revision;
  // What changed behind `revision` as a frame, if anything did.
  std::function<std::shared_ptr<const std::string>(std::uint64_t revision)>
      changes_since;
  // Another daemon told what has changed.
  std::function<void(const view_changes&)> on_changes;
  // Another daemon proved how new its view is; it was asked at `asked`.
  std::function<void(const freshness_proof&, boot_time asked)> on_proof;
  // Whether one more request of the organisation is let in; all are if empty.
  std::function<quota_decision(organisation_id)> admit;
  // One that was let in has not run.
  std::function<void(organisation_id)> give_back;
  // The daemon at `ip` answered a report of use.
  std::function<void(const std::string& ip, const quota_frame&)> on_quota;
};

struct origin_counters {
  std::uint64_t completed = 0;
  std::uint64_t not_executed = 0;
  std::uint64_t unknown = 0;
  std::uint64_t abandoned = 0;  // By their callers.
  std::uint64_t sent_again = 0;
  std::uint64_t ended_by_stop = 0;  // While their targets had not answered.
  // Among those not executed.
  std::uint64_t unauthenticated = 0;
  std::uint64_t keys_unconfirmed = 0;
  std::uint64_t over_quota = 0;
};

// Used on its context's thread only. Owns what is known of targets, the links
// to their daemons, and every call until it is answered.
class origin {
 public:
  // Names a call in progress.
  using call_id = std::uint64_t;

  origin(boost::asio::io_context& context,
         origin_options options,
         executor& local,
         call_log& log);
  ~origin();

  void SetView(std::shared_ptr<const service_view> view);

  // Serves the request; `done` is called once, now or later, unless the call is
  // abandoned before.
  call_id Submit(relayed_call call, relayed_callback done);
  // The caller has gone.
  void Abandon(call_id id);

  // Sends a frame of suspects to those of `to` that are linked, and takes out
  // those whose links are well.
  void SendSuspects(const std::shared_ptr<const std::string>& frame,
                    std::set<incarnation_id>* to);
  // Connects to some daemons that are not linked, which are so told of all
  // suspects that are known.
  void TellFurtherDaemons();
  // The daemons at these IP numbers, and no others, tell from now on what
  // changes in the store.
  void Follow(const std::vector<std::string>& ips);
  // Asks the daemon at `ip` for it once.
  void AskChanges(const std::string& ip);
  // Tells the daemon at `ip` what was used of quotas.
  void SendUsage(const std::string& ip, const usage_frame& usage);
  // Asks the daemons at these IP numbers how new their views are, and up to
  // `others` more that are connected, different ones each time.
  void AskProofs(const std::vector<std::string>& ips, std::size_t others);
  // Once a second.
  void Tick(time_point now);
  // The daemon stops. Calls are sent only where they are expected to end by
  // `answer_by`; EndOpen() is called then.
  void SetEnd(time_point answer_by) { answer_by_ = answer_by; }
  // Answers all calls in progress: not executed if nothing of them has left,
  // else unknown. Their lines tell what each waited for.
  void EndOpen();
  // Most that a request needed lately, in queues and at targets. What the way
  // to another daemon took says nothing about the next request's.
  [[nodiscard]] duration Longest(time_point now) {
    return longest_.Get(now).value_or(duration(0));
  }

  [[nodiscard]] std::size_t in_progress() const { return calls_.size(); }
  // Daemons that are linked.
  [[nodiscard]] std::set<incarnation_id> linked() const;
  // Of all links to other daemons.
  [[nodiscard]] stream_load link_load() const;
  [[nodiscard]] const origin_counters& counters() const { return counters_; }
  [[nodiscard]] const std::shared_ptr<const service_view>& view() const {
    return view_;
  }
  // Without targets that stay in use though the store has lost them; nullptr
  // before the first view.
  [[nodiscard]] const std::shared_ptr<const service_view>& listed() const {
    return listed_;
  }

 private:
  // What is known of one called service.
  struct service_state {
    service_state(const balancer_options& placing,
                  const repeat_budget_options& repeating)
        : targets(placing), repeats(repeating) {}

    balancer targets;
    repeat_budget repeats;
    hopeless_sends hopeless;
    kind_index kinds;
  };

  struct placed_call {
    relayed_call call;
    relayed_callback done;
    std::shared_ptr<const service_view> view;  // Keeps `matched` valid.
    const route* matched = nullptr;
    std::string service;
    std::string organisation;  // Whose key the caller gave; may be empty.
    std::optional<organisation_id> holder;   // Likewise.
    std::optional<organisation_id> charged;  // Whose quota it was counted for.
    std::uint32_t rank = 0;                  // By organisation and route.
    bool ahead = false;  // Other organisations are to give way to it.
    time_point deadline;
    placement_request placing;
    boost::asio::steady_timer timer;  // Of the deadline.
    boost::asio::steady_timer pause;  // Until the next search for a target.
    // The send in progress, if there is one.
    target_ref target;
    std::string target_id;
    std::shared_ptr<peer_link> link;  // nullptr for the own target.
    std::uint64_t number = 0;         // At the link or the executor.
    time_point sent_at;
    bool sending = false;
    std::uint32_t generation = 0;  // Of sends; late answers have an old one.

    // In queues and at targets, by answers that were heard.
    duration needed{0};
    std::uint32_t reached = 0;  // Sends that reached a target.
    bool may_have_run = false;
    bool by_target = false;    // Made by the target beside this daemon.
    bool has_failure = false;  // `failure` is a target's own answer.
    relayed_response failure;
    reason why = reason::kNone;  // Of the last send that gave no answer.
    milliseconds retry_after{0};

    explicit placed_call(boost::asio::io_context& context)
        : timer(context), pause(context) {}
  };

  using call_ptr = std::shared_ptr<placed_call>;

  [[nodiscard]] bool FindRoute(placed_call& call, reason* why) const;
  // Who holds the caller's key, by the view in use.
  [[nodiscard]] key_check_result CheckKeyOf(const placed_call& call) const;
  // Names the organisation, or ends the call. False if it has ended.
  bool Identify(call_id id);
  void CountRefusal(reason why);
  // Counts the call for its organisation's quota, or ends it. False if it has
  // ended.
  bool Charge(call_id id);
  void StartTimer(call_id id);
  [[nodiscard]] milliseconds TimeoutOf(const placed_call& call) const;
  [[nodiscard]] bool IsHopeless(const placed_call& call, time_point now);
  // Bounds when the target has to begin; zero if only the deadline does.
  [[nodiscard]] milliseconds StartWithin(const placed_call& call,
                                         time_point now) const;
  void LogOpen(call_id id, const placed_call& call, time_point now);
  // A search for a target behind the first.
  void TryAgain(call_id id);
  void Try(call_id id);
  void Send(call_id id, const target_entry& target);
  [[nodiscard]] call_frame FrameOf(const placed_call& call,
                                   const target_entry& target,
                                   time_point now) const;
  void OnAnswer(call_id id, std::uint32_t generation, peer_answer answer);
  void NoteAnswer(placed_call& call, const peer_answer& answer, time_point now);
  [[nodiscard]] bool MayTryAgain(placed_call& call,
                                 const answer_frame& answer,
                                 time_point now);
  void OnTimeout(call_id id);
  // Refuses the call, or has it look for a target again in a moment.
  void FinishOrLookAgain(call_id id);
  void LookAgainIn(call_id id, milliseconds pause);
  void Finish(call_id id, relayed_result result);
  void FinishWithoutAnswer(call_id id);
  // A send has no answer by now. Its target is slow if the way there is well.
  static void NoteWait(placed_call& call, time_point now);
  // True if nothing of the send had left this daemon.
  bool CancelSend(placed_call& call);
  [[nodiscard]] relayed_result Failure(const placed_call& call) const;

  void UseTargets(time_point now);
  void KeepLapsed(time_point now);
  void SetKept(std::vector<target_entry> kept);
  void OnReport(const std::string& ip, const neighbour_report& report);
  service_state& StateOf(const std::string& service);
  [[nodiscard]] repeat_budget_options RepeatOptions(time_point now);
  void ShareReserve(time_point now);
  [[nodiscard]] const target_entry* FindTarget(std::string_view id) const;
  [[nodiscard]] std::shared_ptr<peer_link> LinkTo(const std::string& ip);
  [[nodiscard]] peer_link_events EventsOf(const std::string& ip);
  void ForTargetsAt(const std::string& ip,
                    const std::function<void(balancer&, target_ref)>& work);
  void CloseUnusedLinks();
  [[nodiscard]] std::vector<std::string> Unlinked() const;

  boost::asio::io_context& context_;
  const origin_options options_;
  executor& local_;
  call_log& log_;

  std::shared_ptr<const service_view> listed_;  // As the store has it.
  lapsed_targets lapsed_;
  // What is in use: `listed_`, and targets that it has lost though they live.
  std::shared_ptr<const service_view> view_;
  std::vector<target_entry> kept_;                              // Those.
  std::unordered_map<std::string, std::size_t> targets_by_id_;  // In view_.
  std::unordered_map<std::string, service_state> services_;
  reserve_share reserve_share_;
  std::unordered_map<std::string, weighted_split> splits_;   // By route.
  std::map<std::string, std::shared_ptr<peer_link>> links_;  // By IP number.
  std::string last_proof_asked_;  // Of the `others`; an IP number.
  const std::shared_ptr<std::uint64_t> last_number_ =
      std::make_shared<std::uint64_t>(0);  // Of calls on all links.
  std::unordered_map<call_id, call_ptr> calls_;
  call_id next_id_ = 1;
  time_point answer_by_ = time_point::max();  // Earlier while stopping.
  recent_maximum longest_;                    // Of what requests needed.
  origin_counters counters_;
};

}  // namespace pistachioweir
