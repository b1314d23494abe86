// Operators who change manifests while VMs come and go.
#include "tests/support/process_test.h"

namespace pistachioweir {
namespace {

using manifest_race_test = process_test;

// A release pipeline publishes a manifest twice within a second while VMs are
// replaced. Every daemon must end at the last version, and none may ever go
// back, whichever way the versions reached it.
TEST_F(manifest_race_test, TwoChangesInASecondDuringReplacement) {
  StartFleet();
  background_load load(Plan(seconds(10)));
  std::uint64_t version = 0;
  for (const std::string vm : {"lease-terms-1", "lease-terms-2"}) {
    Json::Value change;
    change["max_body_bytes"] = 500000;
    fleet().ChangeManifest("lease-terms", change);
    fleet().daemon(vm).Kill();
    change["max_body_bytes"] = 600000;
    version = fleet().ChangeManifest("lease-terms", change);
    fleet().StartDaemon(vm);
    std::this_thread::sleep_for(seconds(2));
  }
  const std::string added = fleet().AddVm("lease-terms");
  EXPECT_TRUE(fleet().WaitServing({added}));
  load.Wait();
  for (const std::string& vm : fleet().VmsOf("lease-terms")) {
    EXPECT_TRUE(Eventually([&] {
      return fleet().VersionAt(vm, "lease-terms") == version;
    })) << vm;
  }
  ExpectPromises();
}

}  // namespace
}  // namespace pistachioweir
