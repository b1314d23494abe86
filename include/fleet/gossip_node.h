// gossip_node: the protocol by which daemons tell each other of manifest
// versions and of members. Holds no socket and no clock.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "include/base/time.h"
#include "include/fleet/gossip_message.h"
#include "include/fleet/manifest_store.h"
#include "include/fleet/membership.h"

namespace pistachioweir {

class peer_table;
class rumour_table;

struct outgoing_datagram {
  endpoint to;
  gossip_message message;
};

struct gossip_options {
  // The own VM; its state and generation are the node's from then on.
  member_news self;
  // Bytes a second that the node may send; half of what control may spend.
  double send_rate = 4500;
};

struct gossip_counters {
  std::uint64_t exchanges = 0;
  std::uint64_t exchanges_failed = 0;
  std::uint64_t deaths_declared = 0;
  std::uint64_t refutations = 0;
  std::uint64_t over_budget = 0;  // Messages not sent.
};

// How news travels. A daemon that hears something new passes it to kFanout
// peers at once (rumour), most of them near; each second it also exchanges
// digests with one random peer, and two that differ compare buckets of
// versions (anti-entropy), which finds whatever rumours have missed, also after
// a partition. Only a few in a hundred of these cross regions.
//
// How a death is found. A peer that doesn't answer an exchange is probed
// through two others, since a path may fail in one direction only. If they
// don't hear it either and it doesn't refute within kSuspicion, its death
// becomes a rumour. A daemon declares nobody dead outside its region, nor
// while much of what it tries fails: then the cut is more likely its own, and
// thousands of rumours would say what calls show anyway.
//
// Owns its peers and rumours; learns versions into the given store, which must
// outlive it. Time is an argument; the generator is seeded by the caller. Not
// thread-safe.
class gossip_node {
 public:
  static constexpr std::size_t kFanout = 6;
  static constexpr milliseconds kExchangePeriod{1000};
  static constexpr milliseconds kAnswerTimeout{500};
  static constexpr seconds kSuspicion{3};
  static constexpr milliseconds kNewcomerPeriod{500};
  static constexpr std::size_t kNewcomerPeers = 6;

  gossip_node(gossip_options options,
              manifest_store& manifests,
              std::uint64_t seed);
  ~gossip_node();
  gossip_node(const gossip_node&) = delete;
  gossip_node& operator=(const gossip_node&) = delete;

  // Tells the fleet that this daemon has started.
  void Announce(time_point now);
  // Tells the fleet that this daemon leaves, for good.
  void Leave(time_point now);
  // All peers of `service` that the platform lists.
  void TakeList(const std::string& service,
                const std::vector<fleet_target>& targets);
  // Peers that another daemon told of.
  void AddPeer(const member_news& news);
  // Versions that the platform or a peer's document told of; spreads news.
  void LearnVersions(const std::vector<manifest_version>& versions,
                     time_point now);
  // This daemon now has the document of `version`, and gives it to others.
  void NoteHolding(const manifest_version& version, time_point now);
  bool LearnBlob(const fleet_blob& blob, time_point now);
  // Exchanges again at once, as after a pause. What was asked before it no
  // longer counts.
  void Hasten(time_point now);
  // Whether this daemon's knowledge reaches back beyond its start.
  void SetHistory(bool has_history) { has_history_ = has_history; }

  // What to send now. Call about every 50 ms.
  [[nodiscard]] std::vector<outgoing_datagram> Tick(time_point now);
  // Takes in one authenticated message; what to send in answer.
  [[nodiscard]] std::vector<outgoing_datagram> Receive(
      const gossip_message& message,
      time_point now);
  // News of members since the last call, for the membership.
  [[nodiscard]] std::vector<member_news> TakeNews();
  // Holders of documents that rumours named since the last call.
  [[nodiscard]] std::vector<version_news> TakeHolders();
  // Replies since the last call, for the newcomer's rule.
  struct reply_sign {
    vm_id vm;
    bool has_history = false;
    std::uint64_t digest = 0;
  };
  [[nodiscard]] std::vector<reply_sign> TakeReplies();

