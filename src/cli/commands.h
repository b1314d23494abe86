// The subcommands that only read: each function adds one to the program. Once
// parsed, a subcommand runs and leaves its exit status (exit_status.h) in
// `status`, which outlives `app`.
#pragma once

namespace CLI {  // NOLINT(readability-identifier-naming): the library's name.
class App;
}

namespace pistachioweir {

// `check`: looks for mistakes in settings and manifests.
void AddCheckCommand(CLI::App& app, int* status);
// `status`: what a daemon says of itself.
void AddStatusCommand(CLI::App& app, int* status);
// `audit`: the last changes of a daemon's state.
void AddAuditCommand(CLI::App& app, int* status);
// `explain`: why the last calls of a method were refused.
void AddExplainCommand(CLI::App& app, int* status);
// `trace`: one request's story from daemons' logs.
void AddTraceCommand(CLI::App& app, int* status);

}  // namespace pistachioweir
