// Connections that go silent while new ones work.
#include "tests/support/process_test.h"

namespace pistachioweir {
namespace {

using silent_connections_test = process_test;

// A firewall between the daemons restarts and forgets all connections: bytes
// on them vanish and nobody is told. New connections work at once, so calls
// must soon be served again, and those that were on their way must not run
// twice.
TEST_F(silent_connections_test, NewConnectionsTakeOver) {
  StartFleet(true);
  background_load load(Plan(seconds(10)));
  for (int times = 0; times < 2; ++times) {
    std::this_thread::sleep_for(seconds(2));
    fleet().links().SilenceOpen();
    EXPECT_TRUE(fleet().WaitServing(fleet().VmsOf("contracts")));
  }
  load.Wait();
  EXPECT_TRUE(fleet().WaitServing(fleet().Vms()));
  ExpectPromises();
}

}  // namespace
}  // namespace pistachioweir
