// Within what time a target that leaves without a word is out of use, whatever
// single daemons believe of the store.
#include <gtest/gtest.h>

#include <string>
#include <tuple>
#include <vector>

#include "include/forward/lapsed_targets.h"
#include "include/forward/target_vouching.h"
#include "include/forward/view_changes.h"
#include "platform/view_builder.h"

namespace pistachioweir::platform {
namespace {

const time_point kStart{seconds(1000)};
// Nothing may reach a target later than this after the store has acknowledged
// that it leaves.
constexpr milliseconds kDrain{2000};
// Of that, what a request may take from its last placing to its target.
constexpr milliseconds kRequestWay{400};

constexpr std::string_view kTarget =
    R"({"address":"10.0.0.1:80","info":{"service":"registry","version":"v1",
"zone":"waw-a","slots":8},"status":{"state":"ready","sequence":1,
"warmup-left":"0ms"}})";

view_changes Listed() {
  return {.revision = 2,
          .entries = {{.key = "servers/i-1",
                       .value = std::string(kTarget),
                       .created = 2,
                       .revision = 2}}};
}

view_changes Removed(const std::string& from = {}) {
  return {.after = 2,
          .revision = 3,
          .entries = {{.key = "servers/i-1", .revision = 3, .removed = true}},
          .from = from};
}

// Whose view has just been taken.
view_builder WithTheTarget() {
  view_builder builder;
  builder.Apply(Listed(), kStart);
  std::ignore = builder.TakeChanged();
  return builder;
}

bool Uses(view_builder& builder, time_point now) {
  builder.Advance(now);
  const auto view = builder.TakeChanged();
  return view == nullptr || !view->targets.empty();
}

// The return of one daemon's link kept targets that had left in use everywhere.
TEST(LeavingTargetTest, TheReturnOfAnotherDaemonsLinkKeepsNoTarget) {
  view_builder builder = WithTheTarget();
  // This daemon reads the store all the time.
  for (int i = 0; i <= 5; ++i) {
    builder.NoteAnswer(kStart + i * milliseconds(1500));
  }
  const time_point left = kStart + milliseconds(7600);
  const time_point told = left + milliseconds(10);
  builder.NoteReturn(left - milliseconds(5), "10.0.0.7", told);
  builder.Apply(Removed("10.0.0.7"), told);
  EXPECT_FALSE(Uses(builder, told));
}

// A daemon whose own link to the store had failed kept what had left meanwhile.
TEST(LeavingTargetTest, TheReturnOfTheOwnLinkKeepsNoTarget) {
  view_builder builder = WithTheTarget();
  builder.NoteAnswer(kStart);
  // Others that read the store tell when it answered them.
  for (int i = 1; i <= 3; ++i) {
    builder.NoteOthersAnswer(kStart + i * milliseconds(1400));
  }
  const time_point back = kStart + milliseconds(5000);
  builder.NoteAnswer(back, kStart + milliseconds(500));
  EXPECT_EQ(builder.regained_at(), back);
  builder.Apply(Removed(), back);
  EXPECT_FALSE(Uses(builder, back));
}

// A daemon that was cut off from everybody hears only behind its return that
// the store was there.
TEST(LeavingTargetTest, ADelayEndsOnceTheStoreTurnsOutToHaveBeenThere) {
  view_builder builder = WithTheTarget();
  builder.NoteAnswer(kStart);
  const time_point back = kStart + milliseconds(4000);
  builder.NoteAnswer(back, kStart + milliseconds(500));
  builder.Apply(Removed(), back);
  ASSERT_TRUE(Uses(builder, back));
  EXPECT_EQ(builder.next_removal(), back + view_builder::kReturnTime);
  builder.NoteOthersAnswer(back - milliseconds(1700));
  EXPECT_FALSE(Uses(builder, back));
}

// The other side: the store was away for all, and its entries had run out.
TEST(LeavingTargetTest, AnAbsenceOfTheStoreForAllKeepsTargets) {
  view_builder builder = WithTheTarget();
  builder.NoteAnswer(kStart);
  builder.NoteOthersAnswer(kStart + milliseconds(300));
  const time_point back = kStart + milliseconds(3500);
  builder.NoteOthersAnswer(back);
  builder.NoteReturn(back, "10.0.0.7", back + milliseconds(10));
  builder.Apply(Removed("10.0.0.7"), back + milliseconds(10));
  EXPECT_TRUE(
      Uses(builder, back + view_builder::kReturnTime - milliseconds(1)));
  EXPECT_FALSE(Uses(builder, back + view_builder::kReturnTime));
}

// A daemon that began to read just before a silent store was back took what had
// run out for what had left, and told others so.
TEST(LeavingTargetTest, OneCallWithoutAnAnswerTellsAnAbsence) {
  view_builder builder = WithTheTarget();
  builder.NoteOthersAnswer(kStart);
  const time_point asked = kStart + milliseconds(3000);
  const time_point back = asked + milliseconds(750);
  builder.NoteAnswer(back, asked);
  EXPECT_EQ(builder.returned_at(), back);
  builder.Apply(Removed(), back);
  EXPECT_TRUE(Uses(builder, back));
}

// A daemon's word for a target that has left was relied on for three seconds.
TEST(LeavingTargetTest, AWordForATargetThatHasLeftIsOverInTime) {
  const target_entry target{.id = "i-1",
                            .service = "registry",
                            .address = {.ip = "10.0.0.1", .port = 80}};
  const view_state lost{.revision = 2, .lost_since = kStart};
  target_vouching vouching;
  vouching.SetTarget(StartName(target));
  lapsed_targets lapsed;
  lapsed.SetListed({target}, kStart);
  const time_point left = kStart + seconds(4);
  vouching.OnAnswer(false, left);
  lapsed.SetListed({}, left + milliseconds(100));
  // The word is on each frame from that daemon.
  for (milliseconds after{0}; after <= kDrain; after += milliseconds(50)) {
    const time_point now = left + after;
    vouching.OnAnswer(after > milliseconds(0), now);
    lapsed.OnVouched(target.address.ip, vouching.VouchedStart(lost, now),
                     vouching.answered());
    if (after > kDrain - kRequestWay) {
      EXPECT_TRUE(lapsed.Kept(now).empty()) << after.count();
    }
    if (vouching.VouchedStart(lost, now + milliseconds(50)).empty()) {
      break;  // No frame comes any more.
    }
  }
  EXPECT_TRUE(lapsed.Kept(left + kDrain - kRequestWay).empty());
}

}  // namespace
}  // namespace pistachioweir::platform
