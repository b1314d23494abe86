// Tests of the gossip's logic among some dozens of nodes on a virtual clock,
// under the faults of a network and of the platform.
#include "tools/gossip_fleet.h"

#include <gtest/gtest.h>

#include <vector>

namespace pistachioweir {
namespace {

constexpr std::size_t kNodes = 60;
constexpr std::size_t kServices = 6;
constexpr seconds kFiveSeconds{5};

class gossip_fleet_test : public testing::Test {
 protected:
  gossip_fleet_test()
      : fleet_({.nodes = kNodes, .services = kServices, .seed = 20261202}) {
    fleet_.RunFor(seconds(60));
  }

  void ExpectAllKnow(std::size_t service, std::uint64_t version) {
    for (std::size_t i = 0; i < kNodes; ++i) {
      EXPECT_EQ(fleet_.KnownVersion(i, service), version) << "node " << i;
      if (fleet_.Wants(i, service)) {
        EXPECT_EQ(fleet_.VersionInForce(i, service), version) << "node " << i;
      }
    }
  }

  [[nodiscard]] std::uint64_t Deaths() const {
    std::uint64_t deaths = 0;
    for (std::size_t i = 0; i < kNodes; ++i) {
      deaths += fleet_.node(i).counters().deaths_declared;
    }
    return deaths;
  }

  void Restart(std::size_t node) {
    fleet_.Kill(node);
    fleet_.Restart(node);
  }

  // A third of each service.
  void RestartThird() {
    for (std::size_t i = 0; i < kNodes; ++i) {
      if (i / kServices % 3 == 0) {
        Restart(i);
      }
    }
  }

