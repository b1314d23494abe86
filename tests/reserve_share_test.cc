// One daemon's share of the repeat reserve, while the list of daemons grows and
// shrinks.
#include "include/retry/reserve_share.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

#include "include/retry/repeat_budget.h"

namespace pistachioweir {
namespace {

const time_point kStart{seconds(1000)};
constexpr milliseconds kWindow{10000};
constexpr double kReserve = 48;

TEST(ReserveShareTest, FollowsALongerListAtOnceAndAShorterOneAWindowLater) {
  reserve_share share(kWindow);
  EXPECT_EQ(share.Fraction(kStart), 0);
  share.OnDaemonCount(4, kStart);
  time_point now = kStart + reserve_share::kInitialSettleTime;
  EXPECT_EQ(share.Fraction(now), reserve_share::kUsableFraction / 4);
  share.OnDaemonCount(16, now);
  EXPECT_EQ(share.Fraction(now), reserve_share::kUsableFraction / 16);
  share.OnDaemonCount(2, now);
  EXPECT_EQ(share.Fraction(now + kWindow), reserve_share::kUsableFraction / 16);
  EXPECT_EQ(share.Fraction(now + kWindow + milliseconds(1)),
            reserve_share::kUsableFraction / 2);
}

// All daemons start, and their targets register one by one. Two services then
// fail for all callers. Each daemon had derived its share from the one or two
// daemons that it knew at first, and the failing services got eight times the
// reserve on top of their load.
TEST(ReserveShareTest, DaemonsThatRegisterOneByOneShareOneReserve) {
  constexpr std::size_t kDaemons = 16;
  std::vector<reserve_share> shares(kDaemons, reserve_share(kWindow));
  std::vector<repeat_budget> budgets(
      kDaemons, repeat_budget({.window = kWindow, .ratio = 0, .reserve = 0}));
  int spent = 0;
  for (int step = 0; step < 100; ++step) {
    const time_point now = kStart + step * milliseconds(100);
    const std::size_t known = std::min<std::size_t>(kDaemons, 1 + step);
    for (std::size_t i = 0; i < known; ++i) {
      shares[i].OnDaemonCount(known, now);
      budgets[i].Configure({.window = kWindow,
                            .ratio = 0,
                            .reserve = kReserve * shares[i].Fraction(now)});
      spent += budgets[i].TrySpend(now) ? 1 : 0;
    }
  }
  EXPECT_GT(spent, 0);
  EXPECT_LE(spent, kReserve);
}

// For any sequence of lists, a daemon's share never exceeds the one given by
// the longest list of the window.
RC_GTEST_PROP(ReserveShareTest, TheLongestListOfTheWindowCounts, ()) {
  struct note {
    std::size_t daemons;
    time_point from;
    time_point until;
  };
  reserve_share share(kWindow);
  std::vector<note> notes;
  time_point now = kStart;
  const auto steps =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4000));
  for (const int step : steps) {
    now += milliseconds(step);
    const auto count = static_cast<std::size_t>(1 + step % 40);
    if (!notes.empty()) {
      notes.back().until = now;
    }
    notes.push_back({count, now, time_point::max()});
    share.OnDaemonCount(count, now);
    std::size_t longest = 0;
    for (const note& each : notes) {
      if (each.until >= now - kWindow) {
        longest = std::max(longest, each.daemons);
      }
    }
    RC_ASSERT(share.Fraction(now) <=
              reserve_share::kUsableFraction / static_cast<double>(longest));
  }
}

}  // namespace
}  // namespace pistachioweir
