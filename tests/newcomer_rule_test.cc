// Tests of when a newcomer may act, and of pauses.
#include "include/fleet/newcomer_rule.h"

#include <gtest/gtest.h>

#include "include/fleet/pause_detector.h"

namespace pistachioweir {
namespace {

const time_point kStart = time_point() + std::chrono::hours(1);

newcomer_situation Knowing(std::uint64_t digest) {
  return {.documents_complete = true,
          .peers_known = true,
          .peers = 6,
          .digest = digest};
}

// A VM is replaced beside a stale platform. Peers know more than it does; until
// it knows the same, callers would get withdrawn rules from it.
TEST(NewcomerRuleTest, WaitsUntilItKnowsWhatPeersKnow) {
  newcomer_rule rule;
  for (const char* vm : {"vm-1", "vm-2", "vm-3"}) {
    EXPECT_FALSE(rule.Decide(Knowing(1), kStart));
    rule.NoteReply(vm, true, 2);
  }
  EXPECT_FALSE(rule.Decide(Knowing(1), kStart));
  EXPECT_TRUE(rule.Decide(Knowing(2), kStart));
}

// A third of the fleet restarts: other newcomers agree with the stale platform,
// since they know nothing else.
TEST(NewcomerRuleTest, TheWordOfOtherNewcomersDoesNotCount) {
  newcomer_rule rule;
  for (const char* vm : {"vm-1", "vm-2", "vm-3", "vm-4", "vm-5"}) {
    rule.NoteReply(vm, false, 1);
  }
  EXPECT_FALSE(rule.Decide(Knowing(1), kStart));
  rule.NoteReply("vm-6", true, 2);
  EXPECT_FALSE(rule.Decide(Knowing(1), kStart));
  EXPECT_TRUE(rule.Decide(Knowing(2), kStart));
}

// A daemon is killed just after it took a change, and restarts beside a stale
// platform. Most peers have not heard of the change yet and agree with the
// platform; one has. Callers got the older rules again for a moment, when three
// that agreed were enough.
TEST(NewcomerRuleTest, OnePeerThatKnowsMoreIsWaitedFor) {
  newcomer_rule rule;
  for (const char* vm : {"vm-1", "vm-2", "vm-3", "vm-4", "vm-5"}) {
    rule.NoteReply(vm, true, 1);
  }
  rule.NoteReply("vm-6", true, 2);
  EXPECT_FALSE(rule.Decide(Knowing(1), kStart));
  // It has learnt what the sixth knew; the others know nothing newer.
  EXPECT_TRUE(rule.Decide(Knowing(2), kStart));
}

TEST(NewcomerRuleTest, ANewFleetStartsOnceAllHaveAnswered) {
  newcomer_rule rule;
  for (const char* vm : {"vm-1", "vm-2", "vm-3", "vm-4", "vm-5", "vm-6"}) {
    EXPECT_FALSE(rule.Decide(Knowing(1), kStart));
    rule.NoteReply(vm, false, 1);
  }
  EXPECT_TRUE(rule.Decide(Knowing(1), kStart));
}

// All peers are cut off or gone. A service must not stay down for that.
TEST(NewcomerRuleTest, UnreachablePeersAreWaitedForABoundedTime) {
  newcomer_rule rule;
  EXPECT_FALSE(rule.Decide(Knowing(1), kStart));
  EXPECT_TRUE(rule.Decide(Knowing(1), kStart + newcomer_rule::kPatience));
}

TEST(NewcomerRuleTest, NeverWithoutItsDocumentsOrItsPeers) {
  newcomer_rule rule;
  newcomer_situation situation = Knowing(1);
  situation.documents_complete = false;
  rule.Decide(situation, kStart);
  EXPECT_FALSE(rule.Decide(situation, kStart + seconds(60)));
  situation = Knowing(1);
  situation.peers_known = false;
  EXPECT_FALSE(rule.Decide(situation, kStart + seconds(60)));
}

// A VM is frozen for a minute. When it wakes, its targets may have left long
// ago; it must look again before it sends calls there.
TEST(PauseDetectorTest, AViewFromBeforeAPauseIsStaleUntilRefreshed) {
  pause_detector pause;
  EXPECT_FALSE(pause.NoteTick(kStart));
  EXPECT_TRUE(pause.IsFresh(kStart + milliseconds(50)));
  // Seen by other threads before the next tick.
  EXPECT_FALSE(pause.IsFresh(kStart + seconds(60)));
  EXPECT_TRUE(pause.NoteTick(kStart + seconds(60)));
  EXPECT_FALSE(pause.IsFresh(kStart + seconds(60)));
  pause.NoteRefreshed();
  EXPECT_TRUE(pause.IsFresh(kStart + seconds(60)));
}

TEST(PauseDetectorTest, WithoutAnyAnswerItServesAfterABoundedTime) {
  pause_detector pause;
  pause.NoteTick(kStart);
  pause.NoteTick(kStart + seconds(60));
  const time_point later = kStart + seconds(60) + pause_detector::kPatience;
  pause.NoteTick(later);
  EXPECT_TRUE(pause.IsFresh(later));
}

}  // namespace
}  // namespace pistachioweir
