// Upper bounds of goodput: what the slots could have finished in deadline.
#pragma once

#include <vector>

#include "tools/load_model/model.h"

namespace pistachioweir {

// How many requests any policy could have answered in deadline in each bin that
// serves critical requests first, can't tell how long a request
// will be, and needs two crashes to know a request that crashes targets. A
// fluid model: no slot is idle while there is demand, nothing waits inside
// targets, every call goes to the fastest target, and only requests that
// nobody waits for any more are lost. A request that is refused is answered at
// once, so its re-sends come within its first deadline.
[[nodiscard]] std::vector<double> BoundPerBin(
    const deployment& where,
    const scenario& what,
    const std::vector<model_count>& bins);

// What is read off one run for the tables.
struct run_summary {
  double goodput = 0;   // In deadline, of those sent in the trigger.
  double possible = 0;  // Goodput as a share of the bound.
  double critical = 0;  // Goodput of critical requests.
  double recovery = 0;  // Seconds after the trigger; < 0 if never.
  double wasted = 0;    // Share of the work in the trigger.
  double p50 = 0;       // Seconds, of requests in deadline.
  double p99 = 0;
};

[[nodiscard]] run_summary Summarize(const deployment& where,
                                    const scenario& what,
                                    const model_result& result);

}  // namespace pistachioweir
