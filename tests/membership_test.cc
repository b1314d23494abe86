// Tests of the weighing of live list, gossip and calls.
#include "include/fleet/membership.h"

#include <gtest/gtest.h>

#include <vector>

namespace pistachioweir {
namespace {

const time_point kStart = time_point() + std::chrono::hours(1);

fleet_target Listed(const vm_id& vm, member_state state = member_state::kLive) {
  return {.vm = vm, .peer = {.ip = "127.0.0.1", .port = 7000}, .state = state};
}

member_news News(std::uint64_t incarnation,
                 std::uint32_t generation,
                 member_state state) {
  return {.vm = "vm-1",
          .service = "a",
          .peer = {.ip = "127.0.0.1", .port = 7000},
          .incarnation = incarnation_id{incarnation},
          .generation = generation,
          .state = state};
}

// A VM is told to stop. The platform's list still calls it live for a minute;
// calls sent there would be refused or cut.
TEST(MembershipTest, LeavingByGossipStandsAgainstAListThatLags) {
  membership members;
  members.ApplyList("a", 1, {Listed("vm-1")}, kStart);
  members.ApplyNews(News(5, 0, member_state::kLeaving), kStart + seconds(1));
  members.ApplyList("a", 2, {Listed("vm-1")}, kStart + seconds(2));
  EXPECT_EQ(members.StateOf("vm-1", kStart + seconds(3)),
            member_state::kLeaving);
}

// A VM was replaced under its old name while the list still says that the old
// one leaves. Callers would leave the new one idle.
TEST(MembershipTest, ANewStartIsLiveAgainstAListThatLags) {
  membership members;
  members.ApplyList("a", 1, {Listed("vm-1", member_state::kLeaving)}, kStart);
  EXPECT_EQ(members.StateOf("vm-1", kStart), member_state::kLeaving);
  members.ApplyNews(News(6, 1, member_state::kLive), kStart + seconds(5));
  EXPECT_EQ(members.StateOf("vm-1", kStart + seconds(6)), member_state::kLive);
}

// An old datagram of the VM's last start arrives late, or twice.
TEST(MembershipTest, OldNewsChangesNothing) {
  membership members;
  members.ApplyNews(News(6, 2, member_state::kLive), kStart);
  EXPECT_FALSE(members.ApplyNews(News(5, 1, member_state::kDead), kStart));
  EXPECT_FALSE(members.ApplyNews(News(6, 2, member_state::kLive), kStart));
  EXPECT_EQ(members.StateOf("vm-1", kStart), member_state::kLive);
}

// Peers can't reach a daemon that callers can: it must go on getting calls.
TEST(MembershipTest, AnAnsweredCallOverridesAnOlderDeath) {
  membership members;
  members.ApplyNews(News(6, 0, member_state::kLive), kStart);
  members.ApplyNews(News(6, 0, member_state::kDead), kStart + seconds(1));
  EXPECT_TRUE(members.Targets("a", kStart + seconds(1)).empty());
  members.NoteAnswered("vm-1", incarnation_id{6}, kStart + seconds(2));
  EXPECT_EQ(members.StateOf("vm-1", kStart + seconds(2)), member_state::kLive);
  // But an answer of the last start says nothing of this one's death.
  members.ApplyNews(News(7, 1, member_state::kLive), kStart + seconds(3));
  members.ApplyNews(News(7, 1, member_state::kDead), kStart + seconds(4));
  members.NoteAnswered("vm-1", incarnation_id{6}, kStart + seconds(5));
  EXPECT_EQ(members.StateOf("vm-1", kStart + seconds(5)), member_state::kDead);
}

TEST(MembershipTest, FailedCallsSuspectForABoundedTime) {
  membership members;
  members.ApplyNews(News(6, 0, member_state::kLive), kStart);
  for (std::uint32_t i = 0; i < membership::kFailuresToSuspect; ++i) {
    EXPECT_EQ(members.StateOf("vm-1", kStart), member_state::kLive);
    members.NoteFailed("vm-1", incarnation_id{6}, kStart);
  }
  EXPECT_EQ(members.StateOf("vm-1", kStart), member_state::kSuspect);
  EXPECT_EQ(members.StateOf("vm-1", kStart + membership::kSuspicion),
            member_state::kLive);
}

// A stale replica serves a list from before a VM joined, then the list catches
// up. Removing the VM in between would lose a third of a small service.
TEST(MembershipTest, OnlyANewerListRemovesAndNotAYoungMember) {
  membership members;
  members.ApplyList("a", 5, {Listed("vm-1"), Listed("vm-2")}, kStart);
  members.ApplyList("a", 4, {Listed("vm-2")}, kStart + seconds(1));
  EXPECT_EQ(members.Targets("a", kStart + seconds(1)).size(), 2U);
  members.ApplyNews(News(6, 0, member_state::kLive), kStart + seconds(2));
  members.ApplyList("a", 6, {Listed("vm-2")}, kStart + seconds(3));
  EXPECT_EQ(members.Targets("a", kStart + seconds(3)).size(), 2U);
  const time_point later = kStart + seconds(3) + membership::kListLag;
  members.ApplyList("a", 7, {Listed("vm-2")}, later);
  EXPECT_EQ(members.Targets("a", later).size(), 1U);
}

}  // namespace
}  // namespace pistachioweir
