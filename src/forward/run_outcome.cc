// Mapping of run ends to outcomes.
#include "src/forward/run_outcome.h"

#include <utility>

namespace pistachioweir {
namespace {

struct outcome_fields {
  outcome_kind kind = outcome_kind::kUnknown;
  reason why = reason::kNone;
  bool reached_target = true;
};

outcome_fields OutcomeOf(run_end end) {
  using enum outcome_kind;
  switch (end) {
    case run_end::kAnswered:
      return {.kind = kCompleted, .why = reason::kNone};
    case run_end::kNotExecuted:
      return {.kind = kNotExecuted, .why = reason::kTargetRefused};
    case run_end::kWrongTarget:
      return {.kind = kNotExecuted, .why = reason::kWrongTarget};
    case run_end::kNotSent:
      return {.kind = kNotExecuted,
              .why = reason::kNotReady,
              .reached_target = false};
    case run_end::kTimedOut:
      return {.kind = kUnknown, .why = reason::kTimeout};
    case run_end::kCancelled:
      return {.kind = kUnknown, .why = reason::kCancelled};
    case run_end::kLost:
      break;
  }
  return {.kind = kUnknown, .why = reason::kConnectionLost};
}

}  // namespace

bool IsFailure(int status) {
  constexpr int kRequestTimeout = 408;
  constexpr int kTooManyRequests = 429;
  constexpr int kFirstServerError = 500;
  return status == kRequestTimeout || status == kTooManyRequests ||
         status >= kFirstServerError;
}

answer_frame ToAnswerFrame(run_result result) {
  const outcome_fields outcome = OutcomeOf(result.end);
  answer_frame answer;
  answer.kind = outcome.kind;
  answer.why = outcome.why;
  answer.reached_target = outcome.reached_target;
  if (result.end == run_end::kNotExecuted) {
    answer.retry_after = result.notice.retry_after;
  }
  if (outcome.kind == outcome_kind::kCompleted) {
    answer.response = std::move(result.response);
  }
  return answer;
}

}  // namespace pistachioweir
