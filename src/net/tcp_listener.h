// tcp_listener: where a server takes connections.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "include/config/settings.h"

namespace pistachioweir {

// An acceptor that listens at `at`, also right behind an earlier process that
// did. Throws boost::system::system_error if it can't.
[[nodiscard]] boost::asio::ip::tcp::acceptor Listen(
    boost::asio::io_context& context,
    const endpoint& at);

// Where it listens; with port 0 asked for, the port that was given.
[[nodiscard]] endpoint LocalEndpoint(
    const boost::asio::ip::tcp::acceptor& acceptor);

}  // namespace pistachioweir
