// rumour_table: recent news that this daemon passes on.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "include/base/time.h"
#include "include/fleet/gossip_message.h"

namespace pistachioweir {

// News is first sent to a few peers at once, then rides on exchanges a few
// times more. Bounded in number, in sends and in time. A newer rumour on one
// subject replaces the older. Not thread-safe.
class rumour_table {
 public:
  // A loss of a data centre makes some hundred members die at once; the oldest
  // rumours give way to the newer, since calls show deaths as well.
  static constexpr std::size_t kMaxRumours = 512;
  static constexpr std::size_t kMaxBlobs = 64;
  static constexpr std::size_t kMaxBlobBytes = 256;
  static constexpr std::uint32_t kMaxRides = 8;
  // News rides for a while and is remembered for much longer, so that a late
  // copy doesn't set it going again.
  static constexpr seconds kRideTime{15};
  static constexpr seconds kLifetime{60};

  // A rumour of a version that is known here already only gains its holder.
  void Add(const version_news& news, time_point now);
  void Add(const member_news& news, time_point now);
  // False if it is known, too large, or there are too many.
  bool Add(const fleet_blob& blob, time_point now);

  // Whether anything was not yet sent to the first few peers.
  [[nodiscard]] bool HasFresh() const;
  // Moves fresh rumours into as few messages like `head` as fit.
  [[nodiscard]] std::vector<gossip_message> TakeFresh(
      const gossip_message& head,
      std::size_t max_messages,
      time_point now);
  // Adds rumours that have ridden least, up to `max_bytes` of the message.
  void Ride(gossip_message* message, std::size_t max_bytes, time_point now);
  void Expire(time_point now);

  // The newest news of a member that went through here lately, or nullptr.
  [[nodiscard]] const member_news* FindMember(const vm_id& vm) const;
  [[nodiscard]] std::vector<fleet_blob> Blobs(time_point now) const;

 private:
  template <typename T>
  struct rumour {
    T what;
    bool fresh = true;
    std::uint32_t rides = 0;
    std::uint64_t rode_in = 0;  // Number of the last message that took it.
    time_point learnt;
  };
  struct blob_rumour : rumour<fleet_blob> {
    time_point expires;
  };

  std::uint64_t message_number_ = 0;
  // By service, VM and id.
  std::map<std::string, rumour<version_news>, std::less<>> versions_;
  std::map<std::string, rumour<member_news>, std::less<>> members_;
  std::map<std::string, blob_rumour, std::less<>> blobs_;
};

}  // namespace pistachioweir
