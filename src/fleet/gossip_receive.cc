// The gossip protocol: receiving. gossip_node.cc has the other half.
#include <algorithm>
#include <utility>

#include "include/fleet/gossip_node.h"
#include "src/fleet/peer_table.h"
#include "src/fleet/rumour_table.h"

namespace pistachioweir {
namespace {

constexpr std::size_t kMaxProbes = 64;
constexpr std::size_t kMaxVersionMessages = 4;
constexpr milliseconds kBucketSyncPause{300};
constexpr double kFailingWeight = 0.1;

}  // namespace

std::vector<outgoing_datagram> gossip_node::Receive(
    const gossip_message& message,
    time_point now) {
  outgoing_list out;
  if (message.sender.vm == self_.vm &&
      message.sender.incarnation == self_.incarnation) {
    return out;  // Its own datagram, sent back by someone.
  }
  RefillBudget(now);
  Absorb(message, now);
  switch (message.kind) {
    case gossip_kind::kPush:
      OnPush(message, now, &out);
      break;
    case gossip_kind::kReply:
      OnReply(message, now, &out);
      break;
    case gossip_kind::kRumour:
      break;
    case gossip_kind::kBuckets:
      OnBuckets(message, &out);
      break;
    case gossip_kind::kVersions:
      OnVersions(message, &out);
      break;
    case gossip_kind::kProbe:
      OnProbe(message, now, &out);
      break;
    case gossip_kind::kAlive:
      OnAlive(message);
      break;
  }
  return out;
}

void gossip_node::Absorb(const gossip_message& message, time_point now) {
  for (const version_news& news : message.versions) {
    const bool is_news = manifests_.NoteVersion(news.version);
    if (is_news && has_history_) {
      rumours_->Add(news, now);
    }
    if (news.holder.port != 0 && manifests_.IsWanted(news.version.service) &&
        news.version.version >
            manifests_.VersionInForce(news.version.service)) {
      holders_.push_back(news);
    }
  }
  for (const fleet_blob& blob : message.blobs) {
    rumours_->Add(blob, now);
  }
  if (message.kind != gossip_kind::kProbe) {
    for (const member_news& news : message.members) {
      AbsorbNews(news, now);
    }
  }
  for (const member_news& sample : message.samples) {
    if (sample.state == member_state::kLive) {
      peers_->Add(sample, /*listed=*/false, random_);
    }
  }
  AbsorbSender(message.sender, now);
}

void gossip_node::AbsorbSender(const member_news& sender, time_point now) {
  const member_news* known = Known(sender.vm);
  const bool first_contact =
      known == nullptr || known->incarnation == incarnation_id{};
  if (!first_contact || sender.state != member_state::kLive) {
    // A restart, a refutation or a planned stop: news for everyone.
    AbsorbNews(sender, now);
  } else {
    peers_->Add(sender, /*listed=*/false, random_);
  }
  // The owner may not know what the table of peers knows, which also learns
  // from samples: without this it might never hear of the sender's start.
  news_.push_back(sender);
}

const member_news* gossip_node::Known(const vm_id& vm) const {
  const member_news* rumour = rumours_->FindMember(vm);
  const gossip_peer* peer = peers_->Find(vm);
  if (peer == nullptr) {
    return rumour;
  }
  return rumour != nullptr && Overrides(*rumour, peer->news) ? rumour
                                                             : &peer->news;
}

void gossip_node::AbsorbNews(const member_news& news, time_point now) {
  if (news.vm == self_.vm) {
    AnswerNewsOfSelf(news, now);
    return;
  }
  const member_news* known = Known(news.vm);
  if (known != nullptr && !Overrides(news, *known)) {
    return;
  }
  rumours_->Add(news, now);
  if (news.state == member_state::kDead) {
    if (const gossip_peer* peer = peers_->Find(news.vm)) {
      if (!peer->listed) {
        peers_->Remove(news.vm);
      }
    }
  }
  if (news.state == member_state::kLive || peers_->Find(news.vm) != nullptr) {
    peers_->Add(news, /*listed=*/false, random_);
  }
  news_.push_back(news);
}

void gossip_node::AnswerNewsOfSelf(const member_news& news, time_point now) {
  // Others believe an earlier start of this VM, or that this one is dead: only
  // a higher generation, which the member alone may raise, overrides that.
  const bool same = news.incarnation == self_.incarnation;
  const bool wrong = same ? Overrides(news, self_)
                          : news.generation >= self_.generation &&
                                news.incarnation != incarnation_id{};
  if (!wrong) {
    return;
  }
  ++counters_.refutations;
  self_.generation = news.generation + 1;
  rumours_->Add(self_, now);
}

void gossip_node::OnPush(const gossip_message& push,
                         time_point now,
                         outgoing_list* out) {
  gossip_message reply = Head(gossip_kind::kReply, push.sequence);
  // A restarted daemon learns here what its last start said.
  const member_news* known = Known(push.sender.vm);
  if (known != nullptr && Overrides(*known, push.sender)) {
    reply.members.push_back(*known);
  }
  Fill(&reply, now);
  Send(push.sender.peer, std::move(reply), send_class::kExchange, out);
}

void gossip_node::OnReply(const gossip_message& reply,
                          time_point now,
                          outgoing_list* out) {
  if (const auto asked = probes_.find(reply.sequence); asked != probes_.end()) {
    gossip_message alive =
        Head(gossip_kind::kAlive, asked->second.asker_sequence);
    alive.members.push_back(reply.sender);
    Send(asked->second.asker, std::move(alive), send_class::kExchange, out);
    probes_.erase(asked);
    return;
  }
  // Guard NEWCOMER_ASKS in spec/manifest_versions.pml. A late datagram tells a
  // newcomer what a peer knew before the version that it must not miss.
  if (!exchanges_.contains(reply.sequence)) {
    return;  // Doubled, late, or not an answer to anything.
  }
  NoteAlive(reply.sequence, reply.sender);
  if (!has_history_ && answered_.size() < kNewcomerPeers * 4) {
    answered_.push_back(reply.sender.vm);
  }
  replies_.push_back({.vm = reply.sender.vm,
                      .has_history = reply.has_history,
                      .digest = reply.digest});
  if (reply.digest == manifests_.digest()) {
    return;
  }
  // A newcomer compares with each peer that has a history: waiting for its turn
  // at one that is as new as itself, it would run out of patience knowing
  // little. Others meet again soon enough.
  const bool compare =
      has_history_ ? now >= next_bucket_sync_ : reply.has_history;
  if (!compare) {
    return;
  }
  next_bucket_sync_ = now + kBucketSyncPause;
  gossip_message ask = Head(gossip_kind::kBuckets, reply.sequence);
  for (std::size_t i = 0; i < manifest_store::kBuckets; ++i) {
    ask.buckets.push_back(manifests_.BucketDigest(i));
  }
  Send(reply.sender.peer, std::move(ask), send_class::kRepair, out);
}

void gossip_node::NoteAlive(std::uint64_t sequence, const member_news& peer) {
  failing_ -= failing_ * kFailingWeight;
  peers_->NoteAnswer(peer.vm);
  exchanges_.erase(sequence);
}

void gossip_node::OnBuckets(const gossip_message& asked, outgoing_list* out) {
  if (asked.buckets.size() != manifest_store::kBuckets) {
    return;
  }
  std::size_t messages = 0;
  gossip_message answer = Head(gossip_kind::kVersions, asked.sequence);
  std::size_t size = EncodedSize(answer);
  for (std::size_t i = 0; i < manifest_store::kBuckets; ++i) {
    if (asked.buckets[i] == manifests_.BucketDigest(i)) {
      continue;
    }
    const std::vector<manifest_version> versions = manifests_.VersionsIn(i);
    std::size_t more = 9;
    for (const manifest_version& version : versions) {
      more += EncodedSize(version_news{.version = version});
    }
    if (size + more > gossip_message::kMaxBytes) {
      if (!answer.buckets.empty()) {
        Send(asked.sender.peer, answer, send_class::kRepair, out);
      }
      if (++messages == kMaxVersionMessages) {
        return;  // The rest when the next exchange finds it.
      }
      answer.versions.clear();
      answer.buckets.clear();
      size = EncodedSize(answer);
    }
    // Only of a bucket larger than a datagram; can't be compared whole.
    if (size + more > gossip_message::kMaxBytes) {
      continue;
    }
    size += more;
    answer.buckets.push_back(i);
    for (const manifest_version& version : versions) {
      answer.versions.push_back({.version = version});
    }
  }
  if (!answer.buckets.empty()) {
    Send(asked.sender.peer, std::move(answer), send_class::kRepair, out);
  }
}

void gossip_node::OnVersions(const gossip_message& message,
                             outgoing_list* out) {
  // The sender's older and missing versions go back to it.
  gossip_message answer = Head(gossip_kind::kVersions, message.sequence);
  std::size_t size = EncodedSize(answer);
  for (const std::uint64_t bucket : message.buckets) {
    if (bucket >= manifest_store::kBuckets) {
      return;
    }
    for (const manifest_version& mine : manifests_.VersionsIn(bucket)) {
      const bool known = std::ranges::any_of(
          message.versions, [&](const version_news& theirs) {
            return theirs.version.service == mine.service &&
                   theirs.version.version >= mine.version;
          });
      const version_news news = {.version = mine};
      if (known || size + EncodedSize(news) > gossip_message::kMaxBytes) {
        continue;
      }
      size += EncodedSize(news);
      answer.versions.push_back(news);
    }
  }
  if (!answer.versions.empty()) {
    Send(message.sender.peer, std::move(answer), send_class::kRepair, out);
  }
}

void gossip_node::OnProbe(const gossip_message& asked,
                          time_point now,
                          outgoing_list* out) {
  if (asked.members.size() != 1 || probes_.size() >= kMaxProbes) {
    return;
  }
  const std::uint64_t sequence = random_();
  probes_[sequence] = {.asker = asked.sender.peer,
                       .asker_sequence = asked.sequence,
                       .sent = now};
  Send(asked.members.front().peer, Head(gossip_kind::kPush, sequence),
       send_class::kExchange, out);
}

void gossip_node::OnAlive(const gossip_message& message) {
  const auto pending = exchanges_.find(message.sequence);
  if (pending == exchanges_.end() || message.members.size() != 1 ||
      message.members.front().vm != pending->second.peer.vm) {
    return;
  }
  NoteAlive(message.sequence, message.members.front());
}

}  // namespace pistachioweir
