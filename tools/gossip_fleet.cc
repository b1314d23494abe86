// The virtual clock, the fake transport and the fake platform.
#include "tools/gossip_fleet.h"

#include <algorithm>
#include <utility>

namespace pistachioweir {
namespace {

constexpr milliseconds kTick{50};
// Reads and pulls are looked at every so many ticks.
constexpr std::uint64_t kReadTicks = 4;
constexpr milliseconds kPlatformLatency{3};
constexpr milliseconds kPullLatency{3};
constexpr std::size_t kOverheadBytes = 28 + 16;
constexpr std::size_t kLayers = 11;
constexpr std::size_t kCalls = 2;

double Uniform(std::mt19937_64& random) {
  return std::uniform_real_distribution<double>(0, 1)(random);
}

}  // namespace

struct gossip_fleet::daemon {
  daemon(const member_news& self,
         const std::string& service,
         std::uint64_t fleet_size,
         time_point now,
         std::mt19937_64& random)
      : manifests(service),
        gossip({.self = self}, manifests, random()),
        schedule(fleet_size, now, random),
        random(random()) {}

  manifest_store manifests;
  membership members;
  gossip_node gossip;
  reader_schedule schedule;
  document_puller puller;
  newcomer_rule newcomer;
  std::mt19937_64 random;
  time_point next_list_pull;
  std::string stranger;
  std::uint64_t start = 0;  // Counts starts of this VM.
  std::uint64_t ticks = 0;
  bool up = true;
  std::map<std::string, std::uint64_t, std::less<>> guests;
};

gossip_fleet::gossip_fleet(gossip_fleet_options options)
    : options_(options),
      random_(options.seed),
      now_(time_point() + std::chrono::hours(1)),
      nodes_(options.nodes),
      published_(options.services, 1),
      served_(options.services, 1) {
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    StartDaemon(i);
  }
}

gossip_fleet::~gossip_fleet() = default;

std::string gossip_fleet::VmName(std::size_t node) const {
  return "vm-" + std::to_string(node);
}

std::string gossip_fleet::ServiceName(std::size_t service) const {
  return "service-" + std::to_string(service);
}

std::size_t gossip_fleet::ServiceIndex(const std::string& name) const {
  return std::stoul(name.substr(8));
}

std::size_t gossip_fleet::ServiceOf(std::size_t node) const {
  return node % options_.services;
}

std::size_t gossip_fleet::RegionOf(std::size_t node) const {
  // A service lives in two neighbouring regions.
  const std::size_t copy = node / options_.services;
  return (ServiceOf(node) + copy % 2) % options_.regions;
}

std::size_t gossip_fleet::IndexOf(const endpoint& peer) const {
  // 10.a.b.c, counted from one.
  std::size_t number = 0;
  std::size_t part = 0;
  for (const char c : peer.ip + ".") {
    if (c == '.') {
      number = number * 256 + part;
      part = 0;
    } else {
      part = part * 10 + static_cast<std::size_t>(c - '0');
    }
  }
  return (number & 0xffffff) - 1;
}

void gossip_fleet::At(time_point when, std::function<void()> run) {
  events_.push({.at = when, .order = next_order_++, .run = std::move(run)});
}

void gossip_fleet::RunFor(milliseconds span) {
  const time_point end = now_ + span;
  while (!events_.empty() && events_.top().at <= end) {
    // The queue only gives out const references.
    const event next = events_.top();
    events_.pop();
    now_ = next.at;
    next.run();
  }
  now_ = end;
}

void gossip_fleet::StartDaemon(std::size_t index) {
  const std::size_t number = index + 1;
  const std::size_t region = RegionOf(index);
  const std::size_t per_region =
      std::max<std::size_t>(options_.data_centres / options_.regions, 1);
  const std::size_t centre = (index / options_.services / 2) % per_region;
  const member_news self = {
      .vm = VmName(index),
      .service = ServiceName(ServiceOf(index)),
      .data_centre =
          "dc-" + std::to_string(region) + "-" + std::to_string(centre),
      .region = "region-" + std::to_string(region),
      .peer = {.ip = "10." + std::to_string(number >> 16) + "." +
                     std::to_string(number >> 8 & 255) + "." +
                     std::to_string(number & 255),
               .port = 7000},
      .incarnation = incarnation_id{random_() | 1}};
  const std::uint64_t start =
      nodes_[index] == nullptr ? 0 : nodes_[index]->start + 1;
  nodes_[index] = std::make_unique<daemon>(self, self.service, options_.nodes,
                                           now_, random_);
  nodes_[index]->start = start;
  ScheduleTick(index, start);
}

