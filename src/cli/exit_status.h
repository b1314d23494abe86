// Exit statuses of the program, the same for all subcommands.
#pragma once

namespace pistachioweir {

inline constexpr int kExitSuccess = 0;
inline constexpr int kExitFailed = 1;    // Couldn't start, or reach a daemon.
inline constexpr int kExitBadInput = 2;  // Wrong settings, manifests or names.

}  // namespace pistachioweir
