// Targets that die, alone or together with their daemon.
#include "tests/support/process_test.h"

namespace pistachioweir {
namespace {

using target_killed_test = process_test;

// A target dies in the middle of its requests. Whether they took effect can't
// be known, so their callers must not hear that nothing ran.
TEST_F(target_killed_test, TargetIsKilledAndComesBack) {
  StartFleet();
  background_load load(Plan(seconds(8)));
  for (const std::string vm : {"lease-terms-1", "contracts-2"}) {
    std::this_thread::sleep_for(seconds(1));
    fleet().target(vm).Kill();
    std::this_thread::sleep_for(seconds(1));
    fleet().StartTarget(vm);
  }
  load.Wait();
  EXPECT_TRUE(fleet().WaitServing(fleet().Vms()));
  ExpectPromises();
}

// A whole VM is lost, target and daemon at once, and replaced by one of the
// same name.
TEST_F(target_killed_test, WholeVmIsKilledAndReplaced) {
  StartFleet();
  background_load load(Plan(seconds(8)));
  for (const std::string vm : {"contracts-1", "mast-registry-1"}) {
    std::this_thread::sleep_for(seconds(1));
    fleet().daemon(vm).Kill();
    fleet().target(vm).Kill();
    std::this_thread::sleep_for(seconds(1));
    fleet().StartTarget(vm);
    fleet().StartDaemon(vm);
  }
  load.Wait();
  EXPECT_TRUE(fleet().WaitServing(fleet().Vms()));
  ExpectPromises();
}

}  // namespace
}  // namespace pistachioweir
