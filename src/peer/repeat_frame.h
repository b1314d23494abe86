// repeat_frame: the frames by which daemons lend each other repeats.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "include/base/time.h"
#include "include/retry/repeat_exchange.h"
#include "src/peer/peer_frame.h"

namespace pistachioweir {

// `number` names the report, and comes back with the grant.
struct repeat_frame {
  std::uint64_t number = 0;
  milliseconds sent{0};  // SendTime() of the sender.
  repeat_entries entries;
};

// As kRepeatReport or kRepeatGrant. Leaves out entries beyond the maximum.
[[nodiscard]] std::string Encode(const repeat_frame& frame, frame_kind kind);
// Nothing if `payload` isn't exactly one such frame.
[[nodiscard]] std::optional<repeat_frame> DecodeRepeat(
    std::string_view payload);

}  // namespace pistachioweir
