// Choice of peers by distance.
#include "src/fleet/peer_table.h"

#include <algorithm>
#include <functional>
#include <string>
#include <utility>

namespace pistachioweir {
namespace {

std::size_t Below(std::size_t bound, std::mt19937_64& random) {
  return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random);
}

}  // namespace

peer_table::peer_table(member_news self) : self_(std::move(self)) {}

peer_distance peer_table::DistanceTo(const member_news& news) const {
  if (news.region != self_.region) {
    return peer_distance::kOtherRegion;
  }
  return news.data_centre == self_.data_centre ? peer_distance::kSameDataCentre
                                               : peer_distance::kSameRegion;
}

gossip_peer* peer_table::FindMutable(const vm_id& vm) {
  for (group& peers : groups_) {
    for (gossip_peer& peer : peers) {
      if (peer.news.vm == vm) {
        return &peer;
      }
    }
  }
  return nullptr;
}

const gossip_peer* peer_table::Find(const vm_id& vm) const {
  return const_cast<peer_table*>(this)->FindMutable(vm);
}

void peer_table::Add(const member_news& news,
                     bool listed,
                     std::mt19937_64& random) {
  if (news.vm == self_.vm) {
    return;
  }
  if (gossip_peer* known = FindMutable(news.vm)) {
    known->listed = known->listed || listed;
    if (Overrides(news, known->news)) {
      const bool restarted = known->news.incarnation != news.incarnation;
      known->news = news;
      known->misses = restarted ? 0 : known->misses;
    }
    return;
  }
  const auto distance = static_cast<std::size_t>(DistanceTo(news));
  group& peers = groups_[distance];
  const gossip_peer fresh = {.news = news, .listed = listed};
  if (peers.size() < kCapacity[distance]) {
    peers.push_back(fresh);
    return;
  }
  // Random replacement keeps the table a random part of the fleet. Of two
  // drawn, the one that answers less goes.
  gossip_peer& a = peers[Below(peers.size(), random)];
  gossip_peer& b = peers[Below(peers.size(), random)];
  (a.misses >= b.misses ? a : b) = fresh;
}

void peer_table::ClearListed(const std::string& service) {
  for (group& peers : groups_) {
    for (gossip_peer& peer : peers) {
      peer.listed = peer.listed && peer.news.service != service;
    }
    std::erase_if(peers, [](const gossip_peer& peer) {
      return !peer.listed && peer.news.state == member_state::kDead;
    });
  }
}

void peer_table::Remove(const vm_id& vm) {
  for (group& peers : groups_) {
    std::erase_if(peers,
                  [&](const gossip_peer& peer) { return peer.news.vm == vm; });
  }
}

void peer_table::NoteAnswer(const vm_id& vm) {
  if (gossip_peer* peer = FindMutable(vm)) {
    peer->misses = 0;
  }
}

void peer_table::NoteMiss(const vm_id& vm) {
  if (gossip_peer* peer = FindMutable(vm)) {
    ++peer->misses;
  }
}

std::size_t peer_table::size() const {
  std::size_t size = 0;
  for (const group& peers : groups_) {
    size += peers.size();
  }
  return size;
}

const gossip_peer* peer_table::Pick(peer_distance distance,
                                    std::mt19937_64& random) const {
  for (std::size_t step = 0; step < kPeerDistanceCount; ++step) {
    const std::size_t at =
        (static_cast<std::size_t>(distance) + step) % kPeerDistanceCount;
    const group& peers = groups_[at];
    if (peers.empty()) {
      continue;
    }
    const gossip_peer& a = peers[Below(peers.size(), random)];
    const gossip_peer& b = peers[Below(peers.size(), random)];
    // A silent peer is still tried at times: it may be back.
    const bool prefer_answering = Below(8, random) != 0;
    return prefer_answering && b.misses < a.misses ? &b : &a;
  }
  return nullptr;
}

std::vector<const gossip_peer*> peer_table::PickForNewcomer(
    const std::string& service,
    std::size_t count) const {
  std::vector<const gossip_peer*> picked;
  // Starts at a place of its own, so that daemons that start together don't
  // all ask the first on the list.
  const std::size_t place = std::hash<std::string>()(self_.vm);
  for (const bool own : {true, false}) {
    for (const group& peers : groups_) {
      for (std::size_t i = 0; i < peers.size(); ++i) {
        const gossip_peer& peer = peers[(place + i) % peers.size()];
        const bool fits = (peer.news.service == service) == own &&
                          peer.news.state != member_state::kDead;
        if (picked.size() < count && fits) {
          picked.push_back(&peer);
        }
      }
    }
  }
  return picked;
}

const gossip_peer* peer_table::PickSample(std::mt19937_64& random) const {
  const std::size_t total = size();
  if (total == 0) {
    return nullptr;
  }
  std::size_t at = Below(total, random);
  for (const group& peers : groups_) {
    if (at < peers.size()) {
      return peers[at].misses == 0 ? &peers[at] : nullptr;
    }
    at -= peers.size();
  }
  return nullptr;
}

}  // namespace pistachioweir
