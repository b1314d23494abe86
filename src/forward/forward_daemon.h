// forward_daemon: a daemon for one platform, composed of the platform's
// protocols of callers and targets and the store of its configuration.
#pragma once

#include <algorithm>
#include <atomic>
#include <concepts>
#include <csignal>
#include <cstdint>
#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "include/base/call_log.h"
#include "include/base/ids.h"
#include "include/base/log.h"
#include "include/base/random_bits.h"
#include "include/base/time.h"
#include "include/forward/forward_settings.h"
#include "include/forward/service_view.h"
#include "include/forward/target_changes.h"
#include "include/forward/view_changes.h"
#include "include/forward/view_state.h"
#include "include/quarantine/suspect_fanout.h"
#include "include/route/daemon_order.h"
#include "src/base/stop_signals.h"
#include "src/forward/caller_server.h"
#include "src/forward/executor.h"
#include "src/forward/forward_pages.h"
#include "src/forward/origin.h"
#include "src/forward/process_load.h"
#include "src/forward/quota_sharing.h"
#include "src/forward/repeat_sharing.h"
#include "src/forward/stop_plan.h"
#include "src/forward/suspect_sharing.h"
#include "src/forward/target_pool.h"
#include "src/forward/view_sharing.h"
#include "src/net/http_server.h"
#include "src/net/worker_pool.h"
#include "src/peer/peer_server.h"

namespace pistachioweir {

// Source of views. Calls the sink on the context's thread, first when a
// configuration is known, then at each change.
template <typename Source>
concept view_source = std::constructible_from<
    Source,
    boost::asio::io_context&,
    const forward_settings&,
    std::function<void(std::shared_ptr<const service_view>)>> &&
    requires(Source source) {
  source.Start();
  source.Stop();
  // Called on newer data, with the daemon that sent it.
  source.OnNews(std::function<void(const std::string&)>());
  source.SetReading(store_reading::kNone);
  // Another daemon has read this revision.
  source.NoteRevision(std::uint64_t{});
  // The store answered another daemon.
  source.NoteStoreAnswer(time_point());
  // The target at an address isn't the one that the view lists there.
  source.NoteStaleTarget();
  { source.Apply(view_changes{}) } -> std::same_as<changes_verdict>;
  {
    source.ChangesSince(std::uint64_t{})
    } -> std::same_as<std::optional<view_changes>>;
  { source.state() } -> std::same_as<view_state>;
  { source.calls() } -> std::same_as<std::uint64_t>;
  { source.removals_delayed() } -> std::same_as<std::uint64_t>;
};

template <typename Platform>
concept forward_platform = caller_protocol<typename Platform::callers> &&
    target_protocol<typename Platform::targets> &&
    view_source<typename Platform::views>;

// Owns all components. They share one thread: a VM gives the daemon less than
// one processor, so more threads would only add context switches.
template <forward_platform Platform>
class forward_daemon {
 public:
  // `reload` reads the settings again; called on SIGHUP.
  using reloader = std::function<void()>;

