// run_outcome: what the end of a run means for the caller, in one place for
// both sides of a connection between daemons.
#pragma once

#include "src/forward/target_run.h"
#include "src/peer/peer_frame.h"

namespace pistachioweir {

// 500 and above: the target answered that it failed.
[[nodiscard]] bool IsServerError(int status);

// The outcome of a run, without the number and the load.
[[nodiscard]] answer_frame ToAnswerFrame(run_result result);

}  // namespace pistachioweir
