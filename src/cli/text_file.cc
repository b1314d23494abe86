// Reading whole text files.
#include "src/cli/text_file.h"

#include <fstream>
#include <sstream>

namespace pistachioweir {

std::optional<std::string> ReadTextFile(const std::string& path) {
  const std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) {
    return std::nullopt;
  }
  return text.str();
}

}  // namespace pistachioweir
