// changes_frame: changes of the store as a frame between daemons.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "include/forward/view_changes.h"

namespace pistachioweir {

[[nodiscard]] std::string Encode(const view_changes& changes);

// Nothing if `payload` isn't exactly one frame of changes. `from` is left
// empty: whose connection it came over tells.
[[nodiscard]] std::optional<view_changes> DecodeChanges(
    std::string_view payload);

}  // namespace pistachioweir
