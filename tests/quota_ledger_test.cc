// Quotas enforced jointly by daemons, on a model of a fleet with a virtual
// clock.
#include "include/quota/quota_ledger.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "include/quota/usage_tree.h"
#include "include/retry/ranked_repeat_budget.h"
#include "include/route/daemon_order.h"
#include "src/peer/peer_frame.h"
#include "src/peer/quota_frame.h"
#include "tools/quota_fleet.h"

namespace pistachioweir {
namespace {

using fleet = quota_fleet<common_level_rule>;

constexpr milliseconds kWindow{5000};

// Maximum number of requests admitted in a window of five seconds: a quarter
// above the quota, and 20 more.
double Allowed(double rate, double burst) {
  return (rate * 5 + burst) * 1.25 + 20;
}

class quota_fleet_test : public testing::TestWithParam<std::size_t> {
 protected:
  fleet Make(double rate) {
    return fleet({.daemons = GetParam(), .rate = rate, .burst = rate});
  }
};

TEST_P(quota_fleet_test, AnOrganisationWithinItsQuotaIsNotRefused) {
  for (const double rate : {20.0, 400.0}) {
    fleet all = Make(rate);
    all.Run(seconds(6), 0.5 * rate);
    all.ClearCounts();
    all.Run(seconds(20), 0.8 * rate);
    EXPECT_LT(all.falsely_refused(), 0.005) << rate;
  }
}

// Guards against limits that refuse callers who send to only a few daemons.
TEST_P(quota_fleet_test, UnevenCallersGetTheWholeQuota) {
  fleet all({.daemons = GetParam(), .rate = 100, .burst = 100, .spread = 0.1});
  all.Run(seconds(6), 60);
  all.ClearCounts();
  all.Run(seconds(20), 80);
  EXPECT_LT(all.falsely_refused(), 0.005);
}

TEST_P(quota_fleet_test, ASurgeIsLimitedToTheQuota) {
  fleet all = Make(200);
  all.Run(seconds(6), 120);
  all.Run(seconds(4), 1000);
  EXPECT_LT(static_cast<double>(all.MostWithin(kWindow)), Allowed(200, 200));
  all.ClearCounts();
  all.Run(seconds(10), 1000);
  EXPECT_GT(static_cast<double>(all.admitted()), 0.95 * 200 * 10);
  EXPECT_LT(static_cast<double>(all.admitted()), 1.1 * 200 * 10);
}

// Guards against callers who are refused long after the end of a surge.
TEST_P(quota_fleet_test, AfterASurgeCallersAreServedAgain) {
  fleet all = Make(200);
  all.Run(seconds(6), 120);
  all.Run(seconds(4), 1000);
  all.Run(seconds(2), 120);
  all.ClearCounts();
  all.Run(seconds(5), 120);
  EXPECT_EQ(all.refused(), 0U);
}

// Guards against network partitions of the fleet that use the whole quota each.
TEST_P(quota_fleet_test, PartitionsKeepTheQuotaTogether) {
  for (const bool one_by_one : {false, true}) {
    fleet all = Make(200);
    all.Run(seconds(6), 120);
    all.Run(seconds(2), 1000);
    one_by_one ? all.Isolate(1.0 / 3) : all.Cut(1.0 / 3);
    all.Run(seconds(8), 1000);
    EXPECT_LT(static_cast<double>(all.MostWithin(kWindow)), Allowed(200, 200));
    all.Heal();
    all.Run(seconds(8), 1000);
    EXPECT_LT(static_cast<double>(all.MostWithin(kWindow)), Allowed(200, 200));
  }
}

// Guards against a restart of all daemons, none of which knows what was spent,
// so that each admits a new burst.
TEST_P(quota_fleet_test, ARestartOfAllGrantsNoNewBurst) {
  fleet all = Make(200);
  all.Run(seconds(6), 120);
  all.Run(seconds(3), 1000);
  all.RestartAll();
  all.Run(seconds(6), 1000);
  EXPECT_LT(static_cast<double>(all.MostWithin(kWindow)), Allowed(200, 200));
}

TEST_P(quota_fleet_test, ALowerLimitTakesEffectWithinAWindow) {
  fleet all = Make(200);
  all.Run(seconds(6), 120);
  all.SetRate(30, 30);
  all.Run(kWindow, 120);
  all.ClearCounts();
  all.Run(seconds(10), 120);
  EXPECT_LT(static_cast<double>(all.MostWithin(kWindow)), Allowed(30, 30));
  EXPECT_GT(static_cast<double>(all.admitted()), 0.95 * 30 * 10);
}

INSTANTIATE_TEST_SUITE_P(Fleets,
                         quota_fleet_test,
                         testing::Values(10, 60, 300));

TEST(QuotaLedgerTest, ARequestThatDidNotRunIsRefunded) {
  std::string problem;
  const auto table = *organisation_table::Make(
      {{.name = "north", .rate = 1, .burst = 5}}, &problem);
  quota_ledger<common_level_rule> ledger({});
  const organisation_id north = IdOfOrganisation("north");
  time_point now{seconds(100)};
  ledger.Configure(table, now);
  now += seconds(60);  // The bucket is full.
  int admitted = 0;
  for (int i = 0; i < 50; ++i) {
    if (ledger.Admit(north, 0.5, now).admitted) {
      ++admitted;
      ledger.Refund(north);
    }
  }
  EXPECT_GT(admitted, 5);
}

TEST(QuotaLedgerTest, WithoutALimitNothingIsRefused) {
  std::string problem;
  const auto table = *organisation_table::Make({{.name = "north"}}, &problem);
  quota_ledger<common_level_rule> ledger({});
  ledger.Configure(table, time_point());
  EXPECT_TRUE(ledger.empty());
  EXPECT_TRUE(
      ledger.Admit(IdOfOrganisation("north"), 1, time_point()).admitted);
}

// Guards against daemons that report to each other in a cycle.
TEST(UsageTreeTest, EveryDaemonReportsToAPredecessorAndOneIsRoot) {
  std::vector<std::string> ips;
  ips.reserve(300);
  for (int i = 0; i < 300; ++i) {
    ips.push_back("10.0." + std::to_string(i / 200) + "." +
                  std::to_string(i % 200));
  }
  const daemon_order order = daemon_order::InOneDataCentre(ips);
  const time_point now{seconds(100)};
  const auto parent_of = [&](const std::string& ip) {
    usage_tree tree({.self = ip});
    tree.SetDaemons(order);
    return tree.Parent(now);
  };
  int first = 0;
  for (const std::string& ip : ips) {
    int steps = 0;
    std::optional<std::string> next = ip;
    while ((next = parent_of(*next))) {
      ASSERT_LT(++steps, 4);
    }
    first += steps == 0 ? 1 : 0;
  }
  EXPECT_EQ(first, 1);
}

// The tree of a fleet in several data centres.
class divided_tree {
 public:
  divided_tree(std::size_t daemons, std::size_t data_centres) {
    for (std::size_t i = 0; i < daemons; ++i) {
      locations_.push_back({.ip = "10.0." + std::to_string(i / 200) + "." +
                                  std::to_string(i % 200),
                            .data_centre = std::to_string(i % data_centres)});
    }
    const daemon_order order(locations_);
    for (const daemon_location& each : locations_) {
      usage_tree tree({.self = each.ip, .data_centre = each.data_centre});
      tree.SetDaemons(order);
      parents_[each.ip] = tree.Parent(time_point(seconds(100)));
      data_centres_[each.ip] = each.data_centre;
    }
  }

