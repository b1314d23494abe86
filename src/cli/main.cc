// The pistachioweir program: one binary with a subcommand for each use.
#include <CLI/CLI.hpp>

#include <cstddef>

#include "platform/serve_command.h"
#include "src/base/stop_signals.h"
#include "src/cli/commands.h"
#include "src/cli/run_command.h"

namespace {

// Only daemons handle signals.
void ReleaseSignalsOfOthers(CLI::App& app) {
  for (CLI::App* const command : app.get_subcommands(nullptr)) {
    if (command->get_name() != "run" && command->get_name() != "serve") {
      command->preparse_callback(
          [](std::size_t) { pistachioweir::ReleaseStopSignals(); });
    }
  }
}

}  // namespace

int main(int argc, char** argv) {
  pistachioweir::HoldStopSignals();
  CLI::App app("Overload control for service call graphs");
  app.set_version_flag("--version", "pistachioweir " PW_VERSION);
  app.require_subcommand(1);
  app.footer(
      "Examples:\n"
      "  pistachioweir check --settings mail-1.json --manifests manifests\n"
      "  pistachioweir run --settings mail-1.json\n"
      "  pistachioweir status --admin 127.0.0.1:7004\n"
      "  pistachioweir explain mail/list --admin 127.0.0.1:7004\n"
      "Nothing here changes a daemon that runs: operators change manifests.");
  int status = 0;
  pistachioweir::AddRunCommand(app, &status);
  pistachioweir::AddServeCommand(app, &status);
  pistachioweir::AddCheckCommand(app, &status);
  pistachioweir::AddStatusCommand(app, &status);
  pistachioweir::AddAuditCommand(app, &status);
  pistachioweir::AddExplainCommand(app, &status);
  pistachioweir::AddTraceCommand(app, &status);
  ReleaseSignalsOfOthers(app);
  CLI11_PARSE(app, argc, argv);
  return status;
}