  forward_daemon(const forward_settings& settings, reloader reload)
      : settings_(settings),
        reload_(std::move(reload)),
        workers_(1),
        context_(workers_.context(0)),
        incarnation_(NewIncarnation()),
        memory_(std::make_shared<memory_budget>(BudgetOptions(
            static_cast<std::size_t>(settings.memory_mb * kBytesPerMb)))),
        targets_(context_,
                 settings.target,
                 {.max_head_bytes = kMaxResponseHead,
                  .max_body_bytes = kMaxFrameBytes / 2},
                 memory_),
        executor_(
            context_,
            [this](target_run run, std::function<void(run_result)> done) {
              return RunOnTarget(std::move(run), std::move(done));
            },
            executor_log_,
            incarnation_),
        origin_(context_, OriginOptions(settings), executor_, origin_log_),
        peers_(context_,
               {.address = settings.peer,
                .self = incarnation_,
                .memory = memory_,
                .on_suspects =
                    [this](const suspects_frame& suspects) {
                      return executor_.ImportSuspects(suspects);
                    },
                .revision = [this] { return sharing_.revision(); },
                .changes_since =
                    [this](std::uint64_t revision) {
                      return sharing_.FrameSince(revision);
                    },
                .on_usage =
                    [this](incarnation_id sender, const usage_report& report) {
                      return quotas_.OnUsage(sender, report);
                    },
                .on_repeat_report =
                    [this](incarnation_id sender,
                           const std::optional<repeat_frame>& report,
                           milliseconds transit) {
                      return repeats_.OnReport(sender, report, transit);
                    },
                .proof = [this] { return sharing_.Proof(); },
                .on_changes =
                    [this](const view_changes& changes) {
                      sharing_.OnChanges(changes);
                    }},
               executor_),
        callers_(context_,
                 {.address = settings.caller,
                  .max_connections = settings.max_descriptors / 2,
                  .memory = memory_},
                 origin_),
        views_(context_,
               settings_,
               [this](std::shared_ptr<const service_view> view) {
                 OnView(std::move(view));
               }),
        sharing_(context_,
                 {.self = {.ip = settings.target.ip,
                           .data_centre = settings.data_centre},
                  .own_target = settings.target,
                  .readers = settings.store_readers,
                  .max_key_age = MaxKeyAge(settings)},
                 SharingCallbacks()),
        quotas_(context_,
                {.self = {.ip = settings.target.ip,
                          .data_centre = settings.data_centre},
                 .overage = settings.quota_overage},
                [this](const std::string& ip, const usage_frame& usage) {
                  origin_.SendUsage(ip, usage);
                }),
        repeats_(
            context_,
            {.self = {.ip = settings.target.ip,
                      .data_centre = settings.data_centre},
             .enabled =
                 settings.repeat_sharing == repeat_sharing_policy::kShared},
            {.is_ready =
                 [this](const std::string& ip) {
                   return origin_.ReadsRepeatReports(ip);
                 },
             .send =
                 [this](const std::string& ip, const repeat_frame& report) {
                   origin_.SendRepeatReport(ip, report);
                 },
             .budgets = [this] { return origin_.RepeatBudgets(); }}),
        suspects_(
            context_,
            [this](const suspects_frame& suspects, std::size_t max_count) {
              SendSuspects(suspects, max_count);
            }),
        signals_(context_, SIGTERM, SIGINT, SIGHUP),
        tick_(context_),
        flush_(context_),
        stop_(context_),
        ready_server_(workers_, ReadyOptions()),
        admin_server_(workers_, AdminOptions()) {}

  // Until it is stopped by a signal.
  void Run() {
    ReturnLargeBlocks();
    LogEvent(
        "started",
        {{.name = "version", .value = PW_VERSION},
         {.name = "vm", .value = settings_.vm},
         {.name = "service", .value = settings_.service},
         {.name = "incarnation",
          .value = std::to_string(static_cast<std::uint64_t>(incarnation_))}});
    ScheduleLogFlush([this] { ArmFlush(); });
    AwaitSignal();
    ReleaseStopSignals();
    executor_.OnSuspects(
        [this](const suspects_frame& suspects, suspects_source source) {
          suspects_.Publish(suspects, source);
        });
    executor_.SetLineagePolicy(settings_.call_lineage);
    if (settings_.entrance == entrance_policy::kCost) {
      executor_.AdmitByCost();
    }
    executor_.OnRunLost(
        [this](std::uint64_t parent) { origin_.EndCallsOf(parent); });
    executor_.OnNotice([this](const known_notice& notice) {
      origin_.OnNotice(settings_.target.ip, notice);
      peers_.PublishNotice();
    });
    executor_.SetViewState([this] { return views_.state(); },
                           [this] { return sharing_.age(); },
                           [this] { return sharing_.store_answered_ago(); });
    views_.OnNews([this](const std::string& from) { sharing_.OnUpdate(from); });
    Tick();
    views_.Start();
    sharing_.Start();
    std::future<void> stopped = stopped_.get_future();
    workers_.Start();
    stopped.wait();
    workers_.Stop();
    ScheduleLogFlush(nullptr);
    LogEvent("stopped", {{.name = "vm", .value = settings_.vm}});
    FlushLog();
  }

