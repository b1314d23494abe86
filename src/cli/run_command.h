// `pistachioweir run`: the daemon.
#pragma once

namespace CLI {
class App;
}

namespace pistachioweir {

// Adds the subcommand; once parsed, it runs and leaves its exit status in
// `status`.
void AddRunCommand(CLI::App& app, int* status);

}  // namespace pistachioweir
