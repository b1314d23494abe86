// quota_frame: the frames by which daemons tell each other of organisations'
// quotas.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "include/quota/usage_report.h"

namespace pistachioweir {

// `number` names the report, and comes back with the quotas.
struct usage_frame {
  std::uint64_t number = 0;
  usage_report report;
};

struct quota_frame {
  std::uint64_t number = 0;
  quota_report report;
};

[[nodiscard]] std::string Encode(const usage_frame& frame);
[[nodiscard]] std::string Encode(const quota_frame& frame);

// Nothing if `payload` isn't exactly one frame of that kind.
[[nodiscard]] std::optional<usage_frame> DecodeUsage(std::string_view payload);
[[nodiscard]] std::optional<quota_frame> DecodeQuota(std::string_view payload);

}  // namespace pistachioweir