  gossip_fleet fleet_;
};

TEST_F(gossip_fleet_test, AChangeIsInForceEverywhereInFiveSeconds) {
  const std::uint64_t version = fleet_.PublishManifest(0);
  fleet_.RunFor(kFiveSeconds);
  ExpectAllKnow(0, version);
}

TEST_F(gossip_fleet_test, IdleFleetStaysFarBelowTheBudget) {
  const gossip_fleet_counters before = fleet_.counters();
  fleet_.RunFor(seconds(20));
  const std::uint64_t bytes = fleet_.counters().bytes - before.bytes;
  EXPECT_LT(bytes / 20 / kNodes, 1000U);
  EXPECT_EQ(Deaths(), 0U);
}

// A fleet starts all at once. Its announcements used up every daemon's budget,
// so replies were left out, healthy peers looked dead, and the rumours of that
// kept the budget used up: callers lost good targets for as long as it lasted.
TEST_F(gossip_fleet_test, AStormOfNewsDoesNotMakeHealthyPeersLookDead) {
  RestartThird();
  fleet_.RunFor(seconds(60));
  EXPECT_EQ(Deaths(), 0U);
  const gossip_fleet_counters before = fleet_.counters();
  fleet_.RunFor(seconds(20));
  EXPECT_LT((fleet_.counters().bytes - before.bytes) / 20 / kNodes, 1000U);
}

// A tenth of the datagrams is lost on the way.
TEST_F(gossip_fleet_test, LossDelaysButDoesNotStopAChange) {
  fleet_.SetLoss(0.1);
  const std::uint64_t version = fleet_.PublishManifest(1);
  fleet_.RunFor(kFiveSeconds);
  ExpectAllKnow(1, version);
}

// A faulty switch sends datagrams twice, the second seconds later: old news
// comes after newer news.
TEST_F(gossip_fleet_test, DoubledAndLateDatagramsBringNothingBack) {
  fleet_.SetDoubling(0.5, seconds(7));
  fleet_.PublishManifest(0);
  fleet_.Leave(5);
  fleet_.RunFor(kFiveSeconds);
  const std::uint64_t version = fleet_.PublishManifest(0);
  fleet_.RunFor(seconds(30));
  ExpectAllKnow(0, version);
  for (std::size_t i = 0; i < kNodes; ++i) {
    const auto believed = fleet_.Believes(i, 5);
    EXPECT_TRUE(i == 5 || !believed || *believed == member_state::kLeaving);
  }
  const gossip_fleet_counters before = fleet_.counters();
  fleet_.RunFor(seconds(20));
  EXPECT_LT((fleet_.counters().bytes - before.bytes) / 20 / kNodes, 1000U);
}

// The platform can't be reached. A version that one daemon has read before must
// still reach all.
TEST_F(gossip_fleet_test, AChangeSpreadsWhileThePlatformIsDown) {
  fleet_.SetPlatformUp(false);
  fleet_.RunFor(seconds(30));
  const std::uint64_t version = fleet_.PublishManifest(2);
  fleet_.TellOf(4, 2, version);
  fleet_.RunFor(kFiveSeconds);
  ExpectAllKnow(2, version);
}

// The platform serves what it served an hour ago, and a third of the VMs is
// replaced. None of them may act on the older manifest.
TEST_F(gossip_fleet_test, RestartedDaemonsDoNotFallBackToAStalePlatform) {
  fleet_.SetPlatformStale(true);
  const std::uint64_t version = fleet_.PublishManifest(0);
  fleet_.TellOf(1, 0, version);
  fleet_.RunFor(kFiveSeconds);
  RestartThird();
  for (int step = 0; step < 200; ++step) {
    fleet_.RunFor(milliseconds(50));
    for (std::size_t i = 0; i < kNodes; ++i) {
      if (fleet_.IsReady(i) && fleet_.Wants(i, 0)) {
        ASSERT_EQ(fleet_.VersionInForce(i, 0), version) << "node " << i;
      }
    }
  }
  for (std::size_t i = 0; i < kNodes; ++i) {
    EXPECT_TRUE(fleet_.IsReady(i)) << "node " << i;
  }
}

// The same, and a tenth of the datagrams is lost: a newcomer that compares
// versions with few peers runs out of patience before it knows all.
TEST(GossipLossTest, RestartedDaemonsDoNotFallBackUnderLoss) {
  constexpr std::size_t kMany = 200;
  constexpr std::size_t kAll = 10;
  gossip_fleet fleet({.nodes = kMany, .services = kAll, .seed = 1});
  fleet.RunFor(seconds(60));
  fleet.SetLoss(0.1);
  fleet.SetPlatformStale(true);
  std::vector<std::uint64_t> newest;
  newest.reserve(kAll);
  for (std::size_t service = 0; service < kAll; ++service) {
    newest.push_back(fleet.PublishManifest(service));
    fleet.TellOf(service, service, newest.back());
  }
  fleet.RunFor(seconds(20));
  for (std::size_t i = 0; i < kMany; i += 3) {
    fleet.Kill(i);
    fleet.Restart(i);
  }
  for (int step = 0; step < 300; ++step) {
    fleet.RunFor(milliseconds(50));
    for (std::size_t i = 0; i < kMany; i += 3) {
      const std::size_t own = fleet.ServiceOf(i);
      if (fleet.IsReady(i)) {
        ASSERT_EQ(fleet.VersionInForce(i, own), newest[own]) << "node " << i;
      }
    }
  }
}

// All VMs of a service are replaced while the platform is stale. Other daemons
// still know that a newer manifest was accepted, but none has the document:
// the service waits for the platform rather than bring the old rules back.
TEST_F(gossip_fleet_test, AServiceThatRestartsWholeWaitsForItsManifest) {
  fleet_.SetPlatformStale(true);
  const std::uint64_t version = fleet_.PublishManifest(0);
  fleet_.TellOf(6, 0, version);
  fleet_.RunFor(kFiveSeconds);
  for (std::size_t i = 0; i < kNodes; i += kServices) {
    Restart(i);
  }
  fleet_.RunFor(seconds(30));
  for (std::size_t i = 0; i < kNodes; i += kServices) {
    EXPECT_FALSE(fleet_.IsReady(i)) << "node " << i;
  }
  fleet_.SetPlatformStale(false);
  fleet_.RunFor(seconds(120));
  for (std::size_t i = 0; i < kNodes; i += kServices) {
    EXPECT_TRUE(fleet_.IsReady(i)) << "node " << i;
    EXPECT_EQ(fleet_.VersionInForce(i, 0), version) << "node " << i;
  }
}

// Two regions lose each other; one side learns of a change. Within seconds of
// the healing the other side has it, and neither declared the other dead.
TEST_F(gossip_fleet_test, APartitionHealsByItself) {
  fleet_.SetCut([this](std::size_t a, std::size_t b) {
    return fleet_.RegionOf(a) != fleet_.RegionOf(b);
  });
  fleet_.RunFor(seconds(120));
  fleet_.SetPlatformStale(true);
  std::size_t teller = 0;
  while (fleet_.RegionOf(teller) != 0) {
    ++teller;
  }
  const std::uint64_t version = fleet_.PublishManifest(3);
  fleet_.TellOf(teller, 3, version);
  fleet_.RunFor(kFiveSeconds);
  fleet_.SetCut(nullptr);
  fleet_.RunFor(seconds(15));
  ExpectAllKnow(3, version);
  EXPECT_EQ(Deaths(), 0U);
}

// Datagrams from one VM to another vanish, while the way back works. The first
// hears nothing of its exchanges, but others do: the second isn't dead.
TEST_F(gossip_fleet_test, LossInOneDirectionIsNotADeath) {
  fleet_.SetCut([](std::size_t from, std::size_t to) {
    return from == 7 && to % 4 == 1;
  });
  fleet_.RunFor(seconds(60));
  EXPECT_EQ(Deaths(), 0U);
}

// A service calls no other and is called by none, so that no list that its
// daemons need names any other daemon. With the platform down, a change must
// reach it all the same.
TEST(GossipIslandTest, AServiceWithoutCallsHearsOfChanges) {
  // The fake has eleven layers of services; the twelfth and later stand alone.
  gossip_fleet fleet({.nodes = 60, .services = 15, .seed = 20261202});
  fleet.RunFor(seconds(60));
  fleet.SetPlatformUp(false);
  const std::uint64_t version = fleet.PublishManifest(14);
  fleet.TellOf(0, 14, version);
  fleet.RunFor(seconds(10));
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    EXPECT_EQ(fleet.KnownVersion(i, 14), version) << "node " << i;
  }
}

TEST_F(gossip_fleet_test, ALeavingVmIsKnownToItsCallersInThreeSeconds) {
  fleet_.Leave(10);
  fleet_.RunFor(seconds(3));
  for (std::size_t i = 0; i < kNodes; ++i) {
    const auto believed = fleet_.Believes(i, 10);
    EXPECT_TRUE(i == 10 || !believed || *believed == member_state::kLeaving);
  }
}

TEST_F(gossip_fleet_test, AKilledVmIsDeadToItsCallersInTenSeconds) {
  fleet_.Kill(10);
  fleet_.RunFor(seconds(10));
  for (std::size_t i = 0; i < kNodes; ++i) {
    const auto believed = fleet_.Believes(i, 10);
    EXPECT_TRUE(i == 10 || !believed || *believed == member_state::kDead);
  }
  fleet_.Restart(10);
  fleet_.RunFor(seconds(15));
  for (std::size_t i = 0; i < kNodes; ++i) {
    const auto believed = fleet_.Believes(i, 10);
    EXPECT_TRUE(i == 10 || !believed || *believed == member_state::kLive);
  }
}

TEST_F(gossip_fleet_test, ABlobReachesAllAndExpires) {
  fleet_.Announce(0, {.id = "q1", .bytes = "x", .remaining = seconds(20)});
  fleet_.RunFor(kFiveSeconds);
  for (std::size_t i = 0; i < kNodes; ++i) {
    EXPECT_EQ(fleet_.node(i).Blobs(fleet_.now()).size(), 1U) << "node " << i;
  }
  fleet_.RunFor(seconds(30));
  for (std::size_t i = 0; i < kNodes; ++i) {
    EXPECT_TRUE(fleet_.node(i).Blobs(fleet_.now()).empty()) << "node " << i;
  }
}

}  // namespace
}  // namespace pistachioweir
