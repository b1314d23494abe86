// Daemons that die at once and come back with empty memory.
#include "tests/support/process_test.h"

namespace pistachioweir {
namespace {

using daemon_killed_test = process_test;

// A daemon is killed by the kernel for want of memory, with calls on their way
// through it, and is started again with empty memory. Callers that were cut off
// send again under the same key at another daemon; a tenant must not be billed
// twice.
TEST_F(daemon_killed_test, EntranceIsKilledAndComesBack) {
  StartFleet();
  background_load load(Plan(seconds(8)));
  for (const std::string vm : {"contracts-1", "contracts-2"}) {
    std::this_thread::sleep_for(seconds(1));
    fleet().daemon(vm).Kill();
    std::this_thread::sleep_for(seconds(1));
    fleet().StartDaemon(vm);
  }
  load.Wait();
  EXPECT_TRUE(fleet().WaitServing(fleet().Vms()));
  ExpectPromises();
}

// The daemon in the middle of the chain dies while it runs calls for others.
// The callers above it can't know whether their calls ran.
TEST_F(daemon_killed_test, MiddleOfTheChainIsKilledAndComesBack) {
  StartFleet();
  background_load load(Plan(seconds(8)));
  for (const std::string vm : {"lease-terms-1", "mast-registry-2"}) {
    std::this_thread::sleep_for(seconds(1));
    fleet().daemon(vm).Kill();
    std::this_thread::sleep_for(seconds(1));
    fleet().StartDaemon(vm);
  }
  load.Wait();
  EXPECT_TRUE(fleet().WaitServing(fleet().Vms()));
  ExpectPromises();
}

}  // namespace
}  // namespace pistachioweir
