// Looks at a socket without taking anything from it.
#include "src/net/connection_end.h"

#include <sys/socket.h>

#include <cerrno>

namespace pistachioweir {

bool HasPeerClosed(boost::asio::ip::tcp::socket& socket) {
  char byte = 0;
  const auto received = recv(socket.native_handle(), &byte, sizeof(byte),
                             MSG_PEEK | MSG_DONTWAIT);
  if (received >= 0) {
    return received == 0;
  }
  return errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
}

}  // namespace pistachioweir
