// Waits of messages, estimated from two unsynchronised clocks.
#include "src/peer/transit_time.h"

#include <gtest/gtest.h>

namespace pistachioweir {
namespace {

boot_time At(milliseconds time) {
  return boot_time(time);
}

TEST(TransitTimeTest, TheFirstMessageHasNotWaited) {
  transit_time transit;
  EXPECT_EQ(transit.OnMessage(milliseconds(90000), At(milliseconds(5))),
            milliseconds(0));
}

TEST(TransitTimeTest, AWaitIsWhatExceedsTheLeastDelay) {
  transit_time transit;
  transit.OnMessage(milliseconds(90000), At(milliseconds(1000)));
  EXPECT_EQ(transit.OnMessage(milliseconds(90100), At(milliseconds(1850))),
            milliseconds(750));
  EXPECT_EQ(transit.OnMessage(milliseconds(90900), At(milliseconds(1900))),
            milliseconds(0));
}

// Guards against waits that are overestimated since the first messages were
// read late.
TEST(TransitTimeTest, AFasterMessageSetsTheLeastDelay) {
  transit_time transit;
  transit.OnMessage(milliseconds(100), At(milliseconds(1100)));
  EXPECT_EQ(transit.OnMessage(milliseconds(1200), At(milliseconds(1500))),
            milliseconds(0));
  EXPECT_EQ(transit.OnMessage(milliseconds(1300), At(milliseconds(1900))),
            milliseconds(300));
}

// Guards against a drift of the clocks that adds up to a wait.
TEST(TransitTimeTest, DriftDoesNotAddUp) {
  constexpr int kHour = 3600;
  transit_time transit;
  for (int second = 0; second < kHour; ++second) {
    const milliseconds sent = seconds(second);
    EXPECT_LT(transit.OnMessage(sent, At(sent + sent / 2000)),
              milliseconds(100));
  }
}

}  // namespace
}  // namespace pistachioweir
