// gossip_port: the UDP socket through which a daemon gossips.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <memory>

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/strand.hpp>

#include "include/fleet/gossip_message.h"
#include "include/fleet/gossip_node.h"
#include "src/fleet/datagram_seal.h"

namespace pistachioweir {

// Monotonic counts.
struct gossip_port_counters {
  std::uint64_t sent = 0;
  std::uint64_t received = 0;
  std::uint64_t bytes_sent = 0;  // With IP and UDP headers.
  std::uint64_t bytes_received = 0;
  std::uint64_t forged = 0;  // Wrong signature, or malformed.
};

// Signs, checks, encodes and decodes. All calls and the handler run on the
// given strand.
class gossip_port : public std::enable_shared_from_this<gossip_port> {
 public:
  using strand_type =
      boost::asio::strand<boost::asio::io_context::executor_type>;

  gossip_port(const strand_type& strand, std::vector<std::string> keys);

  // Throws boost::system::system_error if the port can't be bound.
  void Open(const endpoint& address);
  void Receive(std::function<void(const gossip_message&)> handler);
  void Send(const std::vector<outgoing_datagram>& datagrams);
  void Close();

  [[nodiscard]] const gossip_port_counters& counters() const {
    return counters_;
  }

 private:
  void ReceiveNext();
  void OnDatagram(std::size_t size);

  boost::asio::ip::udp::socket socket_;
  const datagram_seal seal_;
  std::function<void(const gossip_message&)> handler_;
  // One byte more than any valid datagram, so that a longer one shows.
  std::array<char, 1500> buffer_ = {};
  boost::asio::ip::udp::endpoint sender_;
  gossip_port_counters counters_;
};

}  // namespace pistachioweir
