// Two failures at a time.
#include <csignal>

#include "tests/support/process_test.h"

namespace pistachioweir {
namespace {

using combined_test = process_test;

// A key's home is killed while it is cut off from half of the executors, and
// comes back within the partition.
TEST_F(combined_test, HomeIsKilledDuringACut) {
  StartFleet(true);
  background_load load(Plan(seconds(10)));
  std::this_thread::sleep_for(seconds(1));
  fleet().links().CutBothWays("contracts-1", "contracts-2");
  fleet().links().CutBothWays("contracts-1", "lease-terms-2");
  std::this_thread::sleep_for(seconds(1));
  fleet().daemon("contracts-1").Kill();
  fleet().StartDaemon("contracts-1");
  std::this_thread::sleep_for(seconds(2));
  fleet().links().HealAll();
  load.Wait();
  EXPECT_TRUE(fleet().WaitServing(fleet().Vms()));
  ExpectPromises();
}

// An executor is paused, and all connections go silent while it sleeps: its
// homes send again over new connections, and the sleeper wakes to find both the
// old and the new copy of each request.
TEST_F(combined_test, ExecutorIsPausedWhileConnectionsGoSilent) {
  StartFleet(true);
  background_load load(Plan(seconds(10)));
  std::this_thread::sleep_for(seconds(1));
  fleet().daemon("lease-terms-1").Signal(SIGSTOP);
  std::this_thread::sleep_for(milliseconds(500));
  fleet().links().SilenceOpen();
  std::this_thread::sleep_for(seconds(2));
  fleet().daemon("lease-terms-1").Signal(SIGCONT);
  load.Wait();
  EXPECT_TRUE(fleet().WaitServing(fleet().Vms()));
  ExpectPromises();
}

// A target slows down five times while demand triples and callers send again
// hard. Overload has no fault to show for itself, but every statement about it
// must still be true.
TEST_F(combined_test, SlowServiceUnderASurgeOfHardResending) {
  StartFleet();
  Json::Value slow;
  slow["slow_down"] = 5;
  for (const std::string& vm : fleet().VmsOf("mast-registry")) {
    fleet().Configure(vm, slow);
  }
  standin::load_plan plan = Plan(seconds(6));
  plan.rate = 900;
  plan.timeout = milliseconds(300);
  plan.resend = standin::resend_policy::kHard;
  background_load load(plan);
  load.Wait();
  slow["slow_down"] = 1;
  for (const std::string& vm : fleet().VmsOf("mast-registry")) {
    fleet().Configure(vm, slow);
  }
  EXPECT_TRUE(fleet().WaitServing(fleet().Vms()));
  ExpectPromises();
}

}  // namespace
}  // namespace pistachioweir