  [[nodiscard]] int roots() const {
    return static_cast<int>(std::ranges::count_if(
        parents_, [](const auto& each) { return !each.second; }));
  }
  [[nodiscard]] int ReportsAcrossDataCentres() const {
    return static_cast<int>(
        std::ranges::count_if(parents_, [&](const auto& each) {
          return each.second &&
                 data_centres_.at(each.first) != data_centres_.at(*each.second);
        }));
  }
  // Of reports on the way to the root.
  [[nodiscard]] int levels() const {
    int most = 0;
    for (const auto& [ip, parent] : parents_) {
      int steps = 0;
      for (auto next = parent; next && steps < 100; ++steps) {
        next = parents_.at(*next);
      }
      most = std::max(most, steps);
    }
    return most;
  }
  [[nodiscard]] std::size_t MostChildren() const {
    std::map<std::string, std::size_t> children;
    for (const auto& [ip, parent] : parents_) {
      if (parent) {
        ++children[*parent];
      }
    }
    return std::ranges::max_element(
               children, {}, [](const auto& each) { return each.second; })
        ->second;
  }

 private:
  std::vector<daemon_location> locations_;
  std::map<std::string, std::optional<std::string>> parents_;
  std::map<std::string, std::string> data_centres_;
};

// Guards against reports that nearly all go to other data centres, and against
// levels that tokens don't survive.
TEST(UsageTreeTest, ALargeFleetReportsOnceForEachDataCentre) {
  const std::pair<std::size_t, std::size_t> sizes[] = {
      {300, 3}, {984, 5}, {2000, 5}};
  for (const auto& [daemons, data_centres] : sizes) {
    const divided_tree tree(daemons, data_centres);
    EXPECT_EQ(tree.roots(), 1) << daemons;
    EXPECT_EQ(tree.ReportsAcrossDataCentres(), data_centres - 1) << daemons;
    EXPECT_LE(tree.levels(), ranked_repeat_budget::kTreeLevels) << daemons;
    EXPECT_LE(tree.MostChildren(), 64 + data_centres) << daemons;
  }
}

// Guards against a level more of reports where a fleet is small.
TEST(UsageTreeTest, ASmallFleetReportsToOneDaemon) {
  const divided_tree tree(60, 3);
  EXPECT_EQ(tree.roots(), 1);
  EXPECT_EQ(tree.levels(), 1);
}

// Guards against daemons that keep reporting to a parent that is gone.
TEST(UsageTreeTest, AnUnresponsiveParentIsReplaced) {
  usage_tree tree({.self = "10.0.0.3"});
  tree.SetDaemons(daemon_order::InOneDataCentre(
      {"10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4", "10.0.0.5"}));
  time_point now{seconds(100)};
  const auto before = tree.Parent(now);
  for (int i = 0; i < 4; ++i) {
    now += milliseconds(250);
    static_cast<void>(tree.Parent(now));
  }
  const auto after = tree.Parent(now);
  EXPECT_TRUE(!before || after != before);
}

TEST(QuotaFrameTest, FramesRoundTrip) {
  const usage_frame usage{.number = 7,
                          .report = {.daemons = 3,
                                     .entries = {{.id = organisation_id{9},
                                                  .admitted = -2,
                                                  .refused = 40}}}};
  const quota_frame quota{.number = 8,
                          .report = {.daemons = 60,
                                     .entries = {{.id = organisation_id{9},
                                                  .level = -12.5,
                                                  .demand = 1234.25}}}};
  const std::string usage_bytes = Encode(usage).substr(kFrameHeadBytes);
  const std::string quota_bytes = Encode(quota).substr(kFrameHeadBytes);
  ASSERT_TRUE(DecodeUsage(usage_bytes).has_value());
  EXPECT_EQ(DecodeUsage(usage_bytes)->report, usage.report);
  ASSERT_TRUE(DecodeQuota(quota_bytes).has_value());
  EXPECT_EQ(DecodeQuota(quota_bytes)->report, quota.report);
  for (std::size_t length = 0; length < usage_bytes.size(); ++length) {
    EXPECT_FALSE(DecodeUsage(usage_bytes.substr(0, length)).has_value());
  }
}

}  // namespace
}  // namespace pistachioweir
