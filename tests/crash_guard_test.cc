// Tests of what daemons tell each other about requests that crash targets.
#include "src/daemon/crash_guard.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

#include "include/call/envelope.h"
#include "src/daemon/observer.h"
#include "src/net/worker_pool.h"

namespace pistachioweir {
namespace {

constexpr milliseconds kLifetime{60000};

call_envelope Request(const std::string& body) {
  return {.service = "contracts", .method = "lookup", .body = body};
}

// Two daemons whose reports the test carries.
class crash_guard_test : public ::testing::Test {
 protected:
  crash_guard Guard(std::uint64_t incarnation) {
    return crash_guard({.incarnation = incarnation_id{incarnation},
                        .workers = workers_,
                        .watch = watch_,
                        .publish = {}});
  }

  worker_pool workers_{1};
  observer watch_;
};

std::string ReportOf(std::uint64_t incarnation, const call_envelope& request) {
  return EncodeSuspects(CrashIdOf(incarnation, 1),
                        {Fingerprint({.service = request.service,
                                      .method = request.method,
                                      .body = request.body,
                                      .label = {}})});
}

// A request crashes a target, its caller sends it again and it crashes another
// target. A third one, which has crashed nothing yet, must not be given it;
// other requests go on there.
TEST_F(crash_guard_test, ThirdTargetRefusesWhatCrashedTwoOthers) {
  crash_guard third = Guard(3);
  const call_envelope poison = Request("poison");
  const time_point now = monotonic_clock::now();
  third.Import(ReportOf(1, poison), kLifetime);
  EXPECT_EQ(third.Refused(poison, now), milliseconds(0));
  third.Import(ReportOf(2, poison), kLifetime);
  EXPECT_GT(third.Refused(poison, now), milliseconds(0));
  EXPECT_EQ(third.Refused(Request("other"), now), milliseconds(0));
}

// A request that many callers send was in progress when a target crashed, by
// chance. It runs to its end elsewhere; a second crash beside it must not have
// it refused for everybody.
TEST_F(crash_guard_test, RequestThatCompletesIsNoLongerSuspected) {
  crash_guard guard = Guard(3);
  const call_envelope common = Request("{}");
  guard.Import(ReportOf(1, common), kLifetime);
  guard.OnCompleted(common);
  guard.Import(ReportOf(2, common), kLifetime);
  EXPECT_EQ(guard.Refused(common, monotonic_clock::now()), milliseconds(0));
}

// All connections of one crash end within moments. They are one crash, not one
// each, or everything in progress would be refused after it.
TEST_F(crash_guard_test, ConnectionsOfOneCrashCountOnce) {
  crash_guard guard = Guard(3);
  const call_envelope request = Request("x");
  const time_point now = monotonic_clock::now();
  guard.OnLost(request, now);
  guard.OnLost(request, now);
  EXPECT_EQ(guard.Refused(request, now), milliseconds(0));
}

RC_GTEST_PROP(CrashReportTest, RandomBytesAreRefused, (const std::string& b)) {
  RC_ASSERT(!DecodeSuspects(b, kLifetime));
}

TEST(CrashReportTest, CutReportsAreRefused) {
  const std::string whole = ReportOf(1, Request("x"));
  ASSERT_TRUE(DecodeSuspects(whole, kLifetime));
  for (std::size_t size = 0; size < whole.size(); ++size) {
    EXPECT_FALSE(DecodeSuspects(whole.substr(0, size), kLifetime));
  }
}

}  // namespace
}  // namespace pistachioweir
