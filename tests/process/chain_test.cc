// The whole path without a failure.
#include "tests/support/process_test.h"

namespace pistachioweir {
namespace {

using chain_test = process_test;

TEST_F(chain_test, EveryRequestIsCompletedAndRunsOnce) {
  StartFleet();
  background_load load(Plan(seconds(4)));
  const standin::load_report& report = load.Wait();
  EXPECT_GT(Sent(report), 0U);
  EXPECT_EQ(InDeadline(report), Sent(report));
  ExpectPromises();
}

}  // namespace
}  // namespace pistachioweir
