// tcp_options: socket options that show a connection on which nothing arrives
// any more.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include "include/base/time.h"

namespace pistachioweir {

// Something between the two ends may lose track of a connection: what is sent
// on it then vanishes without a reset, for as long as both ends keep it. The
// kernel is told to give up after `unacknowledged` without an acknowledgement
// of sent bytes, and to probe a connection that has been quiet for a second:
// `probes` times, a second apart. Errors are left to the first use of the
// socket.
inline constexpr int kUsualProbes = 2;

void SetUpConnection(boost::asio::ip::tcp::socket& socket,
                     milliseconds unacknowledged,
                     int probes = kUsualProbes);

}  // namespace pistachioweir
