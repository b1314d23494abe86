// stop_signals: holds back the signals that end a process until a daemon can
// handle them.
#pragma once

namespace pistachioweir {

// SIGTERM, SIGINT and SIGHUP stay pending for this thread and those that it
// starts. Call before anything else; a signal that comes while the settings are
// read would end the process as if it had crashed.
void HoldStopSignals();

// The process handles them from now on, or wants to be ended by them.
void ReleaseStopSignals();

}  // namespace pistachioweir