 private:
  using error_code = boost::system::error_code;

  // Limit of a response's head; the maximum that servers commonly send.
  static constexpr std::size_t kMaxResponseHead = 64 << 10;
  static constexpr double kBytesPerMb = 1 << 20;
  static constexpr milliseconds kTickInterval{1000};
  // Log lines are batched: flushed this long after the first.
  static constexpr milliseconds kFlushDelay{50};
  static constexpr milliseconds kStopPollInterval{25};
  origin_options OriginOptions(const forward_settings& settings) {
    return {
        .vm = settings.vm,
        .service = settings.service,
        .data_centre = settings.data_centre,
        .own_target = settings.target,
        .peer_port = settings.peer.port,
        .self = incarnation_,
        .memory = memory_,
        .repeat_ratio = settings.repeat_ratio * kRatioShare,
        .repeat_reserve = settings.repeat_reserve,
        .repeat_window = settings.repeat_window,
        .repeat_sharing = settings.repeat_sharing,
        .leaf_repeat_ratio = settings.repeat_ratio *
                             (settings.call_lineage == lineage_policy::kOff
                                  ? kRatioShare
                                  : ranked_repeat_budget::kNormalShare),
        .starting_repeat_ratio =
            settings.repeat_ratio * ranked_repeat_budget::kStartingShare,
        .started = monotonic_clock::now(),
        .on_suspects =
            [this](const suspects_frame& suspects) {
              return executor_.ImportSuspects(suspects);
            },
        .on_report =
            [this](const std::string& ip, const neighbour_report& report) {
              sharing_.OnReport(ip, report);
            },
        .on_peer_lost = [this](const std::string& ip) { sharing_.OnLost(ip); },
        .on_peer_connected =
            [this](const std::string& ip) { repeats_.OnConnected(ip); },
        .proven_age = [this] { return sharing_.proven_age(); },
        .max_key_age = MaxKeyAge(settings),
        .on_stale_target = [this] { views_.NoteStaleTarget(); },
        .revision = [this] { return sharing_.revision(); },
        .changes_since =
            [this](std::uint64_t revision) {
              return sharing_.FrameSince(revision);
            },
        .on_changes =
            [this](const view_changes& changes) {
              sharing_.OnChanges(changes);
            },
        .on_proof = [this](const freshness_proof& proof,
                           boot_time asked) { sharing_.OnProof(proof, asked); },
        .admit = [this](organisation_id id) { return quotas_.Admit(id); },
        .refund_quota = [this](organisation_id id) { quotas_.Refund(id); },
        .on_quota =
            [this](const std::string& ip, const quota_frame& quota) {
              quotas_.OnQuota(ip, quota);
            },
        .on_repeat_grant =
            [this](const std::string& ip,
                   const std::optional<repeat_frame>& grant) {
              repeats_.OnGrant(ip, grant);
            }};
  }

  // Leaves time between the admission of a request and its start at the target.
  static milliseconds MaxKeyAge(const forward_settings& settings) {
    constexpr double kAdmissionShare = 0.8;
    return std::chrono::duration_cast<milliseconds>(settings.key_withdrawal *
                                                    kAdmissionShare);
  }

  view_sharing_callbacks SharingCallbacks() {
    return {
        .state = [this] { return views_.state(); },
        .set_reading =
            [this](store_reading reading) { views_.SetReading(reading); },
        .note_revision =
            [this](std::uint64_t revision) { views_.NoteRevision(revision); },
        .note_store_answer =
            [this](time_point at) { views_.NoteStoreAnswer(at); },
        .apply =
            [this](const view_changes& changes) {
              return views_.Apply(changes);
            },
        .changes_since =
            [this](std::uint64_t revision) {
              return views_.ChangesSince(revision);
            },
        .follow =
            [this](const std::vector<std::string>& ips) {
              origin_.Follow(ips);
            },
        .ask = [this](const std::string& ip) { origin_.AskChanges(ip); },
        .ask_proofs =
            [this](const std::vector<std::string>& ips,
                   std::size_t additional) {
              origin_.AskProofs(ips, additional);
            },
        .ask_connected =
            [this](std::uint64_t revision) { peers_.AskForChanges(revision); },
        .notify_followers =
            [this](const std::string& except) { peers_.TellFollowers(except); },
        .heartbeat = [this] { peers_.Heartbeat(); }};
  }

