// config_check: everything that `pistachioweir check` finds in files of
// settings and manifests.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "include/config/config_error.h"

namespace pistachioweir {

// Files, or folders whose *.json files are taken.
struct config_paths {
  std::vector<std::string> settings;
  std::vector<std::string> manifests;
  // Manifests in force, which those of `manifests` are to follow.
  std::vector<std::string> previous;
};

struct config_report {
  std::size_t settings = 0;   // Files read.
  std::size_t manifests = 0;  // Files read.
  config_errors errors;
  config_errors warnings;
};

// Reads and checks all files, each alone and against the others. A path that
// can't be read is an error like any other.
[[nodiscard]] config_report CheckConfig(const config_paths& paths);

}  // namespace pistachioweir
