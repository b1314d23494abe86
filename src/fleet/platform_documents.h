// Documents of the platform's service, as typed values.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "include/fleet/fleet_view.h"
#include "include/fleet/manifest_store.h"

namespace pistachioweir {

// The document `index`; nothing if it is malformed.
[[nodiscard]] std::optional<std::vector<manifest_version>> ParseIndex(
    std::string_view json);

// A document `live/SERVICE`; nothing if it is malformed.
[[nodiscard]] std::optional<std::vector<fleet_target>> ParseLiveList(
    std::string_view json);

// "127.0.0.1:7003"; nothing if it is no IP number and port.
[[nodiscard]] std::optional<endpoint> ParseEndpoint(std::string_view text);

}  // namespace pistachioweir