  [[nodiscard]] const member_news& self() const { return self_; }
  [[nodiscard]] bool has_history() const { return has_history_; }
  [[nodiscard]] std::size_t peer_count() const;
  [[nodiscard]] bool HasPeer(const vm_id& vm) const;
  // Those that a newcomer asks: its own service's first.
  [[nodiscard]] std::vector<member_news> NewcomerPeers() const;
  [[nodiscard]] std::vector<fleet_blob> Blobs(time_point now) const;
  [[nodiscard]] const gossip_counters& counters() const { return counters_; }

 private:
  struct exchange {
    member_news peer;
    time_point sent;
    bool probed = false;       // Others were asked; kSuspicion runs.
    std::uint32_t rounds = 0;  // How often.
    time_point suspected;
  };
  // An exchange made for another daemon.
  struct probe {
    endpoint asker;
    std::uint64_t asker_sequence = 0;
    time_point sent;
  };
  using outgoing_list = std::vector<outgoing_datagram>;

  [[nodiscard]] gossip_message Head(gossip_kind kind, std::uint64_t sequence);
  // What a message may spend of the budget. Exchanges keep a part to
  // themselves: when rumours used all of it, replies were left out, healthy
  // peers looked dead, and the rumours of their deaths and the refutations kept
  // the budget used up for good.
  enum class send_class : std::uint8_t { kExchange, kRepair, kRumour };
  // Returns whether it is sent.
  bool Send(const endpoint& to,
            gossip_message message,
            send_class kind,
            outgoing_list* out);
  void StartExchange(const member_news& peer,
                     time_point now,
                     outgoing_list* out);
  void AskAsNewcomer(time_point now, outgoing_list* out);
  void StartExchanges(time_point now, outgoing_list* out);
  void SpreadFresh(time_point now, outgoing_list* out);
  void CheckExchanges(time_point now, outgoing_list* out);
  void AskOthers(const exchange& pending,
                 std::uint64_t sequence,
                 outgoing_list* out);
  void Fill(gossip_message* message, time_point now);
  void RefillBudget(time_point now);

  void Absorb(const gossip_message& message, time_point now);
  void AbsorbSender(const member_news& sender, time_point now);
  void AbsorbNews(const member_news& news, time_point now);
  void AnswerNewsOfSelf(const member_news& news, time_point now);
  void OnPush(const gossip_message& push, time_point now, outgoing_list* out);
  void OnReply(const gossip_message& reply, time_point now, outgoing_list* out);
  void OnBuckets(const gossip_message& asked, outgoing_list* out);
  void OnVersions(const gossip_message& message, outgoing_list* out);
  void OnProbe(const gossip_message& asked, time_point now, outgoing_list* out);
  void OnAlive(const gossip_message& message);
  void NoteAlive(std::uint64_t sequence, const member_news& peer);
  [[nodiscard]] bool MayDeclare(const member_news& peer) const;
  [[nodiscard]] const member_news* Known(const vm_id& vm) const;
  [[nodiscard]] std::size_t PickDistance();

  manifest_store& manifests_;
  std::mt19937_64 random_;
  const double send_rate_;
  // Invariant: state is kLive or kLeaving; generation only rises.
  member_news self_;
  bool has_history_ = false;
  std::unique_ptr<peer_table> peers_;
  std::unique_ptr<rumour_table> rumours_;
  std::map<std::uint64_t, exchange> exchanges_;  // By sequence; bounded.
  std::map<std::uint64_t, probe> probes_;        // By sequence; bounded.
  std::vector<member_news> news_;
  std::vector<version_news> holders_;
  std::vector<reply_sign> replies_;
  std::vector<vm_id> answered_;  // Peers that this newcomer has heard from.
  time_point next_exchange_;
  time_point next_bucket_sync_;
  time_point next_expiry_;
  time_point refilled_;
  double budget_ = 0;  // Bytes that may be sent now.
  // Share of late exchanges that failed, as a moving average.
  double failing_ = 0;
  gossip_counters counters_;
};

}  // namespace pistachioweir
