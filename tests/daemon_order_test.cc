// The order of daemons, and what of it a change of the list touches.
#include "include/route/daemon_order.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace pistachioweir {
namespace {

daemon_location LocationOf(int number) {
  return {.ip = "10.0.0." + std::to_string(number), .data_centre = "waw-a"};
}

std::vector<std::string> IpsOf(const daemon_order& order) {
  std::vector<std::string> ips;
  for (const ordered_daemon& each : order.daemons()) {
    ips.push_back(each.location.ip);
  }
  return ips;
}

// Guards against daemons whose orders differ because they heard of the targets
// in other steps: reports could go in a cycle.
RC_GTEST_PROP(DaemonOrderTest, DependsOnTheListAloneAndNotOnItsHistory, ()) {
  daemon_order updated;
  std::map<int, int> targets;  // Beside each daemon.
  const auto steps = *rc::gen::container<std::vector<std::pair<int, bool>>>(
      rc::gen::pair(rc::gen::inRange(0, 20), rc::gen::arbitrary<bool>()));
  for (const auto& [number, joins] : steps) {
    const std::vector<daemon_target> one{{.location = LocationOf(number)}};
    if (joins) {
      updated.Update({}, one);
      ++targets[number];
    } else if (targets[number] > 0) {
      updated.Update(one, {});
      --targets[number];
    }
  }
  std::vector<daemon_location> all;
  for (const auto& [number, count] : targets) {
    all.insert(all.end(), count, LocationOf(number));
  }
  RC_ASSERT(IpsOf(updated) == IpsOf(daemon_order(all)));
  for (const ordered_daemon& each : updated.daemons()) {
    RC_ASSERT(each.targets > 0U);
  }
}

// A daemon beside two targets stays while one of them does, and is ready while
// one of them is.
TEST(DaemonOrderTest, ADaemonStaysWithItsLastTarget) {
  daemon_order order({LocationOf(1), LocationOf(1)});
  const daemon_target ready{.location = LocationOf(1)};
  const daemon_target leaving{.location = LocationOf(1), .is_ready = false};
  order.Update({ready}, {leaving});
  ASSERT_EQ(order.daemons().size(), 1U);
  EXPECT_EQ(order.daemons()[0].ready, 1U);
  order.Update({ready}, {});
  ASSERT_EQ(order.daemons().size(), 1U);
  EXPECT_EQ(order.daemons()[0].ready, 0U);
  order.Update({leaving}, {});
  EXPECT_TRUE(order.daemons().empty());
}

}  // namespace
}  // namespace pistachioweir
