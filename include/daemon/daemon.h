// The daemon as a whole: everything that runs beside one target VM.
#pragma once

namespace pistachioweir {

struct daemon_settings;

// Runs until SIGTERM or SIGINT, then stops gracefully: takes no new work, lets
// everything in progress end, and returns the process's exit status. A second
// signal ends it at once. Throws boost::system::system_error if a port can't be
// bound.
int RunDaemon(const daemon_settings& settings);

}  // namespace pistachioweir
