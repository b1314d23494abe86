// The pistachioweir program: one binary with a subcommand for each use.
#include <CLI/CLI.hpp>

#include "src/cli/run_command.h"

int main(int argc, char** argv) {
  CLI::App app("Overload control for service call graphs");
  app.require_subcommand(1);
  int status = 0;
  pistachioweir::AddRunCommand(app, &status);
  CLI11_PARSE(app, argc, argv);
  return status;
}
