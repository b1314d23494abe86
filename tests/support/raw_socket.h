// Bytes sent as they are, for tests of input that no HTTP library would write.
#pragma once

#include <string>
#include <string_view>

#include "include/config/settings.h"

namespace pistachioweir {

// Connects, sends `bytes`, ends the sending side if `half_close`, and returns
// all that comes back until the other side closes or is silent for a while.
[[nodiscard]] std::string ExchangeBytes(const endpoint& address,
                                        std::string_view bytes,
                                        bool half_close = false);

void SendDatagram(const endpoint& address, std::string_view bytes);

}  // namespace pistachioweir
