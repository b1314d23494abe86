// Targets that leave under load.
#include "tests/support/process_test.h"

namespace pistachioweir {
namespace {

using leaving_test = process_test;

// The platform replaces VMs: it publishes one as leaving, and some time later
// takes it away. Calls that still go there would be cut off by the end of the
// VM. New calls stop within seconds, and callers notice nothing.
TEST_F(leaving_test, LeavingTargetsGetNoNewCalls) {
  StartFleet();
  background_load load(Plan(seconds(10)));
  std::this_thread::sleep_for(seconds(1));
  fleet().Publish("lease-terms-1", standin::live_state::kLeaving);
  fleet().Publish("contracts-2", standin::live_state::kLeaving);
  const standin::load_report& report = load.Wait();
  for (const auto& [method, seen] : report) {
    EXPECT_EQ(seen.unknown, 0U) << method;
  }
  ExpectPromises();
}

// The VM isn't published as leaving: its target alone starts to drain and
// refuses. What it refuses did not run and may run elsewhere.
TEST_F(leaving_test, TargetDrainsByItself) {
  StartFleet();
  background_load load(Plan(seconds(6)));
  std::this_thread::sleep_for(seconds(1));
  Json::Value draining;
  draining["draining"] = true;
  fleet().Configure("lease-terms-1", draining);
  load.Wait();
  EXPECT_TRUE(fleet().WaitServing(fleet().VmsOf("contracts")));
  ExpectPromises();
}

}  // namespace
}  // namespace pistachioweir
