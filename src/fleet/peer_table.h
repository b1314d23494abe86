// peer_table: the few daemons that this one talks with, a random part of the
// fleet that is kept by distance.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "include/base/time.h"
#include "include/fleet/membership.h"

namespace pistachioweir {

enum class peer_distance : std::uint8_t {
  kSameDataCentre,
  kSameRegion,
  kOtherRegion,
};

inline constexpr std::size_t kPeerDistanceCount = 3;

struct gossip_peer {
  member_news news;
  // Exchanges in a row without an answer.
  std::uint32_t misses = 0;
  // Named by a live list that this daemon reads.
  bool listed = false;
};

// Bounded for each distance, so that its memory doesn't grow with the fleet and
// far regions always keep their place: after a partition the first exchange
// with any of them heals it. Unanswered peers are not forgotten, only replaced.
// Not thread-safe.
class peer_table {
 public:
  static constexpr std::array<std::size_t, kPeerDistanceCount> kCapacity = {
      64, 48, 32};

  explicit peer_table(member_news self);

  // Takes a peer in, or brings what is known of it up to date.
  void Add(const member_news& news, bool listed, std::mt19937_64& random);
  // No peer of `service` counts as listed any more; those that are dead go.
  void ClearListed(const std::string& service);
  void Remove(const vm_id& vm);
  void NoteAnswer(const vm_id& vm);
  void NoteMiss(const vm_id& vm);

  [[nodiscard]] const gossip_peer* Find(const vm_id& vm) const;
  [[nodiscard]] std::size_t size() const;
  [[nodiscard]] peer_distance DistanceTo(const member_news& news) const;

  // A peer at about `distance`, or at the next one that has any. Those that
  // answer are preferred. Nothing if the table is empty.
  [[nodiscard]] const gossip_peer* Pick(peer_distance distance,
                                        std::mt19937_64& random) const;
  // Up to `count` peers of `service`, then others, none twice.
  [[nodiscard]] std::vector<const gossip_peer*> PickForNewcomer(
      const std::string& service,
      std::size_t count) const;
  // Any peer that answers, for others to learn of.
  [[nodiscard]] const gossip_peer* PickSample(std::mt19937_64& random) const;

 private:
  using group = std::vector<gossip_peer>;

  [[nodiscard]] gossip_peer* FindMutable(const vm_id& vm);

  const member_news self_;
  std::array<group, kPeerDistanceCount> groups_;
};

}  // namespace pistachioweir