void gossip_fleet::ScheduleTick(std::size_t index, std::uint64_t start) {
  const auto phase = microseconds(random_() % 50000);
  auto tick = std::make_shared<std::function<void()>>();
  *tick = [this, index, start, weak = std::weak_ptr(tick)] {
    if (!nodes_[index]->up || nodes_[index]->start != start) {
      return;
    }
    Tick(index);
    if (const auto again = weak.lock()) {
      At(now_ + kTick, [again] { (*again)(); });
    }
  };
  At(now_ + phase, [tick] { (*tick)(); });
}

void gossip_fleet::Tick(std::size_t index) {
  daemon& self = *nodes_[index];
  Deliver(index, self.gossip.Tick(now_));
  if (++self.ticks % kReadTicks == 0 || !self.gossip.has_history()) {
    TickReads(index);
  }
  Settle(index);
}

reader_situation gossip_fleet::Situation(daemon& self) const {
  std::vector<std::string> lists = self.manifests.direct();
  AddStranger(self.manifests, self.random, &self.stranger, &lists);
  return {.own_service = self.manifests.own_service(),
          .lists = std::move(lists),
          .fleet_size = options_.nodes,
          .service_size = options_.nodes / options_.services};
}

void gossip_fleet::TickReads(std::size_t index) {
  daemon& self = *nodes_[index];
  const reader_situation situation = Situation(self);
  for (const scheduled_read& read :
       self.schedule.Due(situation, now_, self.random)) {
    Read(index, read);
  }
  PullLists(index);
  const std::vector<manifest_version> missing = self.manifests.Missing();
  if (missing.empty()) {
    return;
  }
  const auto sources = [&](const std::string& service) {
    document_sources found;
    found.wanting = situation.service_size;
    const std::string& own = self.manifests.own_service();
    for (const std::string& from : {own, service}) {
      for (const fleet_target& target : self.members.Targets(from, now_)) {
        if (target.vm != self.gossip.self().vm) {
          found.peers.push_back(target.peer);
        }
      }
    }
    if (service != own) {
      found.wanting *= 4;
    }
    return found;
  };
  for (const document_pull& pull : self.puller.Due(
           missing, sources, !self.gossip.has_history(), now_, self.random)) {
    Pull(index, pull);
  }
}

// What agent_core does after each step of the gossip.
void gossip_fleet::Settle(std::size_t index) {
  daemon& self = *nodes_[index];
  for (const member_news& news : self.gossip.TakeNews()) {
    if (std::ranges::binary_search(self.manifests.direct(), news.service)) {
      self.members.ApplyNews(news, now_);
    }
  }
  for (const version_news& holder : self.gossip.TakeHolders()) {
    self.puller.NoteHolder(holder);
  }
  for (const gossip_node::reply_sign& reply : self.gossip.TakeReplies()) {
    self.newcomer.NoteReply(reply.vm, reply.has_history, reply.digest);
  }
  if (self.gossip.has_history()) {
    return;
  }
  const std::string& own = self.manifests.own_service();
  const bool complete = self.manifests.VersionInForce(own) != 0 &&
                        self.manifests.Missing().empty();
  const bool ready = options_.newcomer_rule
                         ? self.newcomer.Decide(
                               {.documents_complete = complete,
                                .peers_known = self.members.HasList(own) ||
                                               (self.schedule.platform_down() &&
                                                self.gossip.peer_count() > 0),
                                .peers = self.gossip.NewcomerPeers().size(),
                                .digest = self.manifests.digest()},
                               now_)
                         : complete;
  if (ready) {
    self.gossip.SetHistory(true);
    self.gossip.Announce(now_);
  }
}

milliseconds gossip_fleet::Latency(std::size_t a, std::size_t b) const {
  return RegionOf(a) == RegionOf(b) ? options_.near_latency
                                    : options_.far_latency;
}

void gossip_fleet::Deliver(std::size_t from,
                           std::vector<outgoing_datagram> out) {
  for (outgoing_datagram& datagram : out) {
    const std::size_t to = IndexOf(datagram.to);
    const std::size_t size = Encode(datagram.message).size() + kOverheadBytes;
    ++counters_.datagrams;
    counters_.bytes += size;
    if (RegionOf(from) != RegionOf(to)) {
      counters_.region_bytes += size;
    }
    const bool lost = Uniform(random_) < options_.loss;
    if (lost || (cut_ && cut_(from, to))) {
      continue;
    }
    const auto message =
        std::make_shared<const gossip_message>(std::move(datagram.message));
    const auto receive = [this, to, from, message] {
      Receive(to, from, *message);
    };
    At(now_ + Latency(from, to), receive);
    if (doubling_ > 0 && Uniform(random_) < doubling_) {
      At(now_ + Latency(from, to) + doubling_delay_, receive);
    }
  }
}

