// own_ip: an address for the programs that a test or tool starts.
#pragma once

#include <unistd.h>

#include <cstdint>
#include <string>

namespace pistachioweir::standin {

// A loopback address that no other living process has.
inline std::string OwnIp() {
  const auto pid = static_cast<std::uint32_t>(::getpid());
  return "127." + std::to_string(1 + (pid >> 16U) % 250) + "." +
         std::to_string((pid >> 8U) & 255U) + "." + std::to_string(pid & 255U);
}

}  // namespace pistachioweir::standin
