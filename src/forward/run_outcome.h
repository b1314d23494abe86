// run_outcome: maps the end of a run to the outcome reported to the caller.
// Both sides of a connection between daemons use this mapping.
#pragma once

#include "src/forward/target_run.h"
#include "src/peer/peer_frame.h"

namespace pistachioweir {

// Whether the target reported that it failed the request, and that the same
// request may succeed later: 500 and above, 408 and 429.
[[nodiscard]] bool IsFailure(int status);

// Builds the answer to a run, without its number and load report.
[[nodiscard]] answer_frame ToAnswerFrame(run_result result);

}  // namespace pistachioweir
