// Work on a change of the list of targets in a large fleet.
#include "include/forward/target_changes.h"

#include <gtest/gtest.h>

#include <cstddef>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "include/route/balancer.h"

namespace pistachioweir {
namespace {

constexpr std::size_t kFleet = 14000;

target_entry Target(std::size_t number) {
  return {.id = "i-" + std::to_string(number),
          .start = incarnation_id{1000},
          .service = "registry",
          .address = {.ip = "10." + std::to_string(number / 65536) + "." +
                            std::to_string(number / 256 % 256) + "." +
                            std::to_string(number % 256),
                      .port = 80},
          .data_centre = "waw-a",
          .slots = 8};
}

target_list Fleet() {
  target_list targets;
  for (std::size_t i = 0; i < kFleet; ++i) {
    targets.push_back(Target(i));
  }
  return targets;
}

std::shared_ptr<const target_list> Shared(target_list targets) {
  return std::make_shared<const target_list>(std::move(targets));
}

// Guards against work on the whole fleet for a change of one target: daemons of
// a fleet that starts see some thousand of such changes.
TEST(TargetChangesTest, OneChangeOfALargeFleetIsOneChange) {
  target_directory directory;
  EXPECT_EQ(directory.Set(Shared(Fleet())).added.size(), kFleet);
  target_list targets = Fleet();
  targets[4711].state = target_state::kLeaving;
  const target_changes left = directory.Set(Shared(targets));
  EXPECT_TRUE(left.added.empty());
  EXPECT_TRUE(left.removed.empty());
  ASSERT_EQ(left.changed.size(), 1U);
  EXPECT_EQ(left.changed[0].before, Target(4711));
  EXPECT_EQ(left.changed[0].after.state, target_state::kLeaving);
  targets.erase(targets.begin() + 4711);
  targets.push_back(Target(kFleet));
  const target_changes replaced = directory.Set(Shared(std::move(targets)));
  EXPECT_EQ(replaced.added, target_list{Target(kFleet)});
  ASSERT_EQ(replaced.removed.size(), 1U);
  EXPECT_TRUE(directory.Set(directory.targets()).empty());
  EXPECT_EQ(directory.hosts(), kFleet);
}

// Guards against a stale index: a call to an address that another target has
// taken over.
TEST(TargetChangesTest, FindsTargetsByIdAndAddress) {
  target_directory directory;
  (void)directory.Set(Shared({Target(3), Target(1), Target(2)}));
  ASSERT_NE(directory.Find("i-2"), nullptr);
  EXPECT_EQ(*directory.Find("i-2"), Target(2));
  EXPECT_EQ(directory.Find("i-4"), nullptr);
  target_entry moved = Target(2);
  moved.address = Target(1).address;
  (void)directory.Set(Shared({moved, Target(3)}));
  EXPECT_EQ(directory.At(Target(1).address.ip).size(), 1U);
  EXPECT_EQ(directory.At(Target(1).address.ip)[0]->id, "i-2");
  EXPECT_TRUE(directory.At(Target(2).address.ip).empty());
  EXPECT_TRUE(directory.IsListed(Target(1).address));
  EXPECT_FALSE(directory.IsListed(Target(2).address));
}

// Guards against work that grows with the square of the fleet, which ends this
// test by its time limit: a new list took a comparison of all targets with all.
TEST(TargetChangesTest, AFleetThatLeavesOneByOneIsLinearWork) {
  const target_list fleet = Fleet();
  balancer placing({.data_centre = "waw-a"});
  target_list_changes added;
  for (const target_entry& each : fleet) {
    added.updated.push_back({.vm = each.id, .data_centre = each.data_centre});
  }
  const time_point now{seconds(1000)};
  placing.UpdateTargets(added, now);
  EXPECT_EQ(placing.usable(now), kFleet);
  for (std::size_t i = 0; i < kFleet / 2; ++i) {
    placing.UpdateTargets({.updated = {}, .removed = {fleet[i].id}}, now);
  }
  EXPECT_EQ(placing.usable(now), kFleet - kFleet / 2);
  EXPECT_FALSE(placing.RefOf(fleet[0].id).has_value());
  EXPECT_TRUE(placing.RefOf(fleet[kFleet - 1].id).has_value());
}

}  // namespace
}  // namespace pistachioweir
