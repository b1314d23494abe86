// Service under overload: the daemon's decision classes in the load model, at
// the specified system sizes, with fixed seeds.
#include <gtest/gtest.h>

#include <algorithm>
#include <string_view>

#include "tools/load_model/bound.h"
#include "tools/load_model/model.h"
#include "tools/load_model/scenario.h"

namespace pistachioweir {
namespace {

constexpr std::uint64_t kSeed = 20261202;

scenario Find(std::string_view name) {
  const std::vector<scenario> all = Scenarios();
  scenario found = *std::ranges::find(all, name, &scenario::name);
  // Keeps the trigger lengths of the experiment, except for the long
  // saturation.
  found.trigger_end = std::min<duration>(found.trigger_end, seconds(5));
  found.end = found.trigger_end + seconds(3);
  return found;
}

struct measured {
  run_summary all;
  run_summary pass_through;
  model_result result;
};

measured Measure(std::string_view name, std::uint32_t depth) {
  const scenario what = Find(name);
  const deployment where = Deployments(depth).front();
  load_model with(where, what, mechanism_set::All(), kSeed);
  load_model without(where, what, {}, kSeed);
  measured both{.result = with.Run()};
  both.all = Summarize(where, what, both.result);
  both.pass_through = Summarize(where, what, without.Run());
  return both;
}

void ExpectCriticalServed(const measured& run) {
  EXPECT_GE(run.all.critical, 0.99);
  EXPECT_EQ(run.result.critical_refused_early, 0U);
}

// Demand is five times the usual for 100 ms of each second. Guards against
// refusals although the slots could have answered most requests within the
// deadline.
TEST(OverloadTest, BurstsAreQueuedAndImportantRequestsServed) {
  const measured run = Measure("burst", 3);
  ExpectCriticalServed(run);
  EXPECT_GE(run.all.possible, 0.85);
  EXPECT_GT(run.all.goodput, run.pass_through.goodput);
}

// One of three targets takes five times as long. Guards against a third of the
// requests being late.
TEST(OverloadTest, ASlowTargetIsAvoided) {
  const measured run = Measure("slow-target", 3);
  ExpectCriticalServed(run);
  EXPECT_GE(run.all.goodput, 0.99);
}

// Demand for a single listing surges. Guards against other methods failing with
// it.
TEST(OverloadTest, DemandForOneMethodDoesNotStarveOthers) {
  const measured run = Measure("skewed-method", 3);
  ExpectCriticalServed(run);
  EXPECT_GE(run.all.possible, 0.9);
}

// All callers use one daemon. Guards against queues beside idle targets.
TEST(OverloadTest, EntranceAtOneDaemonReachesAllTargets) {
  const measured run = Measure("skewed-entry", 3);
  ExpectCriticalServed(run);
  EXPECT_GE(run.all.goodput, 0.99);
}

// A tenth of the requests takes eight times as long, and demand exceeds
// capacity. Guards against short requests waiting behind long ones.
TEST(OverloadTest, LongWorkDoesNotBlockShortWork) {
  const measured run = Measure("mixed-work", 3);
  EXPECT_GE(run.all.critical, 0.98);
  EXPECT_GE(run.all.possible, 0.9);
}

// Demand stays at nearly twice the capacity of the slots. Guards against almost
// nothing being answered in time although all targets are busy.
TEST(OverloadTest, SaturationKeepsGoodputAtWhatTheSlotsCanDo) {
  const measured run = Measure("saturation", 3);
  ExpectCriticalServed(run);
  EXPECT_GE(run.all.possible, 0.9);
  EXPECT_GT(run.all.goodput, run.pass_through.goodput);
}

// The deepest service takes five times as long while demand triples and callers
// send each failed request up to three times more. Guards against a collapse
// that persists after the cause has ended.
TEST(OverloadTest, ASurgeOnASlowServiceIsSurvivedAndEnds) {
  const measured run = Measure("surge", 3);
  EXPECT_GE(run.all.critical, 0.98);
  EXPECT_GE(run.all.possible, 0.85);
  EXPECT_GE(run.all.recovery, 0);
  EXPECT_LE(run.all.recovery, 1);
  EXPECT_LE(run.result.most_retries, 2U);
  EXPECT_LE(run.result.most_executions, 9U);
}

// A request crashes each target that runs it, and its caller resends it
// indefinitely. Guards against an outage of the service for all callers.
TEST(OverloadTest, ARequestThatCrashesTargetsIsStoppedAfterTwo) {
  const measured run = Measure("crashing", 3);
  EXPECT_EQ(run.result.crashes, 2U);
  EXPECT_GE(run.all.possible, 0.9);
}

// One target of each service has disappeared silently while callers still list
// it. Guards against every third request timing out.
TEST(OverloadTest, AnOldListOfTargetsCostsLittle) {
  const measured run = Measure("old-view", 3);
  EXPECT_GE(run.all.goodput, 0.95);
}

// A request that is refused deep in a call chain has cost work at each hop.
// Guards against executions that multiply with the depth of the chain.
TEST(OverloadTest, ExecutionsOfARequestAreBoundedAtDepthEleven) {
  const measured run = Measure("crashing", 11);
  EXPECT_LE(run.result.most_retries, 2U);
  EXPECT_LE(run.result.most_executions, 33U);
}

}  // namespace
}  // namespace pistachioweir
