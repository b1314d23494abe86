// Tests of what daemons send each other: codec and authentication.
#include "include/fleet/gossip_message.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

#include "src/fleet/datagram_seal.h"

namespace pistachioweir {
namespace {

gossip_message Sample() {
  const member_news news = {.vm = "vm-1",
                            .service = "contracts",
                            .data_centre = "waw-1",
                            .region = "pl",
                            .peer = {.ip = "127.0.0.1", .port = 7003},
                            .incarnation = incarnation_id{77},
                            .generation = 3,
                            .state = member_state::kLeaving};
  return {.kind = gossip_kind::kReply,
          .sequence = 12345,
          .sender = news,
          .has_history = true,
          .digest = 99,
          .versions = {{.version = {.service = "billing", .version = 7},
                        .holder = {.ip = "127.0.0.2", .port = 7003}}},
          .members = {news},
          .samples = {news},
          .blobs = {{.id = "q", .bytes = "b", .remaining = seconds(9)}},
          .buckets = {1, 2, 3}};
}

TEST(GossipMessageTest, SurvivesTheWire) {
  const gossip_message sent = Sample();
  const std::string bytes = Encode(sent);
  EXPECT_LE(bytes.size(), EncodedSize(sent));
  const auto got = DecodeGossip(bytes);
  ASSERT_TRUE(got);
  EXPECT_EQ(got->kind, sent.kind);
  EXPECT_EQ(got->sequence, sent.sequence);
  EXPECT_EQ(got->sender, sent.sender);
  EXPECT_EQ(got->versions[0].version, sent.versions[0].version);
  EXPECT_EQ(got->versions[0].holder, sent.versions[0].holder);
  EXPECT_EQ(got->members, sent.members);
  EXPECT_EQ(got->samples, sent.samples);
  EXPECT_EQ(got->blobs[0].bytes, "b");
  EXPECT_EQ(got->buckets, sent.buckets);
}

TEST(GossipMessageTest, CutMessagesAreRefused) {
  const std::string whole = Encode(Sample());
  for (std::size_t size = 0; size < whole.size(); ++size) {
    EXPECT_FALSE(DecodeGossip(std::string_view(whole).substr(0, size)));
  }
  EXPECT_FALSE(DecodeGossip(whole + "x"));
}

RC_GTEST_PROP(GossipMessageTest,
              RandomBytesAreRefused,
              (const std::string& bytes)) {
  RC_ASSERT(!DecodeGossip(bytes));
}

// Something on the network sends to the peer port: one datagram that passed
// for a daemon's could declare any target dead.
TEST(DatagramSealTest, ForgedAndAlteredDatagramsAreRefused) {
  const datagram_seal seal({"key"});
  const std::string sealed = seal.Seal("payload");
  ASSERT_EQ(seal.Open(sealed), "payload");
  for (std::size_t i = 0; i < sealed.size(); ++i) {
    std::string altered = sealed;
    altered[i] = static_cast<char>(altered[i] ^ 1);
    EXPECT_FALSE(seal.Open(altered));
  }
  EXPECT_FALSE(datagram_seal({"other"}).Open(sealed));
  EXPECT_FALSE(datagram_seal({}).Open(sealed));
  EXPECT_FALSE(seal.Open("short"));
}

// A key is changed daemon by daemon over an hour. If at any step two daemons
// couldn't read each other, each half would declare the other dead.
TEST(DatagramSealTest, KeysRotateWithoutASilentMoment) {
  const std::vector<datagram_seal> steps = {
      datagram_seal({"old"}), datagram_seal({"old", "new"}),
      datagram_seal({"new", "old"}), datagram_seal({"new"})};
  for (std::size_t i = 0; i + 1 < steps.size(); ++i) {
    EXPECT_TRUE(steps[i].Open(steps[i + 1].Seal("x")));
    EXPECT_TRUE(steps[i + 1].Open(steps[i].Seal("x")));
  }
}

}  // namespace
}  // namespace pistachioweir
