// Named factories of outcome.
#include "include/base/outcome.h"

#include <utility>

namespace pistachioweir {

outcome Completed(answer reply) {
  return {.kind = outcome_kind::kCompleted, .reply = std::move(reply)};
}

outcome NotExecuted(reason why, milliseconds retry_after) {
  return {.kind = outcome_kind::kNotExecuted,
          .why = why,
          .retry_after = retry_after};
}

outcome Unknown(reason why) {
  return {.kind = outcome_kind::kUnknown, .why = why};
}

}  // namespace pistachioweir
