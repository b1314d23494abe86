// Ticks, gossip and the published view.
#include "src/fleet/agent_core.h"

#include <algorithm>
#include <cassert>

#include "include/config/manifest_set.h"

namespace pistachioweir {
namespace {

constexpr milliseconds kTick{50};
// Only a thread that is stuck for good takes this long; one on a busy VM has
// been seen to get no turn for several hundred milliseconds.
constexpr milliseconds kLeaveTimeout{5000};
// The view also changes by time alone: suspicions end, blobs expire.
constexpr milliseconds kRepublish{1000};

member_news SelfOf(const fleet_agent_options& options) {
  return {.vm = options.settings.vm,
          .service = options.settings.service,
          .data_centre = options.settings.data_centre,
          .region = options.settings.region,
          .peer = options.settings.peer,
          .incarnation = options.incarnation};
}

}  // namespace

agent_core::agent_core(boost::asio::io_context& io, fleet_agent_options options)
    : options_(std::move(options)),
      io_(io),
      strand_(boost::asio::make_strand(io)),
      timer_(strand_),
      platform_(io, options_.settings.platform),
      port_(
          std::make_shared<gossip_port>(strand_, options_.settings.fleet_keys)),
      random_(static_cast<std::uint64_t>(options_.incarnation)),
      manifests_(options_.settings.service),
      gossip_({.self = SelfOf(options_)}, manifests_, random_()),
      schedule_(options_.fleet_size_hint, monotonic_clock::now(), random_),
      rpc_({.document =
                [this](const manifest_version& wanted) {
                  Count(&fleet_counters::pulls_served);
                  return held_.Give(wanted, monotonic_clock::now());
                },
            .targets =
                [this](const std::string& service) {
                  const auto view = View();
                  const fleet_service* found = view->Find(service);
                  return found == nullptr ? std::vector<fleet_target>()
                                          : found->targets;
                }}),
      view_(std::make_shared<const fleet_view>()) {}

void agent_core::Start() {
  port_->Open(options_.settings.peer);
  Post([](agent_core& self) {
    self.port_->Receive([&self](const gossip_message& message) {
      const time_point now = monotonic_clock::now();
      self.port_->Send(self.gossip_.Receive(message, now));
      self.TakeGossip(now);
    });
    self.Tick();
  });
}

void agent_core::RequestLeave() {
  {
    const std::lock_guard lock(mutex_);
    leave_requested_ = true;
  }
  Post([](agent_core& self) { self.Leave(); });
}

void agent_core::Stop() {
  {
    // An idle daemon stops within milliseconds of leaving. If its io_context
    // were stopped before the news is sent, its callers would only learn from
    // failed calls that it is gone.
    std::unique_lock lock(mutex_);
    leave_signal_.wait_for(lock, kLeaveTimeout,
                           [this] { return !leave_requested_ || leave_told_; });
  }
  Post([](agent_core& self) {
    self.stopped_ = true;
    self.timer_.cancel();
    self.port_->Close();
  });
}

void agent_core::Tick() {
  const time_point now = monotonic_clock::now();
  if (pause_.NoteTick(now)) {
    NotePause(now);
  }
  StartReads(now);
  port_->Send(gossip_.Tick(now));
  TakeGossip(now);
  StartPulls(now);
  PullMissingLists(now);
  DecideReady(now);
  const bool fresh = pause_.IsFresh(now);
  changed_ = changed_ || fresh != fresh_;
  fresh_ = fresh;
  last_tick_ = now.time_since_epoch().count();
  if (changed_ || now >= next_publish_) {
    Publish(now);
  }
  ScheduleTick();
}

void agent_core::ScheduleTick() {
  timer_.expires_after(kTick);
  timer_.async_wait(
      [self = shared_from_this()](const boost::system::error_code& error) {
        if (!error && !self->stopped_) {
          self->Tick();
        }
      });
}

void agent_core::NotePause(time_point now) {
  Count(&fleet_counters::pauses);
  Emit({.name = "paused", .subject = options_.settings.vm});
  schedule_.Hasten("index", now);
  for (const std::string& service : manifests_.direct()) {
    schedule_.Hasten("live/" + service, now);
  }
  gossip_.Hasten(now);
}

// Passes on what gossip has brought since the last call.
void agent_core::TakeGossip(time_point now) {
  for (const member_news& news : gossip_.TakeNews()) {
    if (std::ranges::binary_search(manifests_.direct(), news.service)) {
      Report(members_.ApplyNews(news, now));
      changed_ = true;
    }
  }
  for (const version_news& holder : gossip_.TakeHolders()) {
    puller_.NoteHolder(holder);
  }
  for (const gossip_node::reply_sign& reply : gossip_.TakeReplies()) {
    newcomer_.NoteReply(reply.vm, reply.has_history, reply.digest);
    // Guard REFRESH_AFTER_PAUSE in spec/manifest_versions.pml. Asked since the
    // pause: exchanges from before it have timed out.
    pause_.NoteRefreshed();
  }
}

void agent_core::DecideReady(time_point now) {
  if (gossip_.has_history()) {
    return;
  }
  const std::string& own = options_.settings.service;
  const bool has_list = members_.HasList(own);
  const bool ready = newcomer_.Decide(
      {.documents_complete =
           manifests_.VersionInForce(own) != 0 && manifests_.Missing().empty(),
       .peers_known =
           has_list || (schedule_.platform_down() && gossip_.peer_count() > 0),
       .peers = gossip_.NewcomerPeers().size(),
       .digest = manifests_.digest()},
      now);
  if (!ready) {
    return;
  }
  gossip_.SetHistory(true);
  gossip_.Announce(now);
  Emit({.name = "ready", .subject = options_.settings.vm});
  changed_ = true;
}

std::uint64_t agent_core::FleetSize(time_point now) const {
  std::uint64_t listed = 0;
  std::uint64_t lists = 0;
  for (const std::string& service : manifests_.direct()) {
    if (members_.HasList(service)) {
      listed += members_.Targets(service, now).size();
      ++lists;
    }
  }
  if (lists == 0) {
    return options_.fleet_size_hint;
  }
  const std::uint64_t services =
      std::max<std::uint64_t>(manifests_.service_count(), 1);
  return std::max<std::uint64_t>(listed * services / lists, 1);
}

reader_situation agent_core::Situation(time_point now) {
  const std::size_t own =
      members_.Targets(options_.settings.service, now).size();
  std::vector<std::string> lists = manifests_.direct();
  AddStranger(manifests_, random_, &stranger_, &lists);
  return {.own_service = options_.settings.service,
          .lists = std::move(lists),
          .fleet_size = FleetSize(now),
          .service_size = std::max<std::uint64_t>(own, 1)};
}

void agent_core::Report(const std::optional<member_change>& change) {
  if (!change) {
    return;
  }
  changed_ = true;
  Emit({.name = "member_state",
        .subject = change->vm,
        .detail = "service=" + change->service + " state=" +
                  std::string(kMemberStateNames.Name(change->state))});
}

void agent_core::Leave() {
  const time_point now = monotonic_clock::now();
  gossip_.Leave(now);
  port_->Send(gossip_.Tick(now));
  {
    const std::lock_guard lock(mutex_);
    leave_told_ = true;
  }
  leave_signal_.notify_all();
  Publish(now);
}

void agent_core::LearnBlob(const fleet_blob& blob) {
  changed_ = gossip_.LearnBlob(blob, monotonic_clock::now()) || changed_;
}

void agent_core::Publish(time_point now) {
  auto view = std::make_shared<fleet_view>();
  std::vector<service_manifest> manifests;
  for (const std::string& service : manifests_.wanted()) {
    fleet_service entry = {.service = service,
                           .targets = members_.Targets(service, now)};
    if (const auto document = manifests_.Find(service)) {
      entry.manifest = document->manifest;
      manifests.push_back(*document->manifest);
    }
    view->services.push_back(std::move(entry));
  }
  view->ready = gossip_.has_history();
  view->fresh = pause_.IsFresh(now);
  view->own_state =
      list_says_leaving_ ? member_state::kLeaving : gossip_.self().state;
  view->blobs = gossip_.Blobs(now);
  next_publish_ = now + kRepublish;

  const auto last = View();
  const bool same = !changed_ && view->fresh == last->fresh &&
                    view->services == last->services &&
                    view->blobs.size() == last->blobs.size();
  changed_ = false;
  CopyCounters(now);
  if (same) {
    return;
  }
  view->manifests = std::make_shared<const manifest_set>(std::move(manifests));
  {
    const std::lock_guard lock(mutex_);
    view_ = view;
  }
  if (options_.on_change) {
    options_.on_change(view);
  }
}

std::shared_ptr<const fleet_view> agent_core::View() const {
  const std::lock_guard lock(mutex_);
  return view_;
}

fleet_counters agent_core::Counters() const {
  const std::lock_guard lock(mutex_);
  return counters_;
}

bool agent_core::IsFresh(time_point now) const {
  const time_point tick{duration(last_tick_.load())};
  return fresh_ && now - tick <= pause_detector::kMaxGap;
}

std::string agent_core::HandleRpc(std::string_view json) {
  return rpc_.Handle(json);
}

void agent_core::Emit(const fleet_event& event) {
  if (options_.on_event) {
    options_.on_event(event);
  }
}

void agent_core::Count(std::uint64_t fleet_counters::*counter) {
  const std::lock_guard lock(mutex_);
  ++(counters_.*counter);
}

void agent_core::NotePlatform(bool failing, time_point now) {
  const std::lock_guard lock(mutex_);
  counters_.platform_failing = failing;
  if (!failing) {
    counters_.platform_answered = now;
  }
}

void agent_core::CopyCounters(time_point now) {
  const gossip_port_counters& port = port_->counters();
  const gossip_counters& gossip = gossip_.counters();
  const std::uint64_t fleet_size = FleetSize(now);
  const std::lock_guard lock(mutex_);
  counters_.datagrams_sent = port.sent;
  counters_.datagrams_received = port.received;
  counters_.datagram_bytes_sent = port.bytes_sent;
  counters_.datagram_bytes_received = port.bytes_received;
  counters_.datagrams_forged = port.forged;
  counters_.datagrams_over_budget = gossip.over_budget;
  counters_.known_services = manifests_.service_count();
  counters_.known_peers = gossip_.peer_count();
  counters_.fleet_size_estimate = fleet_size;
}

}  // namespace pistachioweir
