// Fuzzes idempotency keys: no text that the fleet didn't seal opens.
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "include/once/key_codec.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  static const pistachioweir::key_codec codec({"a key that nobody guesses"});
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  const pistachioweir::key_scope scope{.service = "contracts",
                                       .method = "sign"};
  if (codec.Open(text, scope)) {
    std::abort();
  }
  return 0;
}
