// What the admin port answers, as text for people.
#pragma once

#include <optional>
#include <string>

namespace pistachioweir {

// Each takes the JSON of one page (src/admin/status_json.h) and returns nothing
// if it is something else. Control characters in it are left out, so that what
// a daemon was told by others can't steer a terminal.
[[nodiscard]] std::optional<std::string> RenderStatus(const std::string& json);
[[nodiscard]] std::optional<std::string> RenderAudit(const std::string& json);
[[nodiscard]] std::optional<std::string> RenderExplanation(
    const std::string& json);

}  // namespace pistachioweir
