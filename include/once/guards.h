// once_guards: the rules that together prevent a second execution. The protocol
// classes take them as a policy, so that tests can disable one and check that
// the resulting fault is detected. Only tests do so.
#pragma once

namespace pistachioweir {

// Each rule has the same name in spec/at_most_once.pml, whose head comment
// describes what fails without it.
struct once_guards {
  // The executor runs only attempts that are bound to its own incarnation.
  static constexpr bool kExecutorIncarnation = true;
  // The executor runs only attempts of an epoch whose records it still has.
  static constexpr bool kExecutorEpoch = true;
  // The executor runs one (key, attempt) once; copies join it.
  static constexpr bool kExecutorDedup = true;
  // A cancel that arrives before its attempt leaves a tombstone.
  static constexpr bool kCancelTombstone = true;
  // A refusal leaves a tombstone.
  static constexpr bool kRefusalTombstone = true;
  // A cancelled attempt that is still queued is not started.
  static constexpr bool kStartCheck = true;
  // The home treats neither "stale" nor "busy" as not executed.
  static constexpr bool kStaleNotDefinite = true;
  static constexpr bool kBusyNotDefinite = true;
  // The home tries another target only after a definite not-executed, never
  // because an answer is missing.
  static constexpr bool kMoveOnDefinite = true;
  // A copy that couldn't be sent is definite only if it was the only copy.
  static constexpr bool kOnlyCopy = true;
  // The home accepts a refusal only from the incarnation that the attempt is
  // bound to.
  static constexpr bool kAnswerIncarnation = true;
  // The home starts one execution for a key; copies join it.
  static constexpr bool kHomeJoin = true;
  // A key whose request was reported "not executed" never starts again.
  static constexpr bool kFinalRefusal = true;
  // A key that another incarnation of the home issued is not started.
  static constexpr bool kHomeIncarnation = true;
  // A key whose record was removed is not treated as unused.
  static constexpr bool kForgottenKey = true;
};

}  // namespace pistachioweir
