// suspect_sharing: decides when and to how many daemons this one tells which
// requests may have crashed targets, and which have not.
//
// Owns what waits to be told. Used on its context's thread only.
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

// Who found out what is told.
enum class suspects_source : std::uint8_t { kLocal, kRemote };

// Daemons that each news is passed on to. Whoever has found it out tells all
// that are connected; passing it on is for those that aren't, and if all told
// all, each daemon would hear everything once from every other one.
inline constexpr std::size_t kForwardFanout = 10;

class suspect_sharing {
 public:
  // Sends to daemons that are connected: to all, or to `most` of them at
  // random.
  using sender =
      std::function<void(const suspects_frame& frame, std::size_t max_peers)>;

  suspect_sharing(boost::asio::io_context& context, sender send);

  // Suspects are told at once, for they may crash the next target. What is
  // cleared waits for more of it: each crash has many suspects, nearly all of
  // which complete within moments.
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
