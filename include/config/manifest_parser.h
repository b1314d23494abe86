// Reads manifests from JSON with comments.
#pragma once

#include <string_view>

#include "include/config/config_error.h"
#include "include/config/manifest.h"

namespace pistachioweir {

// Reads one manifest. Unknown keys, wrong types, values out of range and
// missing keys are errors, each named with its place below `origin`.
[[nodiscard]] parse_result<service_manifest> ParseManifest(
    std::string_view json,
    std::string_view origin);

}  // namespace pistachioweir