  // Share of the operator's repeat ratio for the callers of one service. A
  // repeated request repeats its downstream calls, which count at the called
  // services: with as many calls per request as the called service receives for
  // it, each level adds its own share. Covers two levels, and a reserve for
  // daemons that lose their counts at a restart.
  static constexpr double kRatioShare = 0.4;

  http_server_options ReadyOptions() {
    return {.address = settings_.ready,
            .handler = [this](const std::shared_ptr<http_exchange>& exchange) {
              const bool up = ready_ && !stop_plan_.stopping();
              constexpr int kOk = 200;
              constexpr int kUnavailable = 503;
              exchange->Respond({.status = up ? kOk : kUnavailable});
            }};
  }

  http_server_options AdminOptions() {
    return {.address = settings_.admin,
            .handler = [this](const std::shared_ptr<http_exchange>& exchange) {
              exchange->Respond(ForwardPage(
                  exchange->request().path,
                  {.calls = origin_,
                   .runs = executor_,
                   .callers = callers_.state(),
                   .target_connections_opened = targets_.counters().opened,
                   .target_connections_reused = targets_.counters().reused,
                   .target_connections_passed_over =
                       targets_.counters().passed_over,
                   .view = PageView(),
                   .quotas = PageQuotas(),
                   .repeats = repeats_.counters(),
                   .load = LoadNow(lag_),
                   .ready = ready_ && !stop_plan_.stopping()}));
            }};
  }

  [[nodiscard]] view_page PageView() {
    return {.revision = sharing_.revision(),
            .age = sharing_.age(),
            .reading = sharing_.reading(),
            .store_calls = views_.calls(),
            .removals_delayed = views_.removals_delayed(),
            .followers = peers_.followers(),
            .publishing = peers_.counters(),
            .sharing = sharing_.counters(),
            .proven_age = sharing_.proven_age()};
  }

  [[nodiscard]] quota_page PageQuotas() const {
    quota_page page{
        .in_touch = quotas_.state().ReachableDaemons(monotonic_clock::now())};
    for (const auto& each : quotas_.state().Refused()) {
      page.refused.push_back({.organisation = std::string(each.name),
                              .admitted = each.admitted,
                              .refused = each.refused});
    }
    return page;
  }

  std::function<void()> RunOnTarget(target_run run,
                                    std::function<void(run_result)> done) {
    const auto handle = targets_.Run(std::move(run), std::move(done));
    return
        [handle] { target_pool<typename Platform::targets>::Cancel(handle); };
  }

  void OnView(std::shared_ptr<const service_view> view) {
    if (view->config != nullptr) {
      callers_.SetLimits(view->config->limits);
    }
    std::optional<std::string> own;  // Empty if the target is leaving.
    std::uint32_t targets = 0;       // Of the local target's service.
    for (const target_entry& target : view->targets) {
      if (target.service == settings_.service &&
          target.state == target_state::kReady) {
        ++targets;
      }
      if (target.address == settings_.target) {
        executor_.SetSlots(target.slots);
        executor_.SetTargetStart(StartName(target));
        own = target.state == target_state::kReady ? StartName(target)
                                                   : std::string();
      }
    }
    executor_.SetListedTarget(std::move(own));
    executor_.SetTargets(targets);
    OrderDaemons(directory_.Set(TargetsOf(view)));
    sharing_.OnView(*view, order_);
    quotas_.OnView(*view, order_);
    repeats_.OnView(order_);
    origin_.SetPosition(order_.FractionBefore(
        {.ip = settings_.target.ip, .data_centre = settings_.data_centre}));
    const bool usable = view->config != nullptr;
    origin_.SetView(std::move(view));
    if (usable && !std::exchange(ready_, true)) {
      LogEvent("ready", {{.name = "vm", .value = settings_.vm}});
    }
  }

