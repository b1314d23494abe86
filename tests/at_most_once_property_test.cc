// Random schedules of faults against the real protocol classes, with all guards
// and with each guard disabled.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "tests/support/once_network_impl.h"

namespace pistachioweir {
namespace {

// All guards of the protocol, and that of the relaying daemons.
struct all_guards : once_guards {
  static constexpr bool kHomeHasLastWord = true;
};

rc::Gen<network_step> AnyStep() {
  constexpr auto kCount = static_cast<std::uint32_t>(network_op::kCount);
  const auto op = rc::gen::map(rc::gen::inRange<std::uint32_t>(0, 2 * kCount),
                               // Half of all steps make progress, or no request
                               // would ever finish.
                               [](std::uint32_t number) {
                                 if (number < kCount) {
                                   return static_cast<network_op>(number);
                                 }
                                 switch (number % 4) {
                                   case 0:
                                     return network_op::kStartQueued;
                                   case 1:
                                     return network_op::kFinishRunning;
                                   default:
                                     return network_op::kDeliver;
                                 }
                               });
  return rc::gen::build<network_step>(
      rc::gen::set(&network_step::op, op),
      rc::gen::set(&network_step::pick,
                   rc::gen::inRange<std::uint32_t>(0, 1 << 16)),
      rc::gen::set(&network_step::bits,
                   rc::gen::inRange<std::uint32_t>(0, 1 << 16)));
}

// Up to 6,000 steps; 3,000 on average.
rc::Gen<std::vector<network_step>> AnySchedule() {
  return rc::gen::resize(
      6000, rc::gen::container<std::vector<network_step>>(AnyStep()));
}

template <typename Guards>
std::optional<std::string> FirstViolation(
    const std::vector<network_step>& schedule,
    network_coverage* coverage = nullptr) {
  once_network<Guards> network;
  for (const network_step& step : schedule) {
    network.Run(step);
    if (network.violation()) {
      return network.violation();
    }
  }
  if (coverage != nullptr) {
    *coverage = network.coverage();
  }
  return std::nullopt;
}

// Messages are lost, duplicated, delayed and reordered; daemons restart with
// empty memory, are paused or partitioned; callers resend, and send other
// bodies under the same key. No request runs twice, none that ran is reported
// as not executed, and every answer belongs to its request.
RC_GTEST_PROP(AtMostOnceTest, HoldsUnderRandomFaults, ()) {
  const auto schedule = *AnySchedule();
  RC_ASSERT(FirstViolation<all_guards>(schedule).value_or("") == "");
}

// The schedules must reach the states that they are meant to test, or the
// property above is vacuous.
TEST(AtMostOnceTest, SchedulesReachAllOutcomes) {
  constexpr std::uint64_t kOften = 20;
  network_coverage sum;
  const auto result = rc::detail::checkTestable(
      [&sum] {
        network_coverage once;
        FirstViolation<all_guards>(*AnySchedule(), &once);
        sum.completed += once.completed;
        sum.not_executed += once.not_executed;
        sum.unknown += once.unknown;
        sum.moved += once.moved;
        sum.cancelled += once.cancelled;
        sum.joined += once.joined;
        sum.busy += once.busy;
        sum.stale += once.stale;
        sum.evicted += once.evicted;
        sum.discarded += once.discarded;
      },
      rc::detail::TestMetadata{.id = "coverage", .description = "coverage"},
      rc::detail::TestParams{.seed = 7, .maxSuccess = 20});
  ASSERT_TRUE(result.is<rc::detail::SuccessResult>());
  EXPECT_GT(sum.completed, kOften);
  EXPECT_GT(sum.not_executed, kOften);
  EXPECT_GT(sum.unknown, kOften);
  EXPECT_GT(sum.moved, kOften);
  EXPECT_GT(sum.cancelled, kOften);
  EXPECT_GT(sum.joined, kOften);
  EXPECT_GT(sum.busy, kOften);
  EXPECT_GT(sum.stale, kOften);
  EXPECT_GT(sum.evicted, kOften);
  EXPECT_GT(sum.discarded, kOften);
}

// Whether the schedules find a violation with one of the guards disabled.
template <typename Guards>
bool IsCaught() {
  const auto result = rc::detail::checkTestable(
      [] {
        const auto schedule = *AnySchedule();
        RC_ASSERT(!FirstViolation<Guards>(schedule));
      },
      rc::detail::TestMetadata{.id = "without", .description = "a guard"},
      rc::detail::TestParams{
          .seed = 20261202, .maxSuccess = 400, .disableShrinking = true});
  return result.template is<rc::detail::FailureResult>();
}

struct no_executor_incarnation : all_guards {
  static constexpr bool kExecutorIncarnation = false;
};
struct no_executor_epoch : all_guards {
  static constexpr bool kExecutorEpoch = false;
};
struct no_executor_dedup : all_guards {
  static constexpr bool kExecutorDedup = false;
};
struct no_cancel_tombstone : all_guards {
  static constexpr bool kCancelTombstone = false;
};
struct no_refusal_tombstone : all_guards {
  static constexpr bool kRefusalTombstone = false;
};
struct no_start_check : all_guards {
  static constexpr bool kStartCheck = false;
};
struct no_stale_not_definite : all_guards {
  static constexpr bool kStaleNotDefinite = false;
};
struct no_busy_not_definite : all_guards {
  static constexpr bool kBusyNotDefinite = false;
};
struct no_move_on_definite : all_guards {
  static constexpr bool kMoveOnDefinite = false;
};
struct no_only_copy : all_guards {
  static constexpr bool kOnlyCopy = false;
};
struct no_answer_incarnation : all_guards {
  static constexpr bool kAnswerIncarnation = false;
};
struct no_home_join : all_guards {
  static constexpr bool kHomeJoin = false;
};
struct no_final_refusal : all_guards {
  static constexpr bool kFinalRefusal = false;
};
struct no_home_incarnation : all_guards {
  static constexpr bool kHomeIncarnation = false;
};
struct no_forgotten_key : all_guards {
  static constexpr bool kForgottenKey = false;
};
struct no_home_has_last_word : all_guards {
  static constexpr bool kHomeHasLastWord = false;
};

template <typename Guards>
class without_guard_test : public testing::Test {};

using weakened_variants = testing::Types<no_executor_incarnation,
                                         no_executor_epoch,
                                         no_executor_dedup,
                                         no_cancel_tombstone,
                                         no_refusal_tombstone,
                                         no_start_check,
                                         no_stale_not_definite,
                                         no_busy_not_definite,
                                         no_move_on_definite,
                                         no_only_copy,
                                         no_answer_incarnation,
                                         no_home_join,
                                         no_final_refusal,
                                         no_home_incarnation,
                                         no_forgotten_key,
                                         no_home_has_last_word>;
TYPED_TEST_SUITE(without_guard_test, weakened_variants);

// Removing any guard as redundant must be detected.
TYPED_TEST(without_guard_test, IsCaught) {
  EXPECT_TRUE(IsCaught<TypeParam>());
}

}  // namespace
}  // namespace pistachioweir
