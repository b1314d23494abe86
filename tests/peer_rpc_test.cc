// Tests of what daemons ask each other by JSON-RPC.
#include "src/fleet/peer_rpc.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

#include "src/fleet/held_documents.h"

namespace pistachioweir {
namespace {

peer_rpc_sources Sources() {
  return {.document =
              [](const manifest_version& wanted) {
                return wanted.service == "a" && wanted.version <= 7
                           ? std::make_shared<const std::string>("{\"x\": 1}")
                           : nullptr;
              },
          .targets =
              [](const std::string& service) {
                return std::vector<fleet_target>{
                    {.vm = service + "-1",
                     .data_centre = "dc",
                     .region = "r",
                     .peer = {.ip = "127.0.0.1", .port = 7003},
                     .state = member_state::kLeaving}};
              }};
}

TEST(PeerRpcTest, GivesDocumentsAndTargets) {
  peer_rpc_server server(Sources());
  EXPECT_EQ(ReadDocumentAnswer(
                server.Handle(DocumentRequest({.service = "a", .version = 7}))),
            "{\"x\": 1}");
  const auto targets = ReadTargetsAnswer(server.Handle(TargetsRequest("b")));
  ASSERT_TRUE(targets);
  ASSERT_EQ(targets->size(), 1U);
  EXPECT_EQ(targets->front().vm, "b-1");
  EXPECT_EQ(targets->front().state, member_state::kLeaving);
}

// The peer that a rumour names has been replaced meanwhile.
TEST(PeerRpcTest, ADocumentThatIsNotHeldIsNothing) {
  peer_rpc_server server(Sources());
  EXPECT_FALSE(ReadDocumentAnswer(
      server.Handle(DocumentRequest({.service = "a", .version = 8}))));
  EXPECT_FALSE(ReadDocumentAnswer("<html>"));
  EXPECT_FALSE(ReadDocumentAnswer("[]"));
}

// Anything may be sent to the port. The daemon must answer with an error, not
// fall over.
TEST(PeerRpcTest, MalformedRequestsGetAnError) {
  peer_rpc_server server(Sources());
  const std::string deep(3000, '[');
  for (const std::string& request :
       {std::string(), std::string("{"), std::string("null"),
        std::string("[1]"), std::string("{\"jsonrpc\":\"2.0\",\"id\":1}"),
        std::string("{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"manifest\","
                    "\"params\":[7]}"),
        deep, std::string(100000, 'x')}) {
    EXPECT_NE(server.Handle(request).find("error"), std::string::npos)
        << request.substr(0, 60);
  }
}

RC_GTEST_PROP(PeerRpcTest, RandomRequestsDoNoHarm, (const std::string& bytes)) {
  peer_rpc_server server(Sources());
  RC_ASSERT(!server.Handle(bytes).empty());
}

// Hundreds of daemons pull one document from its first holder at once; beyond
// the bound they are sent to others.
TEST(HeldDocumentsTest, GivesABoundedNumberASecond) {
  const time_point start = time_point() + std::chrono::hours(1);
  const manifest_version version = {.service = "a", .version = 2};
  held_documents held;
  held.Keep(version, std::make_shared<const std::string>("text"));
  std::uint32_t given = 0;
  for (int i = 0; i < 200; ++i) {
    given += held.Give(version, start) != nullptr ? 1 : 0;
  }
  EXPECT_EQ(given, held_documents::kMaxPerSecond);
  EXPECT_NE(held.Give(version, start + seconds(1)), nullptr);
}

}  // namespace
}  // namespace pistachioweir
