// connection_end: whether a connection has ended, before it is read from again.
#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace pistachioweir {

// True if the peer has closed or reset the connection and nothing is left to
// read. Doesn't block and takes no bytes. False while bytes are unread, even if
// the connection has ended behind them.
[[nodiscard]] bool HasPeerClosed(boost::asio::ip::tcp::socket& socket);

}  // namespace pistachioweir
