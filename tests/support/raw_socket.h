// Sends raw bytes, for tests of input that no HTTP library would produce.
#pragma once

#include <string>
#include <string_view>

#include "include/config/settings.h"

namespace pistachioweir {

// Connects, sends `bytes`, shuts down the sending side if `half_close`, and
// returns all received bytes until the peer closes or a receive times out.
[[nodiscard]] std::string ExchangeBytes(const endpoint& address,
                                        std::string_view bytes,
                                        bool half_close = false);

void SendDatagram(const endpoint& address, std::string_view bytes);

}  // namespace pistachioweir
