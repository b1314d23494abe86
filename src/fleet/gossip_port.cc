// UDP by Boost.Asio.
#include "src/fleet/gossip_port.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>

namespace pistachioweir {
namespace {

using boost::asio::ip::udp;

// IPv4 and UDP.
constexpr std::size_t kHeaderBytes = 28;

}  // namespace

gossip_port::gossip_port(const strand_type& strand,
                         std::vector<std::string> keys)
    : socket_(strand), seal_(std::move(keys)) {}

void gossip_port::Open(const endpoint& address) {
  const udp::endpoint local(boost::asio::ip::make_address(address.ip),
                            address.port);
  socket_.open(local.protocol());
  socket_.bind(local);
  socket_.non_blocking(true);
}

void gossip_port::Receive(std::function<void(const gossip_message&)> handler) {
  handler_ = std::move(handler);
  ReceiveNext();
}

void gossip_port::ReceiveNext() {
  socket_.async_receive_from(
      boost::asio::buffer(buffer_), sender_,
      [self = shared_from_this()](const boost::system::error_code& error,
                                  std::size_t size) {
        if (!self->socket_.is_open()) {
          return;
        }
        // Errors of earlier sends (port unreachable) show here and pass.
        if (!error) {
          self->OnDatagram(size);
        }
        self->ReceiveNext();
      });
}

void gossip_port::OnDatagram(std::size_t size) {
  ++counters_.received;
  counters_.bytes_received += size + kHeaderBytes;
  const auto payload = seal_.Open({buffer_.data(), size});
  const auto message = payload ? DecodeGossip(*payload) : std::nullopt;
  if (!message) {
    ++counters_.forged;
    return;
  }
  handler_(*message);
}

void gossip_port::Send(const std::vector<outgoing_datagram>& datagrams) {
  for (const outgoing_datagram& datagram : datagrams) {
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(datagram.to.ip, error);
    if (error) {
      continue;
    }
    const std::string bytes = seal_.Seal(Encode(datagram.message));
    ++counters_.sent;
    counters_.bytes_sent += bytes.size() + kHeaderBytes;
    // A datagram that can't be sent now counts as lost, as any may be.
    socket_.send_to(boost::asio::buffer(bytes),
                    udp::endpoint(address, datagram.to.port), 0, error);
  }
}

void gossip_port::Close() {
  boost::system::error_code ignored;
  socket_.close(ignored);
}

}  // namespace pistachioweir
