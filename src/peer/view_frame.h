// view_frame: a daemon's view as a frame, for a daemon that has none.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "include/forward/told_view.h"

namespace pistachioweir {

// Only of a view with a configuration.
[[nodiscard]] std::string Encode(const told_view& told);

// Nothing if `payload` isn't exactly one view with a usable configuration.
// `from` is left empty: whose connection it came over tells.
[[nodiscard]] std::optional<told_view> DecodeView(std::string_view payload);

}  // namespace pistachioweir
