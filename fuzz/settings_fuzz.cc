// Fuzzes the reading of settings: every text is either read or refused with a
// place and a reason.
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "include/config/settings.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  const auto result = pistachioweir::ParseSettings(text, "settings");
  for (const pistachioweir::config_error& error : result.errors) {
    if (error.place.empty() || error.expected.empty()) {
      std::abort();
    }
  }
  return 0;
}
