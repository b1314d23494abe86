// Keep-alive probes and time limits of the kernel.
#include "src/net/tcp_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace pistachioweir {
namespace {

// The kernel counts these in seconds; one is the least.
constexpr int kQuietSeconds = 1;
constexpr int kProbeSeconds = 1;

void SetOption(int socket, int level, int name, int value) {
  // A socket that has just been reset takes no options; its next use says so.
  [[maybe_unused]] const int ignored =
      setsockopt(socket, level, name, &value, sizeof(value));
}

}  // namespace

void SetUpConnection(boost::asio::ip::tcp::socket& socket,
                     milliseconds unacknowledged,
                     int probes) {
  const int handle = socket.native_handle();
  SetOption(handle, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(handle, IPPROTO_TCP, TCP_KEEPIDLE, kQuietSeconds);
  SetOption(handle, IPPROTO_TCP, TCP_KEEPINTVL, kProbeSeconds);
  SetOption(handle, IPPROTO_TCP, TCP_KEEPCNT, probes);
  SetOption(handle, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(unacknowledged.count()));
}

}  // namespace pistachioweir
