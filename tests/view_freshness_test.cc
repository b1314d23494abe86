// How new a view is proven to be, over several daemons.
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

TEST(ViewFreshnessTest, CountsFromTheQuestion) {
  view_freshness view;
  EXPECT_EQ(view.Age(At(0)), std::nullopt);
  view.SetRevision(7);
  view.Confirm({.revision = 7}, At(100));
  EXPECT_EQ(view.Age(At(1500)), milliseconds(1400));
  // A neighbour's word that is older than the own proof changes nothing.
  view.Confirm({.revision = 6, .age = milliseconds(900)}, At(500));
  EXPECT_EQ(view.Age(At(1500)), milliseconds(1400));
  view.Confirm({.revision = 7, .age = milliseconds(300)}, At(1400));
  EXPECT_EQ(view.Age(At(1500)), milliseconds(400));
}

// Guards against a daemon that takes a proof for changes that it hasn't got
// yet, and goes on serving a key that was withdrawn by one of them.
TEST(ViewFreshnessTest, AProofOfLaterChangesCountsOnceTheyAreHere) {
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

// Daemons that ask the store and each other at random, with answers that are
// held up at random: none ever believes its view to be newer than it is.
// Guards against ages that are lost on the way, and daemons that confirm each
// other in a ring.
RC_GTEST_PROP(ViewFreshnessTest, NoDaemonEverFindsItsViewTooNew, ()) {
  struct answer_on_its_way {
    std::size_t to = 0;
    freshness_proof proof;
    boot_time asked;
  };
  constexpr std::size_t kDaemons = 4;
  std::vector<view_freshness> daemons(kDaemons);
  std::vector<std::uint64_t> held(kDaemons, 1);  // Revisions.
  std::vector<boot_time> written{At(0)};         // When each was, from 1 on.
  std::vector<answer_on_its_way> on_the_way;
  int now = 1;
  for (int step = 0; step < 120; ++step) {
    now += *rc::gen::inRange(0, 300);
    const auto who = *rc::gen::inRange<std::size_t>(0, kDaemons);
    switch (*rc::gen::inRange(0, 5)) {
      case 0:
        written.push_back(At(now));
        break;
      case 1:
        on_the_way.push_back({.to = who,
                              .proof = {.revision = written.size()},
                              .asked = At(now)});
        break;
      case 2: {
        const auto other = *rc::gen::inRange<std::size_t>(0, kDaemons);
        if (const auto age = daemons[other].Age(At(now))) {
          on_the_way.push_back({.to = who,
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
        if (!on_the_way.empty()) {
          const auto which =
              *rc::gen::inRange<std::size_t>(0, on_the_way.size());
          const answer_on_its_way& arrived = on_the_way[which];
          daemons[arrived.to].Confirm(arrived.proof, arrived.asked);
        }
    }
    for (std::size_t i = 0; i < kDaemons; ++i) {
      const auto age = daemons[i].Age(At(now));
      const bool misses_one = held[i] < written.size();
      if (age && misses_one) {
        // The first change that it lacks was written after the proven moment.
        RC_ASSERT(At(now) - *age <= written[held[i]]);
      }
    }
  }
}

}  // namespace
}  // namespace pistachioweir
