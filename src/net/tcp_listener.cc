// Listening sockets by Boost.Asio.
#include "src/net/tcp_listener.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/socket_base.hpp>

namespace pistachioweir {

using tcp = boost::asio::ip::tcp;

tcp::acceptor Listen(boost::asio::io_context& context, const endpoint& at) {
  const tcp::endpoint local(boost::asio::ip::make_address(at.ip), at.port);
  tcp::acceptor acceptor(context);
  acceptor.open(local.protocol());
  acceptor.set_option(tcp::acceptor::reuse_address(true));
  acceptor.bind(local);
  acceptor.listen(boost::asio::socket_base::max_listen_connections);
  return acceptor;
}

endpoint LocalEndpoint(const tcp::acceptor& acceptor) {
  const tcp::endpoint local = acceptor.local_endpoint();
  return {.ip = local.address().to_string(), .port = local.port()};
}

}  // namespace pistachioweir