  void OrderDaemons(const target_changes& changes) {
    std::vector<daemon_target> removed;
    std::vector<daemon_target> added;
    const auto target_of = [](const target_entry& target) {
      return daemon_target{.location = {.ip = target.address.ip,
                                        .data_centre = target.data_centre},
                           .is_ready = target.state == target_state::kReady};
    };
    for (const target_entry& each : changes.removed) {
      removed.push_back(target_of(each));
    }
    for (const changed_target& each : changes.changed) {
      removed.push_back(target_of(each.before));
      added.push_back(target_of(each.after));
    }
    for (const target_entry& each : changes.added) {
      added.push_back(target_of(each));
    }
    order_.Update(removed, added);
  }

  void AwaitSignal() {
    signals_.async_wait([this](error_code error, int signal) {
      if (error) {
        return;
      }
      LogEvent("signal", {{.name = "number", .value = std::to_string(signal)}});
      AwaitSignal();
      if (signal == SIGHUP) {
        reload_();
      } else {
        Drain();
      }
    });
  }

  void Drain() {
    if (stop_plan_.stopping()) {
      return;
    }
    stop_plan_.Begin(monotonic_clock::now(), settings_.stop_timeout);
    LogEvent(
        "stopping",
        {{.name = "requests",
          .value = std::to_string(callers_.state().open_requests)},
         {.name = "runs", .value = std::to_string(executor_.in_progress())}});
    executor_.Leave(stop_plan_.window());
    origin_.SetStopWindow(stop_plan_.window());
    peers_.Drain();
    callers_.Drain();
    PollStop();
  }

  void PollStop() {
    const time_point now = monotonic_clock::now();
    const stop_progress progress{
        .requests_read = callers_.state().requests,
        .requests_begun = origin_.counters().begun,
        .calls_read = peers_.calls_read(),
        .open_requests = callers_.state().open_requests,
        .runs = executor_.in_progress(),
        .lingering = callers_.state().lingering};
    if (stop_plan_.IsOver(progress, now)) {
      Stop();
      return;
    }
    if (now >= stop_plan_.window().end_by) {
      EndOpenCalls();
    }
    if (!stop_plan_.AcceptsConnections(now) && !std::exchange(closing_, true)) {
      LogClosing(progress, now);
      callers_.Close();
    }
    stop_.expires_after(kStopPollInterval);
    stop_.async_wait([this](error_code error) {
      if (!error) {
        PollStop();
      }
    });
  }

  // Ends the local target's runs first, so that local callers learn which of
  // them were not executed.
  void EndOpenCalls() {
    if (!std::exchange(ending_, true)) {
      callers_.RefuseNew();
      executor_.EndOpenRuns();
    } else {
      origin_.EndOpenCalls();
    }
  }

  void LogClosing(const stop_progress& progress, time_point now) {
    const milliseconds max_request_time = ToMilliseconds(
        std::max(origin_.MaxRequestTime(now) + callers_.MaxWriteTime(now),
                 executor_.MaxRequestTime(now)));
    LogEvent(
        "closing",
        {{.name = "requests", .value = std::to_string(progress.open_requests)},
         {.name = "runs", .value = std::to_string(progress.runs)},
         {.name = "longest_ms",
          .value = std::to_string(max_request_time.count())}});
  }

  void LogEnding() {
    LogEvent(
        "ending",
        {{.name = "requests",
          .value = std::to_string(callers_.state().open_requests)},
         {.name = "runs", .value = std::to_string(executor_.in_progress())},
         {.name = "connections_lingering",
          .value = std::to_string(callers_.state().lingering)},
         {.name = "requests_too_long",
          .value = std::to_string(origin_.counters().too_long_for_stop)},
         {.name = "runs_too_long",
          .value = std::to_string(executor_.counters().too_long_for_stop)},
         {.name = "requests_unfinished",
          .value = std::to_string(origin_.counters().ended_by_stop)},
         {.name = "runs_unfinished",
          .value = std::to_string(executor_.counters().ended_by_stop)}});
  }

