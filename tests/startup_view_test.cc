// Which of the views that others tell a daemon starts with.
#include "include/forward/startup_view.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstdint>
#include <vector>

namespace pistachioweir {
namespace {

bool Adopts(const told_view& /*told*/) {
  return true;
}

// A daemon starts while the store is silent. Its neighbours have the whole view
// and are connected to it, and yet its callers were refused for as long as the
// store was away (log: answered why=not_ready without a route, store_lost
// call=config revision=0): 293 of 6,250 requests in 25 s.
TEST(StartupViewTest, TakesTheViewOfANeighbour) {
  startup_view startup;
  EXPECT_EQ(startup.revision(), 0U);
  EXPECT_EQ(startup.Offer({.revision = 40}, 0, Adopts),
            told_view_verdict::kTaken);
  EXPECT_EQ(startup.revision(), 40U);
}

// The first neighbour that answers has been cut off from the store for long,
// the second has not. What was withdrawn meanwhile must not come back with the
// third, who is cut off as well.
TEST(StartupViewTest, AnOlderViewNeverReplacesANewerOne) {
  startup_view startup;
  EXPECT_EQ(startup.Offer({.revision = 40}, 0, Adopts),
            told_view_verdict::kTaken);
  EXPECT_EQ(startup.Offer({.revision = 55}, 0, Adopts),
            told_view_verdict::kTaken);
  EXPECT_EQ(startup.Offer({.revision = 40}, 0, Adopts),
            told_view_verdict::kNotNewer);
  EXPECT_EQ(startup.Offer({.revision = 55}, 0, Adopts),
            told_view_verdict::kNotNewer);
  EXPECT_EQ(startup.revision(), 55U);
}

TEST(StartupViewTest, NothingIsTakenOnceTheStoreHasAnswered) {
  startup_view startup;
  EXPECT_EQ(startup.Offer({.revision = 80}, 30, Adopts),
            told_view_verdict::kStoreAnswered);
  EXPECT_EQ(startup.revision(), 0U);
}

// The store answers just when a neighbour does, and then fails again: the
// neighbour's view is still wanted.
TEST(StartupViewTest, AViewThatCouldNotBeUsedIsWantedAgain) {
  startup_view startup;
  EXPECT_EQ(
      startup.Offer({.revision = 40}, 0, [](const auto&) { return false; }),
      told_view_verdict::kStoreAnswering);
  EXPECT_EQ(startup.Offer({.revision = 40}, 0, Adopts),
            told_view_verdict::kTaken);
}

// Whatever is told in whatever order, what is used only gets newer, and ends
// with the newest that was told before the store answered.
RC_GTEST_PROP(StartupViewTest,
              UsesTheNewestOfAllThatWasTold,
              (const std::vector<std::uint8_t>& revisions)) {
  startup_view startup;
  std::uint64_t newest = 0;
  for (const std::uint8_t revision : revisions) {
    const std::uint64_t before = startup.revision();
    startup.Offer({.revision = revision}, 0, Adopts);
    newest = std::max<std::uint64_t>(newest, revision);
    RC_ASSERT(startup.revision() >= before);
    RC_ASSERT(startup.revision() == newest);
  }
}

}  // namespace
}  // namespace pistachioweir
