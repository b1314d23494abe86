// suspect_sharing: schedules and limits the publishing of suspected and cleared
// requests to other daemons.
//
// Owns the cleared requests that wait to be sent. Used on its context's thread
// only.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "include/base/time.h"
#include "include/once/fingerprint.h"
#include "src/peer/peer_frame.h"

namespace pistachioweir {

// Where an update originated.
enum class suspects_source : std::uint8_t { kLocal, kRemote };

// Number of daemons to which a received update is forwarded. The originator
// publishes to all daemons connected to it; forwarding is for the others, and
// if all daemons forwarded to all, each daemon would receive every update once
// from every other one.
inline constexpr std::size_t kForwardFanout = 10;

class suspect_sharing {
 public:
  // Sends to connected daemons: to all of them, or to `max_peers` chosen at
  // random.
  using sender =
      std::function<void(const suspects_frame& frame, std::size_t max_peers)>;

  suspect_sharing(boost::asio::io_context& context, sender send);

  // Suspects are sent at once, as they may crash the next target. Cleared
  // requests are batched: each crash has many suspects, nearly all of which
  // complete within moments.
  void Publish(const suspects_frame& frame, suspects_source source);
  void Stop();

 private:
  void Arm();
  void PublishCleared();

  boost::asio::steady_timer timer_;
  const sender send_;
  std::vector<request_fingerprint> cleared_locally_;
  std::vector<request_fingerprint> cleared_remotely_;
  bool armed_ = false;
};

}  // namespace pistachioweir
