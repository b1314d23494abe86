// newcomer_rule: when a daemon that started with empty memory may act on what
// it knows.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>

#include "include/base/ids.h"
#include "include/base/time.h"

namespace pistachioweir {

// What a newcomer knows at one moment.
struct newcomer_situation {
  // A manifest of the own service is in force and no document is missing.
  bool documents_complete = false;
  // The own service's live list, or a peer's word for it, is known.
  bool peers_known = false;
  // Peers that there are to ask, at most gossip_node::kNewcomerPeers.
  std::size_t peers = 0;
  // Over all versions that this daemon knows.
  std::uint64_t digest = 0;
};

// A VM is replaced while the configuration service serves stale data: the new
// daemon, with empty memory, would put an older manifest in force than the one
// that the fleet has accepted, and callers would see withdrawn rules again. Its
// own "I know of nothing newer" is no evidence. As with the empty votes of a
// Raft server whose log was lost (NATS server, "NRG: Empty log protection"),
// the word of a daemon without history doesn't count towards kEnough; only
// when all peers have answered, without history, may it act on the platform's
// word alone: then the fleet itself is new.
//
// Peers that don't answer within kPatience count as unreachable: waiting longer
// would cost capacity for certain, while an older manifest needs a stale
// platform and a cut at the same time.
class newcomer_rule {
 public:
  // Three peers with a history: one that is itself behind can't mislead.
  static constexpr std::size_t kEnough = 3;
  static constexpr seconds kPatience{3};
  // As long as a peer with a history knows something else, there is something
  // to wait for; yet changes in quick succession may keep all apart.
  static constexpr seconds kDisagreement{10};

  // Takes a peer's answer.
  void NoteReply(const vm_id& vm, bool has_history, std::uint64_t digest);
  // Whether the daemon may act. Once true, don't ask again.
  [[nodiscard]] bool Decide(const newcomer_situation& situation,
                            time_point now);

 private:
  struct reply {
    bool has_history = false;
    std::uint64_t digest = 0;
  };

  std::map<vm_id, reply, std::less<>> replies_;
  // Digests that this daemon has had, with their documents. Versions only rise,
  // so a peer that tells one of these knows nothing newer.
  std::set<std::uint64_t> known_;
  // When there first were peers to ask.
  std::optional<time_point> asked_since_;
};

}  // namespace pistachioweir
