// Heartbeats, plans and requests to other daemons.
#include "src/forward/view_sharing.h"

#include <algorithm>
#include <utility>

#include "include/base/log.h"
#include "src/peer/changes_frame.h"

namespace pistachioweir {
namespace {

// Interval of the heartbeats to followers, which carry the daemon's revision.
constexpr milliseconds kHeartbeatInterval{250};
// The store answers within some 10 ms of a start, so that other daemons are
// asked only if it fails; the delay is negligible for callers.
constexpr milliseconds kFirstAskDelay{100};
constexpr milliseconds kAskInterval{300};
// How long to wait for a change that another daemon has reported. Sources send
// changes within some 10 ms; after this time the reporting daemon is asked
// instead.
constexpr milliseconds kAskDelay{100};
// After the target's entry has vanished the daemon reads the store itself for
// this long: as long as other daemons retain the removed target in case that it
// is still alive.
constexpr milliseconds kReadAfterUnlisted{6000};

// Divisors of the maximum age of a view for checking keys: above the first
// fraction the followed daemons are asked for a newer proof, above the second
// one some others as well.
constexpr int kAskSourcesDivisor = 5;
constexpr int kAskOthersDivisor = 2;
constexpr std::size_t kOthersAsked = 3;

std::string Joined(const std::vector<std::string>& ips) {
  std::string text;
  for (const std::string& ip : ips) {
    text.append(text.empty() ? "" : ",").append(ip);
  }
  return text;
}

}  // namespace

view_sharing::view_sharing(boost::asio::io_context& context,
                           view_sharing_options options,
                           view_sharing_callbacks callbacks)
    : options_(std::move(options)),
      callbacks_(std::move(callbacks)),
      heartbeat_(context),
      ask_(context),
      start_(context),
      following_({.self = options_.self}) {}

void view_sharing::Start() {
  AskConnected(kFirstAskDelay);
  Heartbeat();
}

void view_sharing::Stop() {
  stopped_ = true;
  heartbeat_.cancel();
  ask_.cancel();
  start_.cancel();
}

milliseconds view_sharing::age() const {
  return following_.Age(monotonic_clock::now());
}

// Until the store's first answer, connected daemons are asked for a full
// snapshot (guard EMPTY_TELLS_NOTHING in spec/shared_views.pml: a fleet that
// starts as a whole during an outage of the store keeps refusing calls).
void view_sharing::AskConnected(milliseconds delay) {
  start_.expires_after(delay);
  start_.async_wait([this](boost::system::error_code error) {
    if (!error && !stopped_ && revision() == 0) {
      callbacks_.ask_connected(0);
      AskConnected(kAskInterval);
    }
  });
}

void view_sharing::Heartbeat() {
  const time_point now = monotonic_clock::now();
  if (options_.readers == reader_policy::kFew) {
    Plan(now);
  } else {
    following_.OnReadResult(callbacks_.state().last_read_ok);
  }
  frame_ = nullptr;
  AskProofs();
  callbacks_.heartbeat();
  heartbeat_.expires_after(kHeartbeatInterval);
  heartbeat_.async_wait([this](boost::system::error_code error) {
    if (!error && !stopped_) {
      Heartbeat();
    }
  });
}

void view_sharing::Plan(time_point now) {
  if (reading_ != store_reading::kNone) {
    const view_state state = callbacks_.state();
    if (state.last_read_ok || state.lost_since) {
      following_.OnReadResult(state.last_read_ok);
    }
  }
  following_plan plan = following_.Plan(now);
  // Only a call to the store shows whether the target has left or its VM is cut
  // off from the store.
  if (own_unlisted_since_ && now - *own_unlisted_since_ < kReadAfterUnlisted) {
    plan.reading = store_reading::kEager;
  }
  if (plan.sources != sources_ || plan.reading != reading_) {
    LogEvent("view_sources",
             {{.name = "reading",
               .value = std::string(kStoreReadingNames.Name(plan.reading))},
              {.name = "sources", .value = Joined(plan.sources)},
              {.name = "before", .value = Joined(sources_)},
              {.name = "revision", .value = std::to_string(revision())},
              {.name = "age_ms", .value = std::to_string(age().count())}});
    sources_ = std::move(plan.sources);
    callbacks_.follow(sources_);
  }
  reading_ = plan.reading;
  callbacks_.set_reading(reading_);
}

void view_sharing::OnView(const service_view& view, const daemon_order& order) {
  bool own_listed = false;
  bool own_ready = false;
  for (const target_entry& target : view.targets) {
    if (target.address == options_.own_target) {
      own_listed = true;
      own_ready = target.state == target_state::kReady;
    }
  }
  following_.SetDaemons(order);
  if (own_listed) {
    own_unlisted_since_.reset();
  } else if (own_ready_) {
    own_unlisted_since_ = monotonic_clock::now();
  }
  own_ready_ = own_ready;
  // The first view that lists other daemons is planned for at once: if a whole
  // fleet waited for its next heartbeats at the start, each daemon would read
  // the store itself.
  if (sources_.empty() && options_.readers == reader_policy::kFew) {
    Plan(monotonic_clock::now());
  }
}

void view_sharing::OnUpdate(const std::string& from) {
  frame_ = nullptr;
  callbacks_.notify_followers(from);
}

void view_sharing::OnReport(const std::string& ip,
                            const neighbour_report& report) {
  callbacks_.note_revision(report.revision);
  NoteStoreAnswer(ip, report);
  if (options_.readers == reader_policy::kAll) {
    return;
  }
  const std::uint64_t known = revision();
  if (known != 0 && report.revision >= known) {
    following_.OnReport(ip, report.age, report.revision == known,
                        monotonic_clock::now());
  }
  if (report.revision > known && report.revision >= newest_reported_) {
    newest_reported_ = report.revision;
    newest_reporter_ = ip;
    ArmAsk(kAskDelay);
  }
}

void view_sharing::NoteStoreAnswer(const std::string& ip,
                                   const neighbour_report& report) {
  if (!report.store_answered_ago) {
    return;
  }
  const time_point at = monotonic_clock::now() - *report.store_answered_ago;
  callbacks_.note_store_answer(at);
  if (std::ranges::find(sources_, ip) != sources_.end()) {
    source_answered_ = std::max(
        source_answered_, std::optional(at - view_following::kReportDelay));
  }
}

std::optional<milliseconds> view_sharing::store_answered_ago() const {
  const auto answered = reading_ == store_reading::kNone
                            ? source_answered_
                            : callbacks_.state().store_answered;
  if (!answered) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<milliseconds>(monotonic_clock::now() -
                                                  *answered);
}

void view_sharing::OnLost(const std::string& ip) {
  following_.OnLost(ip, monotonic_clock::now());
}

// Sources may be cut off or may have missed changes themselves; the daemon that
// reported the newer revision has them.
void view_sharing::ArmAsk(milliseconds delay) {
  if (std::exchange(ask_armed_, true)) {
    return;
  }
  ask_.expires_after(delay);
  ask_.async_wait([this](boost::system::error_code error) {
    if (error || stopped_) {
      return;
    }
    ask_armed_ = false;
    if (newest_reported_ <= revision()) {
      return;
    }
    ++counters_.asked;
    LogEvent("changes_asked",
             {{.name = "peer", .value = newest_reporter_},
              {.name = "revision", .value = std::to_string(revision())},
              {.name = "heard", .value = std::to_string(newest_reported_)}});
    callbacks_.ask(newest_reporter_);
    ArmAsk(kAskInterval);
  });
}

void view_sharing::OnChanges(const view_changes& changes) {
  const std::uint64_t before = revision();
  const changes_verdict verdict = callbacks_.apply(changes);
  const bool taken = verdict == changes_verdict::kTaken;
  ++(taken ? counters_.taken : counters_.not_applied);
  if (taken) {
    CountAge(changes.read_ago);
    following_.OnChanges(changes.read_ago, monotonic_clock::now());
  }
  // With two sources every change arrives twice.
  if (verdict == changes_verdict::kNotNewer) {
    return;
  }
  LogEvent(
      "changes_told",
      {{.name = "verdict",
        .value = std::string(kChangesVerdictNames.Name(verdict))},
       {.name = "from", .value = changes.from},
       {.name = "after", .value = std::to_string(changes.after)},
       {.name = "revision", .value = std::to_string(changes.revision)},
       {.name = "before", .value = std::to_string(before)},
       {.name = "entries", .value = std::to_string(changes.entries.size())},
       {.name = "learnt_ms",
        .value = std::to_string(changes.read_ago.count())}});
}

// With a newer proof of any other daemon, requests with valid keys are still
// accepted.
void view_sharing::AskProofs() {
  if (options_.max_key_age == milliseconds(0)) {
    return;
  }
  const auto age = proven_age();
  if (age && *age < options_.max_key_age / kAskSourcesDivisor) {
    return;
  }
  const bool old = !age || *age > options_.max_key_age / kAskOthersDivisor;
  callbacks_.ask_proofs(sources_, old ? kOthersAsked : 0);
}

void view_sharing::OnProof(const freshness_proof& proof, boot_time asked) {
  freshness_.Confirm(proof, asked);
}

std::optional<milliseconds> view_sharing::proven_age() {
  const view_state state = callbacks_.state();
  freshness_.SetRevision(state.revision);
  if (state.store_asked) {
    freshness_.Confirm({.revision = state.revision}, *state.store_asked);
  }
  return freshness_.Age(boot_clock::now());
}

// The age accumulates over all daemons on the path (guard AGE_COUNTS in
// spec/key_withdrawal.pml).
std::optional<freshness_proof> view_sharing::Proof() {
  const auto age = proven_age();
  if (!age) {
    return std::nullopt;
  }
  return freshness_proof{.revision = revision(), .age = *age};
}

void view_sharing::CountAge(milliseconds age) {
  const auto& bounds = view_sharing_counters::kBounds;
  const auto place = std::ranges::lower_bound(bounds, age.count());
  ++counters_.by_age[static_cast<std::size_t>(place - bounds.begin())];
  counters_.age_seconds += std::chrono::duration<double>(age).count();
}

std::shared_ptr<const std::string> view_sharing::FrameSince(
    std::uint64_t revision) {
  if (frame_ != nullptr && framed_after_ == revision) {
    return frame_;
  }
  const auto changes = callbacks_.changes_since(revision);
  if (!changes) {
    return nullptr;
  }
  framed_after_ = revision;
  frame_ = std::make_shared<const std::string>(Encode(*changes));
  return frame_;
}

}  // namespace pistachioweir
