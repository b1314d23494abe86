// The gossip protocol: sending. gossip_receive.cc has the other half.
#include "include/fleet/gossip_node.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <utility>

#include "src/fleet/peer_table.h"
#include "src/fleet/rumour_table.h"

namespace pistachioweir {
namespace {

// Of a hundred exchanges and rumours, how many go how far. Traffic between
// regions is dear and slow; two in a hundred of some thousand daemons still
// cross hundreds of times for each rumour.
constexpr std::array<double, kPeerDistanceCount> kDistanceWeights = {70, 27, 3};
// An exchange's ride of rumours stays well below a whole datagram.
constexpr std::size_t kRideBytes = 600;
constexpr std::size_t kMaxFreshMessages = 3;
constexpr double kBurstSeconds = 3;
// By send_class: the share of the burst that it leaves to the others.
constexpr std::array<double, 3> kReserve = {0, 0.3, 0.6};
// IP and UDP headers and the authentication of one datagram.
constexpr double kOverheadBytes = 28 + 16;
constexpr std::size_t kMaxExchanges = 64;
constexpr std::size_t kHelpers = 2;
// With a tenth of the datagrams lost, one round of probes fails two times in a
// hundred for a healthy peer; three rounds, once in a hundred thousand.
constexpr std::uint32_t kProbeRounds = 3;
constexpr milliseconds kProbePause{900};
// Above this share of failing exchanges the own network is suspected.
constexpr double kMaxFailing = 0.5;
constexpr double kFailingWeight = 0.1;

}  // namespace

gossip_node::gossip_node(gossip_options options,
                         manifest_store& manifests,
                         std::uint64_t seed)
    : manifests_(manifests),
      random_(seed),
      send_rate_(options.send_rate),
      self_(std::move(options.self)),
      peers_(std::make_unique<peer_table>(self_)),
      rumours_(std::make_unique<rumour_table>()) {}

gossip_node::~gossip_node() = default;

void gossip_node::Announce(time_point now) {
  rumours_->Add(self_, now);
}

void gossip_node::Leave(time_point now) {
  self_.state = member_state::kLeaving;
  rumours_->Add(self_, now);
}

void gossip_node::TakeList(const std::string& service,
                           const std::vector<fleet_target>& targets) {
  peers_->ClearListed(service);
  for (const fleet_target& target : targets) {
    peers_->Add({.vm = target.vm,
                 .service = service,
                 .data_centre = target.data_centre,
                 .region = target.region,
                 .peer = target.peer},
                /*listed=*/true, random_);
  }
}

void gossip_node::AddPeer(const member_news& news) {
  peers_->Add(news, /*listed=*/false, random_);
}

void gossip_node::LearnVersions(const std::vector<manifest_version>& versions,
                                time_point now) {
  for (const manifest_version& version : versions) {
    // What is new to a newcomer is no news to the fleet.
    if (manifests_.NoteVersion(version) && has_history_) {
      rumours_->Add(version_news{.version = version}, now);
    }
  }
}

void gossip_node::NoteHolding(const manifest_version& version, time_point now) {
  if (has_history_) {
    rumours_->Add(version_news{.version = version, .holder = self_.peer}, now);
  }
}

bool gossip_node::LearnBlob(const fleet_blob& blob, time_point now) {
  return rumours_->Add(blob, now);
}

void gossip_node::Hasten(time_point now) {
  exchanges_.clear();
  probes_.clear();
  next_exchange_ = now;
}

std::vector<outgoing_datagram> gossip_node::Tick(time_point now) {
  outgoing_list out;
  RefillBudget(now);
  CheckExchanges(now, &out);
  SpreadFresh(now, &out);
  if (now >= next_exchange_) {
    StartExchanges(now, &out);
  }
  if (now >= next_expiry_) {
    rumours_->Expire(now);
    next_expiry_ = now + seconds(1);
  }
  return out;
}

void gossip_node::RefillBudget(time_point now) {
  if (refilled_ == time_point()) {
    refilled_ = now;
    budget_ = send_rate_ * kBurstSeconds;
  }
  const std::chrono::duration<double> passed = now - refilled_;
  budget_ = std::min(send_rate_ * kBurstSeconds,
                     budget_ + passed.count() * send_rate_);
  refilled_ = now;
}

gossip_message gossip_node::Head(gossip_kind kind, std::uint64_t sequence) {
  return {.kind = kind,
          .sequence = sequence,
          .sender = self_,
          .has_history = has_history_,
          .digest = manifests_.digest()};
}

bool gossip_node::Send(const endpoint& to,
                       gossip_message message,
                       send_class kind,
                       outgoing_list* out) {
  const double size =
      static_cast<double>(EncodedSize(message)) + kOverheadBytes;
  // Under a storm of news a daemon falls behind rather than take its target's
  // share of the VM; anti-entropy brings what it has left out.
  const double reserve =
      kReserve[static_cast<std::size_t>(kind)] * send_rate_ * kBurstSeconds;
  if (budget_ < size + reserve) {
    ++counters_.over_budget;
    return false;
  }
  budget_ -= size;
  out->push_back({.to = to, .message = std::move(message)});
  return true;
}

std::size_t gossip_node::PickDistance() {
  std::discrete_distribution<std::size_t> distance(kDistanceWeights.begin(),
                                                   kDistanceWeights.end());
  return distance(random_);
}

void gossip_node::StartExchanges(time_point now, outgoing_list* out) {
  if (!has_history_) {
    AskAsNewcomer(now, out);
    next_exchange_ = now + kNewcomerPeriod;
    return;
  }
  const auto distance = static_cast<peer_distance>(PickDistance());
  if (const gossip_peer* peer = peers_->Pick(distance, random_)) {
    StartExchange(peer->news, now, out);
  }
  const double factor =
      std::uniform_real_distribution<double>(0.8, 1.2)(random_);
  next_exchange_ =
      now + std::chrono::duration_cast<duration>(kExchangePeriod * factor);
}

// Asks all peers once, then those that have not answered, and one of the
// others, since it may have learnt more.
void gossip_node::AskAsNewcomer(time_point now, outgoing_list* out) {
  std::vector<member_news> peers = NewcomerPeers();
  std::ranges::shuffle(peers, random_);
  bool again = false;
  for (const member_news& peer : peers) {
    const bool answered =
        std::ranges::find(answered_, peer.vm) != answered_.end();
    if (answered && std::exchange(again, true)) {
      continue;
    }
    StartExchange(peer, now, out);
  }
}

void gossip_node::StartExchange(const member_news& peer,
                                time_point now,
                                outgoing_list* out) {
  if (exchanges_.size() >= kMaxExchanges) {
    return;
  }
  const std::uint64_t sequence = random_();
  gossip_message push = Head(gossip_kind::kPush, sequence);
  Fill(&push, now);
  if (!Send(peer.peer, std::move(push), send_class::kExchange, out)) {
    return;
  }
  exchanges_[sequence] = {.peer = peer, .sent = now};
  ++counters_.exchanges;
}

// Adds what rides on an exchange: rumours, and a random peer, by which tables
// of peers stay random parts of the fleet.
void gossip_node::Fill(gossip_message* message, time_point now) {
  rumours_->Ride(message, kRideBytes, now);
  if (const gossip_peer* sample = peers_->PickSample(random_)) {
    message->samples.push_back(sample->news);
  }
}

void gossip_node::SpreadFresh(time_point now, outgoing_list* out) {
  if (!rumours_->HasFresh() || peers_->size() == 0) {
    return;
  }
  const gossip_message head = Head(gossip_kind::kRumour, random_());
  const std::vector<gossip_message> messages =
      rumours_->TakeFresh(head, kMaxFreshMessages, now);
  std::vector<endpoint> receivers;
  for (std::size_t i = 0; i < kFanout; ++i) {
    const auto distance = static_cast<peer_distance>(PickDistance());
    const gossip_peer* peer = peers_->Pick(distance, random_);
    if (peer != nullptr &&
        std::ranges::find(receivers, peer->news.peer) == receivers.end()) {
      receivers.push_back(peer->news.peer);
    }
  }
  for (const endpoint& to : receivers) {
    for (const gossip_message& message : messages) {
      Send(to, message, send_class::kRumour, out);
    }
  }
}

void gossip_node::CheckExchanges(time_point now, outgoing_list* out) {
  for (auto it = exchanges_.begin(); it != exchanges_.end();) {
    exchange& pending = it->second;
    if (!pending.probed && now - pending.sent >= kAnswerTimeout) {
      ++counters_.exchanges_failed;
      failing_ += (1 - failing_) * kFailingWeight;
      peers_->NoteMiss(pending.peer.vm);
      pending.probed = true;
      pending.suspected = now;
    }
    if (pending.probed && pending.rounds < kProbeRounds &&
        now - pending.suspected >= kProbePause * pending.rounds) {
      ++pending.rounds;
      AskOthers(pending, it->first, out);
    }
    if (!pending.probed || now - pending.suspected < kSuspicion) {
      ++it;
      continue;
    }
    const gossip_peer* peer = peers_->Find(pending.peer.vm);
    const bool silent = peer != nullptr && peer->misses > 0;
    if (silent && MayDeclare(peer->news)) {
      ++counters_.deaths_declared;
      member_news dead = peer->news;
      dead.state = member_state::kDead;
      AbsorbNews(dead, now);
    }
    it = exchanges_.erase(it);
  }
  std::erase_if(probes_, [now](const auto& item) {
    return now - item.second.sent > kSuspicion;
  });
}

bool gossip_node::MayDeclare(const member_news& peer) const {
  // Without an incarnation it was never heard of, so nobody could refute.
  return has_history_ && peer.incarnation != incarnation_id{} &&
         peer.region == self_.region && failing_ < kMaxFailing &&
         peer.state != member_state::kDead;
}

void gossip_node::AskOthers(const exchange& pending,
                            std::uint64_t sequence,
                            outgoing_list* out) {
  if (pending.peer.region != self_.region) {
    return;
  }
  // One more try on the direct path, since one datagram is easily lost.
  Send(pending.peer.peer, Head(gossip_kind::kPush, sequence),
       send_class::kExchange, out);
  for (std::size_t i = 0; i < kHelpers; ++i) {
    const gossip_peer* helper =
        peers_->Pick(peer_distance::kSameDataCentre, random_);
    if (helper == nullptr || helper->news.vm == pending.peer.vm) {
      continue;
    }
    gossip_message ask = Head(gossip_kind::kProbe, sequence);
    ask.members.push_back(pending.peer);
    Send(helper->news.peer, std::move(ask), send_class::kExchange, out);
  }
}

std::vector<member_news> gossip_node::TakeNews() {
  return std::exchange(news_, {});
}

std::vector<version_news> gossip_node::TakeHolders() {
  return std::exchange(holders_, {});
}

std::vector<gossip_node::reply_sign> gossip_node::TakeReplies() {
  return std::exchange(replies_, {});
}

std::size_t gossip_node::peer_count() const {
  return peers_->size();
}

bool gossip_node::HasPeer(const vm_id& vm) const {
  return peers_->Find(vm) != nullptr;
}

std::vector<member_news> gossip_node::NewcomerPeers() const {
  std::vector<member_news> peers;
  for (const gossip_peer* peer :
       peers_->PickForNewcomer(self_.service, kNewcomerPeers)) {
    peers.push_back(peer->news);
  }
  return peers;
}

std::vector<fleet_blob> gossip_node::Blobs(time_point now) const {
  return rumours_->Blobs(now);
}

}  // namespace pistachioweir
