// Fuzzes the messages between daemons: what decodes must survive being encoded
// and decoded again.
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "include/call/envelope.h"

namespace pistachioweir {
namespace {

void Require(bool holds) {
  if (!holds) {
    std::abort();
  }
}

void CheckCall(std::string_view bytes) {
  const auto call = DecodeCall(bytes);
  if (!call) {
    return;
  }
  const std::string encoded = Encode(*call);
  const auto again = DecodeCall(encoded);
  Require(again.has_value());
  Require(Encode(*again) == encoded);
}

void CheckAnswer(std::string_view bytes) {
  const auto answer = DecodeAnswer(bytes);
  if (!answer) {
    return;
  }
  const std::string encoded = Encode(*answer);
  const auto again = DecodeAnswer(encoded);
  Require(again.has_value());
  Require(Encode(*again) == encoded);
}

}  // namespace
}  // namespace pistachioweir

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  pistachioweir::CheckCall(bytes);
  pistachioweir::CheckAnswer(bytes);
  return 0;
}
