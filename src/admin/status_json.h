// Values of the admin port as JSON.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "include/admin/daemon_status.h"
#include "include/audit/audit_log.h"

namespace pistachioweir {

[[nodiscard]] std::string ToJson(const daemon_status& status);
[[nodiscard]] std::string ToJson(const std::vector<audit_event>& events);
[[nodiscard]] std::string ToJson(std::string_view service,
                                 std::string_view method,
                                 const method_explanation& explanation);

// "2026-12-02T20:41:24.123Z".
[[nodiscard]] std::string ToIsoTime(wall_time at);

}  // namespace pistachioweir
