// Processes that are paused and wake up with an old view.
#include <csignal>

#include "tests/support/process_test.h"

namespace pistachioweir {
namespace {

using daemon_paused_test = process_test;

// A hypervisor stops a VM for seconds. Its daemon wakes in the middle of calls
// whose callers are long gone, and goes on from where it was. Nothing that was
// sent again elsewhere may run a second time.
TEST_F(daemon_paused_test, PausedInTheMiddleOfCalls) {
  StartFleet();
  background_load load(Plan(seconds(10)));
  for (const std::string vm : {"contracts-1", "lease-terms-2"}) {
    std::this_thread::sleep_for(milliseconds(500));
    fleet().daemon(vm).Signal(SIGSTOP);
    std::this_thread::sleep_for(seconds(3));
    fleet().daemon(vm).Signal(SIGCONT);
  }
  load.Wait();
  EXPECT_TRUE(fleet().WaitServing(fleet().Vms()));
  ExpectPromises();
}

// While a daemon sleeps, a target leaves and a VM takes its place. The sleeper
// wakes and knows neither; the leaving target must not get its calls.
TEST_F(daemon_paused_test, FleetChangesDuringThePause) {
  StartFleet();
  background_load load(Plan(seconds(14)));
  fleet().daemon("contracts-3").Signal(SIGSTOP);
  fleet().AddVm("lease-terms");
  fleet().Publish("lease-terms-1", standin::live_state::kLeaving);
  std::this_thread::sleep_for(seconds(6));
  fleet().daemon("contracts-3").Signal(SIGCONT);
  load.Wait();
  EXPECT_TRUE(fleet().WaitServing(fleet().VmsOf("contracts")));
  ExpectPromises();
}

}  // namespace
}  // namespace pistachioweir
