// Proven age of views across several daemons.
#include "include/forward/view_freshness.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstdint>
#include <vector>

namespace pistachioweir {
namespace {

boot_time At(int ms) {
  return boot_time(seconds(1000)) + milliseconds(ms);
}

TEST(ViewFreshnessTest, AgeCountsFromTheRequest) {
  view_freshness view;
  EXPECT_EQ(view.Age(At(0)), std::nullopt);
  view.SetRevision(7);
  view.Confirm({.revision = 7}, At(100));
  EXPECT_EQ(view.Age(At(1500)), milliseconds(1400));
  // Another daemon's proof that is older than the own one changes nothing.
  view.Confirm({.revision = 6, .age = milliseconds(900)}, At(500));
  EXPECT_EQ(view.Age(At(1500)), milliseconds(1400));
  view.Confirm({.revision = 7, .age = milliseconds(300)}, At(1400));
  EXPECT_EQ(view.Age(At(1500)), milliseconds(400));
}

// Guards against a daemon that accepts a proof of changes that it has not
// received yet, and keeps accepting a key that one of them withdrew.
TEST(ViewFreshnessTest, AProofOfLaterChangesCountsOnceTheyArrive) {
  view_freshness view;
  view.SetRevision(7);
  view.Confirm({.revision = 9}, At(100));
  EXPECT_EQ(view.Age(At(200)), std::nullopt);
  view.SetRevision(8);
  EXPECT_EQ(view.Age(At(200)), std::nullopt);
  view.SetRevision(9);
  EXPECT_EQ(view.Age(At(200)), milliseconds(100));
}

TEST(ViewFreshnessTest, ADaemonWithoutAViewProvesNothing) {
  view_freshness view;
  view.Confirm({.revision = 0}, At(100));
  EXPECT_EQ(view.Age(At(200)), std::nullopt);
}

// Daemons ask the store and each other at random, and answers are delayed at
// random: no daemon ever computes an age below the true one. Guards against
// ages that are lost in transit, and against daemons that confirm each other in
// a cycle.
RC_GTEST_PROP(ViewFreshnessTest, NoDaemonUnderestimatesTheAgeOfItsView, ()) {
  struct pending_answer {
    std::size_t to = 0;
    freshness_proof proof;
    boot_time asked;
  };
  constexpr std::size_t kDaemons = 4;
  std::vector<view_freshness> daemons(kDaemons);
  std::vector<std::uint64_t> held(kDaemons, 1);  // Revisions.
  std::vector<boot_time> written{At(0)};  // Times of revisions from 1 on.
  std::vector<pending_answer> pending;
  int now = 1;
  for (int step = 0; step < 120; ++step) {
    now += *rc::gen::inRange(0, 300);
    const auto who = *rc::gen::inRange<std::size_t>(0, kDaemons);
    switch (*rc::gen::inRange(0, 5)) {
      case 0:
        written.push_back(At(now));
        break;
      case 1:
        pending.push_back({.to = who,
                           .proof = {.revision = written.size()},
                           .asked = At(now)});
        break;
      case 2: {
        const auto other = *rc::gen::inRange<std::size_t>(0, kDaemons);
        if (const auto age = daemons[other].Age(At(now))) {
          pending.push_back({.to = who,
                             .proof = {.revision = held[other], .age = *age},
                             .asked = At(now - *rc::gen::inRange(0, 50))});
        }
        break;
      }
      case 3:
        held[who] = std::max<std::uint64_t>(
            held[who], *rc::gen::inRange<std::uint64_t>(1, written.size() + 1));
        daemons[who].SetRevision(held[who]);
        break;
      default:
        if (!pending.empty()) {
          const auto which = *rc::gen::inRange<std::size_t>(0, pending.size());
          const pending_answer& arrived = pending[which];
          daemons[arrived.to].Confirm(arrived.proof, arrived.asked);
        }
    }
    for (std::size_t i = 0; i < kDaemons; ++i) {
      const auto age = daemons[i].Age(At(now));
      const bool misses_one = held[i] < written.size();
      if (age && misses_one) {
        // The first change that it lacks was written after the proven time.
        RC_ASSERT(At(now) - *age <= written[held[i]]);
      }
    }
  }
}

}  // namespace
}  // namespace pistachioweir
