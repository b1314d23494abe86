// once_guards: the rules that together keep an execution from happening twice.
// The protocol classes take them as a policy, so that tests can take one out
// and see that the harm it prevents is found. Nothing but tests does so.
#pragma once

namespace pistachioweir {

// Each rule stands under the same name in spec/at_most_once.pml, where its head
// comment tells what happens without it.
struct once_guards {
  // The executor runs only attempts that name its own incarnation.
  static constexpr bool kExecutorIncarnation = true;
  // The executor runs only attempts of an epoch whose records it still has.
  static constexpr bool kExecutorEpoch = true;
  // The executor runs one (key, attempt) once; copies join it.
  static constexpr bool kExecutorDedup = true;
  // A cancel that comes before its attempt leaves a tombstone.
  static constexpr bool kCancelTombstone = true;
  // A refusal leaves a tombstone.
  static constexpr bool kRefusalTombstone = true;
  // A cancelled attempt that still waits in a queue is not started.
  static constexpr bool kStartCheck = true;
  // The home takes neither "stale" nor "busy" for not executed.
  static constexpr bool kStaleNotDefinite = true;
  static constexpr bool kBusyNotDefinite = true;
  // The home moves on only after a definite not-executed, never after silence.
  static constexpr bool kMoveOnDefinite = true;
  // A copy that couldn't be sent is definite only if it was the only one.
  static constexpr bool kOnlyCopy = true;
  // The home believes a refusal only from the incarnation that it bound to.
  static constexpr bool kAnswerIncarnation = true;
  // The home starts one execution for a key; copies join it.
  static constexpr bool kHomeJoin = true;
  // A key whose request was told "not executed" never starts again.
  static constexpr bool kFinalRefusal = true;
  // A key of another incarnation of the home is not started here.
  static constexpr bool kHomeIncarnation = true;
  // A key whose record was dropped is not taken for a fresh one.
  static constexpr bool kForgottenKey = true;
};

}  // namespace pistachioweir
