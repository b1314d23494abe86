// Fuzzes control datagrams: what decodes must survive being encoded and decoded
// again, and no random datagram carries the fleet's seal.
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "include/fleet/gossip_message.h"
#include "src/fleet/datagram_seal.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  static const pistachioweir::datagram_seal seal({"a key that nobody guesses"});
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  if (seal.Open(bytes)) {
    std::abort();
  }
  const auto message = pistachioweir::DecodeGossip(bytes);
  if (!message) {
    return 0;
  }
  const std::string encoded = pistachioweir::Encode(*message);
  const auto again = pistachioweir::DecodeGossip(encoded);
  if (!again || pistachioweir::Encode(*again) != encoded) {
    std::abort();
  }
  return 0;
}
