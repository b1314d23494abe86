// crash_log: the last line of a process that a fault ends.
#pragma once

namespace pistachioweir {

// From now on a fatal signal (SIGSEGV, SIGABRT and the like) writes the log
// lines that still wait and then one line, before it ends the process as it
// does by default:
//   time=... level=ERROR event=crashed signal=SIGSEGV address=0x0 stack=0x1a2b,
// `address` is what the fault refers to. `stack` holds return addresses for
// `addr2line -e pistachioweir`, innermost first; those of libraries are left
// out. Signals that are handled already, as by a sanitizer, stay as they are.
// Call after InitLog().
void LogCrashes();

}  // namespace pistachioweir
