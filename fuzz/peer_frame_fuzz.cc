// Fuzzes frames between daemons: changes and lineages that decode must survive
// being encoded and decoded again, and no bytes may harm the decoding of any
// frame.
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "src/peer/changes_frame.h"
#include "src/peer/peer_frame.h"
#include "src/peer/quota_frame.h"

namespace {

void CheckChanges(std::string_view bytes) {
  const auto told = pistachioweir::DecodeChanges(bytes);
  if (!told) {
    return;
  }
  const std::string encoded = pistachioweir::Encode(*told);
  pistachioweir::frame_view frame;
  if (pistachioweir::NextFrame(encoded, encoded.size(), &frame) !=
      pistachioweir::frame_state::kWhole) {
    std::abort();
  }
  const auto again = pistachioweir::DecodeChanges(frame.payload);
  if (!again || again->revision != told->revision ||
      again->entries != told->entries) {
    std::abort();
  }
}

void CheckCall(std::string_view bytes) {
  const auto told = pistachioweir::DecodeCallFrame(bytes);
  // Only calls with a send time are encoded with their lineage.
  if (!told || !told->lineage || told->sent <= pistachioweir::milliseconds(0)) {
    return;
  }
  const std::string encoded = pistachioweir::Encode(*told);
  const auto again = pistachioweir::DecodeCallFrame(
      std::string_view(encoded).substr(pistachioweir::kFrameHeadBytes));
  if (!again || again->lineage != told->lineage) {
    std::abort();
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  pistachioweir::frame_view frame;
  (void)pistachioweir::NextFrame(bytes, bytes.size(), &frame);
  (void)pistachioweir::DecodeHello(bytes);
  (void)pistachioweir::DecodeWelcome(bytes);
  CheckCall(bytes);
  (void)pistachioweir::DecodeAnswerFrame(bytes);
  (void)pistachioweir::DecodePong(bytes);
  (void)pistachioweir::DecodeNotice(bytes);
  (void)pistachioweir::DecodeReturnedPing(bytes);
  (void)pistachioweir::DecodeSuspectsFrame(bytes);
  (void)pistachioweir::DecodeNumber(bytes);
  (void)pistachioweir::DecodeProof(bytes);
  (void)pistachioweir::DecodeUsage(bytes);
  (void)pistachioweir::DecodeQuota(bytes);
  CheckChanges(bytes);
  return 0;
}