void gossip_fleet::Receive(std::size_t to,
                           std::size_t /*from*/,
                           const gossip_message& message) {
  daemon& self = *nodes_[to];
  if (!self.up) {
    return;
  }
  Deliver(to, self.gossip.Receive(message, now_));
  Settle(to);
}

void gossip_fleet::CountRead() {
  ++counters_.platform_reads;
  const auto second =
      std::chrono::duration_cast<seconds>(now_.time_since_epoch()).count();
  if (second != read_second_) {
    read_second_ = second;
    reads_in_second_ = 0;
  }
  counters_.max_reads_in_second =
      std::max(counters_.max_reads_in_second, ++reads_in_second_);
}

void gossip_fleet::Read(std::size_t index, const scheduled_read& read) {
  CountRead();
  const std::uint64_t start = nodes_[index]->start;
  auto done = std::make_shared<bool>(false);
  const auto answer = [this, index, start, done, key = read.key] {
    daemon& self = *nodes_[index];
    if (*done || !self.up || self.start != start) {
      return;
    }
    *done = true;
    AnswerRead(index, key);
  };
  const bool waits = read.wait.count() > 0 && read.after >= revision_;
  if (!platform_up_ || !waits) {
    At(now_ + kPlatformLatency, answer);
    return;
  }
  if (read.key == "index") {
    index_watches_.push_back(answer);
  }
  At(now_ + read.wait, answer);
}

void gossip_fleet::AnswerRead(std::size_t index, const std::string& key) {
  daemon& self = *nodes_[index];
  if (platform_up_ && key == "index") {
    std::vector<manifest_version> versions;
    for (std::size_t i = 0; i < options_.services; ++i) {
      versions.push_back({.service = ServiceName(i), .version = served_[i]});
    }
    for (const manifest_version& version : versions) {
      const bool is_news =
          version.version > self.manifests.KnownVersion(version.service);
      if (is_news && self.gossip.has_history() &&
          !self.manifests.IsWanted(version.service) && self.random() % 4 == 0) {
        CountRead();
        self.guests[version.service] = version.version;
        self.gossip.NoteHolding(version, now_);
      }
    }
    self.gossip.LearnVersions(versions, now_);
  } else if (platform_up_ && key.starts_with("live/")) {
    const std::string service = key.substr(5);
    const std::vector<fleet_target> list = LiveList(ServiceIndex(service));
    if (std::ranges::binary_search(self.manifests.direct(), service)) {
      self.members.ApplyList(service, revision_, list, now_);
    }
    self.gossip.TakeList(service, list);
  }
  self.schedule.Done(key, !platform_up_, platform_up_ ? revision_ : 0,
                     Situation(self), now_, self.random);
}

void gossip_fleet::Pull(std::size_t index, const document_pull& pull) {
  const std::uint64_t start = nodes_[index]->start;
  const std::size_t service = ServiceIndex(pull.wanted.service);
  if (!pull.from_peer) {
    CountRead();
  } else {
    ++counters_.pulls;
  }
  At(now_ + kPullLatency, [this, index, start, pull, service] {
    daemon& self = *nodes_[index];
    if (!self.up || self.start != start) {
      return;
    }
    std::uint64_t version = platform_up_ ? served_[service] : 0;
    if (pull.from_peer) {
      const std::size_t from = IndexOf(pull.from);
      const daemon& peer = *nodes_[from];
      const auto guest = peer.guests.find(pull.wanted.service);
      version = std::max(peer.manifests.VersionInForce(pull.wanted.service),
                         guest == peer.guests.end() ? 0 : guest->second);
      if (!peer.up || version < pull.wanted.version ||
          (cut_ && (cut_(index, from) || cut_(from, index)))) {
        version = 0;
      }
    }
    self.puller.Done(pull, now_, self.random);
    if (version != 0) {
      Accept(index, service, version);
    }
  });
}

void gossip_fleet::PullLists(std::size_t index) {
  daemon& self = *nodes_[index];
  if (now_ < self.next_list_pull) {
    return;
  }
  self.next_list_pull = now_ + milliseconds(500);
  const std::vector<member_news> peers = self.gossip.NewcomerPeers();
  for (const std::string& service : self.manifests.direct()) {
    if (self.members.HasList(service) || peers.empty()) {
      continue;
    }
    const std::size_t from = IndexOf(peers[self.random() % peers.size()].peer);
    ++counters_.pulls;
    if (!nodes_[from]->up ||
        (cut_ && (cut_(index, from) || cut_(from, index)))) {
      continue;
    }
    const std::vector<fleet_target> list =
        nodes_[from]->members.Targets(service, now_);
    if (!list.empty()) {
      self.members.ApplyList(service, 0, list, now_);
      self.gossip.TakeList(service, list);
      self.schedule.NoteHave("live/" + service, Situation(self), now_,
                             self.random);
    }
  }
}

