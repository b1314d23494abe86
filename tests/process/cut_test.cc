// Cuts between daemons, both ways and one way.
#include "tests/support/process_test.h"

namespace pistachioweir {
namespace {

class cut_test : public process_test {
 protected:
  // The first VM of each service on one side, the others on the other.
  void CutOffFirstVms() {
    for (const std::string& inside : fleet().Vms()) {
      for (const std::string& outside : fleet().Vms()) {
        if (inside.ends_with("-1") && !outside.ends_with("-1")) {
          fleet().links().CutBothWays(inside, outside);
        }
      }
    }
  }
};

// A switch fails: one VM of each service can reach only each other. Both sides
// hold the whole chain, so both must go on serving new calls, and what callers
// send again on the other side must not run twice.
TEST_F(cut_test, BothSidesServeAndNothingIsDoubled) {
  StartFleet(true);
  background_load load(Plan(seconds(12)));
  std::this_thread::sleep_for(seconds(1));
  CutOffFirstVms();
  std::this_thread::sleep_for(seconds(2));
  EXPECT_TRUE(fleet().WaitServing(fleet().VmsOf("contracts")));
  fleet().links().HealAll();
  load.Wait();
  EXPECT_TRUE(fleet().WaitServing(fleet().Vms()));
  ExpectPromises();
}

// A route is lost in one direction: requests arrive and run, but no answer
// comes back. The caller's daemon sees silence and must not take it for "not
// executed".
TEST_F(cut_test, AnswersAreLost) {
  StartFleet(true);
  background_load load(Plan(seconds(10)));
  std::this_thread::sleep_for(seconds(1));
  for (const std::string& caller : fleet().VmsOf("contracts")) {
    fleet().links().Cut("lease-terms-1", caller);
  }
  std::this_thread::sleep_for(seconds(4));
  EXPECT_TRUE(fleet().WaitServing(fleet().VmsOf("contracts")));
  fleet().links().HealAll();
  load.Wait();
  EXPECT_TRUE(fleet().WaitServing(fleet().Vms()));
  ExpectPromises();
}

// The other direction: requests are lost, and what the far side says of itself
// still arrives, so that it looks alive.
TEST_F(cut_test, RequestsAreLost) {
  StartFleet(true);
  background_load load(Plan(seconds(10)));
  std::this_thread::sleep_for(seconds(1));
  for (const std::string& caller : fleet().VmsOf("contracts")) {
    fleet().links().Cut(caller, "lease-terms-1");
  }
  std::this_thread::sleep_for(seconds(4));
  EXPECT_TRUE(fleet().WaitServing(fleet().VmsOf("contracts")));
  fleet().links().HealAll();
  load.Wait();
  EXPECT_TRUE(fleet().WaitServing(fleet().Vms()));
  ExpectPromises();
}

}  // namespace
}  // namespace pistachioweir