  // Refuses further requests, which the imminent exit would interrupt.
  void Stop() {
    LogEnding();
    executor_.Drain();
    callers_.RefuseNew();
    callers_.Close();
    views_.Stop();
    sharing_.Stop();
    quotas_.Stop();
    repeats_.Stop();
    suspects_.Stop();
    // The kernel sends the answers already handed to it; this delay lets the
    // last ones reach it.
    stop_.expires_after(kStopPollInterval);
    stop_.async_wait([this](error_code) { stopped_.set_value(); });
  }

  // Sends to each daemon once, over its link or its session.
  void SendSuspects(const suspects_frame& suspects, std::size_t max_count) {
    std::set<incarnation_id> connected = origin_.linked();
    connected.merge(peers_.senders());
    const std::vector<incarnation_id> chosen = RandomSample(
        std::vector<incarnation_id>(connected.begin(), connected.end()),
        max_count, RandomBits64);
    std::set<incarnation_id> to(chosen.begin(), chosen.end());
    const auto frame = std::make_shared<const std::string>(Encode(suspects));
    origin_.SendSuspects(frame, &to);
    peers_.SendSuspects(frame, to);
    if (!suspects.entries.empty()) {
      origin_.PushSuspectsToUnlinked();
    }
  }

  [[nodiscard]] process_load LoadNow(duration lag) const {
    return {.lag = lag,
            .heap_bytes = HeapBytes(),
            .links = origin_.link_load(),
            .sessions = peers_.load(),
            .callers = callers_.state().sessions,
            .caller_bytes = memory_->held(memory_use::kRequests),
            .held = memory_->held_by_use(),
            .no_room = memory_->refused(),
            .calls = origin_.in_progress(),
            .runs = executor_.in_progress(),
            .answer_bytes = peers_.answer_bytes()};
  }

  void Tick() {
    const time_point now = monotonic_clock::now();
    lag_ = std::max(duration(0), now - next_tick_);
    const process_load load = LoadNow(lag_);
    if (ExceedsThresholds(load)) {
      LogProcessLoad(load);
    }
    origin_.Tick(now);
    peers_.Tick(now);
    executor_.Tick(now);
    FlushLog();
    next_tick_ = monotonic_clock::now() + kTickInterval;
    tick_.expires_at(next_tick_);
    tick_.async_wait([this](error_code error) {
      if (!error) {
        Tick();
      }
    });
  }

  // Called on any thread.
  void ArmFlush() {
    boost::asio::post(context_, [this] {
      flush_.expires_after(kFlushDelay);
      flush_.async_wait([](error_code error) {
        if (!error) {
          FlushLog();
        }
      });
    });
  }

  const forward_settings& settings_;
  const reloader reload_;
  worker_pool workers_;
  boost::asio::io_context& context_;
  const incarnation_id incarnation_;
  const std::shared_ptr<memory_budget> memory_;
  call_log origin_log_{{}};
  call_log executor_log_{{}};
  target_pool<typename Platform::targets> targets_;
  executor executor_;
  origin origin_;
  peer_server peers_;
  caller_server<typename Platform::callers> callers_;
  typename Platform::views views_;
  target_directory directory_;  // Of the view's targets.
  daemon_order order_;          // Of the daemons beside them.
  view_sharing sharing_;
  quota_sharing quotas_;
  repeat_sharing repeats_;
  suspect_sharing suspects_;
  boost::asio::signal_set signals_;
  boost::asio::steady_timer tick_;
  time_point next_tick_ = time_point::max();  // When `tick_` expires.
  duration lag_{0};                           // Delay of the last tick.
  boost::asio::steady_timer flush_;
  boost::asio::steady_timer stop_;
  stop_plan stop_plan_;
  bool closing_ = false;  // Refuses new connections.
  bool ending_ = false;   // Is answering open requests.
  bool ready_ = false;
  std::promise<void> stopped_;
  http_server ready_server_;
  http_server admin_server_;
};

}  // namespace pistachioweir
