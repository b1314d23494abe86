// Time until a target that leaves without notice is out of use, even if single
// daemons misjudge the state of the store.
#include <gtest/gtest.h>

#include <memory>
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
// No request may reach a target later than this after the store has
// acknowledged its leaving.
constexpr milliseconds kDrain{2000};
// Part of kDrain that a request may take from its last placement to its target.
constexpr milliseconds kRequestTransit{400};

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

// A builder that lists the target and whose view has been taken.
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

// When one daemon's link to the store came back, all daemons kept targets in
// use that had left.
TEST(LeavingTargetTest, TheReturnOfAnotherDaemonsLinkKeepsNoTarget) {
  view_builder builder = WithTheTarget();
  // This daemon reads the store without interruption.
  for (int i = 0; i <= 5; ++i) {
    builder.NoteAnswer(kStart + i * milliseconds(1500));
  }
  const time_point left = kStart + milliseconds(7600);
  const time_point received = left + milliseconds(10);
  builder.NoteReturn(left - milliseconds(5), "10.0.0.7", received);
  builder.Apply(Removed("10.0.0.7"), received);
  EXPECT_FALSE(Uses(builder, received));
}

// A daemon whose own link to the store had failed kept targets that had left in
// that time.
TEST(LeavingTargetTest, TheReturnOfTheOwnLinkKeepsNoTarget) {
  view_builder builder = WithTheTarget();
  builder.NoteAnswer(kStart);
  // Other readers report when the store answered them.
  for (int i = 1; i <= 3; ++i) {
    builder.NoteOthersAnswer(kStart + i * milliseconds(1400));
  }
  const time_point back = kStart + milliseconds(5000);
  builder.NoteAnswer(back, kStart + milliseconds(500));
  EXPECT_EQ(builder.regained_at(), back);
  builder.Apply(Removed(), back);
  EXPECT_FALSE(Uses(builder, back));
}

// A daemon that was cut off from the store and all daemons learns only after
// its return that there was no outage of the store.
TEST(LeavingTargetTest, ADelayEndsOnceAnOutageIsRuledOut) {
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

// The opposite case: the store had an outage, and its entries expired.
TEST(LeavingTargetTest, AnOutageOfTheStoreKeepsTargets) {
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

// A daemon that began to read just before the end of an outage took expired
// entries for targets that had left, and propagated the removals.
TEST(LeavingTargetTest, OneUnansweredCallIndicatesAnOutage) {
  view_builder builder = WithTheTarget();
  builder.NoteOthersAnswer(kStart);
  const time_point asked = kStart + milliseconds(3000);
  const time_point back = asked + milliseconds(750);
  builder.NoteAnswer(back, asked);
  EXPECT_EQ(builder.returned_at(), back);
  builder.Apply(Removed(), back);
  EXPECT_TRUE(Uses(builder, back));
}

// A daemon's vouching for a target that had left was relied on for three
// seconds.
TEST(LeavingTargetTest, VouchingForATargetThatHasLeftEndsInTime) {
  const target_entry target{.id = "i-1",
                            .service = "registry",
                            .address = {.ip = "10.0.0.1", .port = 80}};
  const view_state lost{.revision = 2, .lost_since = kStart};
  target_vouching vouching;
  vouching.SetTarget(StartName(target));
  lapsed_targets lapsed;
  lapsed.SetListed(std::make_shared<const target_list>(target_list{target}),
                   kStart);
  const time_point left = kStart + seconds(4);
  vouching.OnAnswer(false, left);
  lapsed.SetListed(std::make_shared<const target_list>(),
                   left + milliseconds(100));
  // Each frame from that daemon carries its vouching.
  for (milliseconds after{0}; after <= kDrain; after += milliseconds(50)) {
    const time_point now = left + after;
    vouching.OnAnswer(after > milliseconds(0), now);
    lapsed.OnVouched(target.address.ip, vouching.VouchedStart(lost, now),
                     vouching.answered());
    if (after > kDrain - kRequestTransit) {
      EXPECT_TRUE(lapsed.Kept(now).empty()) << after.count();
    }
    if (vouching.VouchedStart(lost, now + milliseconds(50)).empty()) {
      break;  // No further frame vouches for it.
    }
  }
  EXPECT_TRUE(lapsed.Kept(left + kDrain - kRequestTransit).empty());
}

}  // namespace
}  // namespace pistachioweir::platform
