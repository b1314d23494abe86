// Which requests a stopping daemon takes, by what it knows of their kinds.
#include "include/admit/stop_feasibility.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <random>

namespace pistachioweir {
namespace {

const time_point kStart{seconds(1000)};
constexpr std::uint32_t kQuick = 1;
constexpr std::uint32_t kSlow = 2;

void AddRuns(std::uint32_t kind, milliseconds took, stop_feasibility* times) {
  for (std::uint32_t i = 0; i < 8 * stop_feasibility::kMinRequests; ++i) {
    times->OnEnded(kind, took, kStart);
  }
}

TEST(StopFeasibilityTest, TakesWhatEndsByItsDeadline) {
  stop_feasibility times;
  const time_point end = kStart + seconds(1);
  EXPECT_FALSE(times.MayOutlive(kQuick, end, end, kStart));
  EXPECT_TRUE(times.MayOutlive(kQuick, end + seconds(1), end, kStart));
}

TEST(StopFeasibilityTest, JudgesEachKindByItself) {
  stop_feasibility times;
  AddRuns(kQuick, milliseconds(50), &times);
  AddRuns(kSlow, milliseconds(800), &times);
  const time_point end = kStart + seconds(1);
  const time_point deadline = kStart + seconds(5);
  EXPECT_FALSE(times.MayOutlive(kQuick, deadline, end, kStart));
  EXPECT_TRUE(times.MayOutlive(kSlow, deadline, end, kStart));
}

TEST(StopFeasibilityTest, NeverRefusesWhileNothingEnds) {
  stop_feasibility times;
  EXPECT_FALSE(times.MayOutlive(kQuick, kStart + seconds(60), time_point::max(),
                                kStart));
}

// Guards against refusals of requests that would end well before the daemon.
TEST(StopFeasibilityTest, TakesKindsThatNeedHalfOfTheTimeLeft) {
  stop_feasibility times;
  AddRuns(kSlow, milliseconds(500), &times);
  const time_point end = kStart + seconds(1);
  EXPECT_FALSE(times.MayOutlive(kSlow, kStart + seconds(8), end, kStart));
  EXPECT_TRUE(times.MayOutlive(kSlow, kStart + seconds(8), end,
                               kStart + milliseconds(1)));
}

// Guards against runs that a stopping daemon takes late and breaks off: a
// lookup of 640 ms on average was taken 0.9 s before the end.
TEST(StopFeasibilityTest, FewRunsWithALongTailOutliveTheDaemon) {
  constexpr int kStops = 200;
  constexpr int kRunsBefore = 40;
  constexpr milliseconds kMean{640};
  std::mt19937_64 random(7);
  std::exponential_distribution<double> times(1.0 / kMean.count());
  const auto draw = [&] {
    return milliseconds(static_cast<std::int64_t>(times(random)));
  };
  int outlived = 0;
  int taken = 0;
  for (int stop = 0; stop < kStops; ++stop) {
    stop_feasibility known;
    const time_point begun = kStart + seconds(60 * stop);
    for (int i = 0; i < kRunsBefore; ++i) {
      known.OnEnded(kSlow, draw(), begun);
    }
    const time_point end = begun + milliseconds(5500);
    for (time_point now = begun; now < end; now += milliseconds(250)) {
      const duration needs = draw();
      const bool refused = known.MayOutlive(kSlow, now + seconds(8), end, now);
      taken += refused ? 0 : 1;
      outlived += !refused && now + needs > end ? 1 : 0;
    }
  }
  EXPECT_EQ(outlived, 0) << "of " << taken;
  EXPECT_GT(taken, 0);
}

}  // namespace
}  // namespace pistachioweir