void gossip_fleet::Accept(std::size_t index,
                          std::size_t service,
                          std::uint64_t version) {
  daemon& self = *nodes_[index];
  if (self.manifests.Accept(Manifest(service, version), {}) ==
      manifest_verdict::kAccepted) {
    self.members.KeepServices(self.manifests.direct());
    self.gossip.NoteHolding(
        {.service = ServiceName(service), .version = version}, now_);
  }
}

service_manifest gossip_fleet::Manifest(std::size_t service,
                                        std::uint64_t version) const {
  service_manifest manifest = {.service = ServiceName(service),
                               .version = version};
  method_spec method = {.name = "run"};
  const std::size_t width =
      std::max<std::size_t>(options_.services / kLayers, 1);
  const std::size_t layer = service / width;
  for (std::size_t i = 0; i < kCalls && layer + 1 < kLayers; ++i) {
    const std::size_t called = (layer + 1) * width + (service + i) % width;
    if (called < options_.services) {
      method.calls.push_back({.service = ServiceName(called), .method = "run"});
    }
  }
  manifest.methods.push_back(method);
  return manifest;
}

std::vector<fleet_target> gossip_fleet::LiveList(std::size_t service) const {
  std::vector<fleet_target> list;
  for (std::size_t i = service; i < nodes_.size(); i += options_.services) {
    const member_news& news = nodes_[i]->gossip.self();
    list.push_back({.vm = news.vm,
                    .data_centre = news.data_centre,
                    .region = news.region,
                    .peer = news.peer});
  }
  return list;
}

std::uint64_t gossip_fleet::PublishManifest(std::size_t service) {
  ++published_[service];
  if (!platform_stale_) {
    served_ = published_;
    ++revision_;
    for (const auto& watch : std::exchange(index_watches_, {})) {
      At(now_ + kPlatformLatency, watch);
    }
  }
  return published_[service];
}

void gossip_fleet::SetPlatformStale(bool stale) {
  platform_stale_ = stale;
  if (!stale) {
    served_ = published_;
    ++revision_;
  }
}

void gossip_fleet::TellOf(std::size_t node,
                          std::size_t service,
                          std::uint64_t version) {
  const manifest_version told = {.service = ServiceName(service),
                                 .version = version};
  nodes_[node]->guests[told.service] = version;
  nodes_[node]->gossip.LearnVersions({told}, now_);
  nodes_[node]->gossip.NoteHolding(told, now_);
}

void gossip_fleet::SetCut(std::function<bool(std::size_t, std::size_t)> cut) {
  cut_ = std::move(cut);
}

void gossip_fleet::SetDoubling(double share, milliseconds delay) {
  doubling_ = share;
  doubling_delay_ = delay;
}

void gossip_fleet::Kill(std::size_t node) {
  nodes_[node]->up = false;
}

void gossip_fleet::Restart(std::size_t node) {
  StartDaemon(node);
}

void gossip_fleet::Leave(std::size_t node) {
  nodes_[node]->gossip.Leave(now_);
}

void gossip_fleet::Announce(std::size_t node, const fleet_blob& blob) {
  nodes_[node]->gossip.LearnBlob(blob, now_);
}

bool gossip_fleet::IsUp(std::size_t node) const {
  return nodes_[node]->up;
}

bool gossip_fleet::IsReady(std::size_t node) const {
  return nodes_[node]->up && nodes_[node]->gossip.has_history();
}

std::uint64_t gossip_fleet::KnownVersion(std::size_t node,
                                         std::size_t service) const {
  return nodes_[node]->manifests.KnownVersion(ServiceName(service));
}

std::uint64_t gossip_fleet::VersionInForce(std::size_t node,
                                           std::size_t service) const {
  return nodes_[node]->manifests.VersionInForce(ServiceName(service));
}

bool gossip_fleet::Wants(std::size_t node, std::size_t service) const {
  return nodes_[node]->manifests.IsWanted(ServiceName(service));
}

const gossip_node& gossip_fleet::node(std::size_t node) const {
  return nodes_[node]->gossip;
}

std::optional<member_state> gossip_fleet::Believes(std::size_t node,
                                                   std::size_t other) const {
  return nodes_[node]->members.StateOf(VmName(other), now_);
}

}  // namespace pistachioweir
