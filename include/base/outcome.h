// outcome: what a caller is told about its request, as a value.
#pragma once

#include <cstdint>
#include <string>

#include "include/base/enum_table.h"
#include "include/base/time.h"

namespace pistachioweir {

// The three things that can truthfully be said of a request.
enum class outcome_kind : std::uint8_t {
  kCompleted,    // The target's whole answer is here.
  kNotExecuted,  // No part of the request ran anywhere, at any depth.
  kUnknown,      // It may or may not have run.
};

inline constexpr enum_table<outcome_kind, 3> kOutcomeKindNames({"completed",
                                                                "not_executed",
                                                                "unknown"});

// Why a request was not completed. Reasons up to kTargetRefused, and
// kRateLimited, go with kNotExecuted, the others with kUnknown. Daemons of
// different builds exchange the numbers, so new reasons are added at the end.
enum class reason : std::uint8_t {
  kNone,
  kBadRequest,
  kTooLarge,
  kUnknownService,
  kUnknownMethod,
  kKeyRequired,
  kBadKey,
  kKeyExpired,
  kUnknownContext,
  kNotReady,
  kDraining,
  kNoTarget,
  kNoRoute,
  kUnauthenticated,
  kKeysUnconfirmed,
  kOverQuota,
  kWrongTarget,
  kOverload,
  kWasted,
  kQueueFull,
  kDeadlinePassed,
  kDeadlineInfeasible,
  kTableFull,
  kQuarantined,
  kCancelled,
  kTargetRefused,
  kTimeout,
  kConnectionLost,
  kTargetFailed,
  kHomeUnreachable,
  kAnswerDiscarded,
  kStale,
  kRateLimited,
};

inline constexpr std::size_t kReasonCount =
    static_cast<std::size_t>(reason::kRateLimited) + 1;

inline constexpr enum_table<reason, kReasonCount> kReasonNames({
    "none",
    "bad_request",
    "too_large",
    "unknown_service",
    "unknown_method",
    "key_required",
    "bad_key",
    "key_expired",
    "unknown_context",
    "not_ready",
    "draining",
    "no_target",
    "no_route",
    "unauthenticated",
    "keys_unconfirmed",
    "over_quota",
    "wrong_target",
    "overload",
    "wasted",
    "queue_full",
    "deadline_passed",
    "deadline_infeasible",
    "table_full",
    "quarantined",
    "cancelled",
    "target_refused",
    "timeout",
    "connection_lost",
    "target_failed",
    "home_unreachable",
    "answer_discarded",
    "stale",
    "rate_limited",
});

// A target's answer, passed through as it came.
struct answer {
  int status = 0;  // HTTP status of the target's answer.
  std::string content_type;
  std::string body;
};

// Owns the answer, if there is one.
struct outcome {
  outcome_kind kind = outcome_kind::kUnknown;
  reason why = reason::kNone;
  // When to come back; zero if coming back soon can't help.
  milliseconds retry_after{0};
  answer reply;  // Only with kCompleted.
};

[[nodiscard]] outcome Completed(answer reply);
[[nodiscard]] outcome NotExecuted(reason why,
                                  milliseconds retry_after = milliseconds(0));
[[nodiscard]] outcome Unknown(reason why);

}  // namespace pistachioweir
