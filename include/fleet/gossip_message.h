// gossip_message: what daemons tell each other in one datagram.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "include/base/enum_table.h"
#include "include/base/time.h"
#include "include/fleet/fleet_view.h"
#include "include/fleet/manifest_store.h"
#include "include/fleet/membership.h"

namespace pistachioweir {

// A version of a manifest that exists, and a daemon that has the document.
struct version_news {
  manifest_version version;
  // Peer address of the holder; port 0 if none is known.
  endpoint holder;
};

enum class gossip_kind : std::uint8_t {
  kPush,  // Starts an exchange; wants a reply with the same sequence.
  kReply,
  kRumour,    // News on its way through the fleet; wants no reply.
  kBuckets,   // The digests of all buckets: "where do we differ?"
  kVersions,  // All versions in the named buckets, or newer ones only.
  kProbe,     // "I don't hear members[0]; do you?"
  kAlive,     // "I do": members[0] answered.
};

inline constexpr std::size_t kGossipKindCount = 7;

inline constexpr enum_table<gossip_kind, kGossipKindCount> kGossipKindNames(
    {"push", "reply", "rumour", "buckets", "versions", "probe", "alive"});

struct gossip_message {
  // A datagram with its authentication stays below any usual path's MTU, since
  // a fragmented one is lost when any fragment is.
  static constexpr std::size_t kMaxBytes = 1200;

  gossip_kind kind = gossip_kind::kPush;
  // Random; a reply repeats it, so that an old or forged reply matches nothing.
  std::uint64_t sequence = 0;
  member_news sender;
  // Whether the sender's knowledge reaches back beyond its own start.
  bool has_history = false;
  std::uint64_t digest = 0;
  std::vector<version_news> versions;
  std::vector<member_news> members;
  // Some live peers, no news: keep every table of peers a random part of the
  // fleet.
  std::vector<member_news> samples;
  std::vector<fleet_blob> blobs;
  // kBuckets: one digest a bucket. kVersions: the buckets that are complete.
  std::vector<std::uint64_t> buckets;
};

[[nodiscard]] std::string Encode(const gossip_message& message);

// Nothing if `bytes` is not one whole, valid message.
[[nodiscard]] std::optional<gossip_message> DecodeGossip(
    std::string_view bytes);

// Upper bounds of what one entry adds to a message, in bytes.
[[nodiscard]] std::size_t EncodedSize(const version_news& version);
[[nodiscard]] std::size_t EncodedSize(const member_news& news);
[[nodiscard]] std::size_t EncodedSize(const fleet_blob& blob);
// Of everything in the message so far.
[[nodiscard]] std::size_t EncodedSize(const gossip_message& message);

}  // namespace pistachioweir
