// One node of the gossip: what it passes on to its owner.
#include "include/fleet/gossip_node.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

#include "include/fleet/manifest_store.h"

namespace pistachioweir {
namespace {

const time_point kStart{seconds(1000)};

member_news NewsOf(const std::string& vm, std::uint64_t incarnation) {
  return {.vm = vm,
          .service = "a",
          .data_centre = "dc",
          .region = "r",
          .peer = {.ip = "127.0.0.1",
                   .port = static_cast<std::uint16_t>(incarnation)},
          .incarnation = incarnation_id{incarnation}};
}

// Three daemons start. One of them learns of a second from a sample that the
// third sends along, since rumours of the second's start all went to the third.
// When the second one then speaks to it, that is no first contact any more. A
// node that keeps this from its owner leaves the second daemon without a known
// start in the list of targets for as long as both run: what it says of itself
// later, that it leaves for instance, can't be told from news of an older
// start.
TEST(GossipNodeTest, ASenderKnownFromASampleIsToldToTheOwner) {
  manifest_store manifests("a");
  gossip_node node({.self = NewsOf("vm-0", 100)}, manifests, 1);
  const member_news second = NewsOf("vm-2", 102);
  node.Receive({.kind = gossip_kind::kRumour,
                .sender = NewsOf("vm-1", 101),
                .samples = {second}},
               kStart);
  static_cast<void>(node.TakeNews());
  node.Receive({.kind = gossip_kind::kRumour, .sender = second}, kStart);
  const auto news = node.TakeNews();
  EXPECT_TRUE(std::ranges::count(news, second) > 0);
}

}  // namespace
}  // namespace pistachioweir
