// Reading whole text files.
#pragma once

#include <optional>
#include <string>

namespace pistachioweir {

// Nothing if the file can't be read.
[[nodiscard]] std::optional<std::string> ReadTextFile(const std::string& path);

}  // namespace pistachioweir
