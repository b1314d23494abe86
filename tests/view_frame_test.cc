// A view as a frame: what is written can be read, and nothing else can.
#include "src/peer/view_frame.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "src/peer/peer_frame.h"

namespace pistachioweir {
namespace {

told_view Told(std::uint64_t revision, std::size_t targets) {
  auto config = std::make_shared<service_config>();
  config->version = 12;
  config->services = {{"registry", {.max_connections = 358}}, {"archive", {}}};
  config->limits = {.max_head_bytes = 8192,
                    .max_body_bytes = 1000000,
                    .head_timeout = milliseconds(3000),
                    .idle_timeout = milliseconds(15000)};
  std::string problem;
  config->routes =
      *route_table::Make({{.name = "look",
                           .host = "a.example",
                           .prefix = "/look/",
                           .repeats = repeat_policy::kIdempotent,
                           .timeout = milliseconds(1000),
                           .latency_objective = milliseconds(300),
                           .max_targets = 2,
                           .rank = 3,
                           .parts = {{.service = "registry", .weight = 90},
                                     {.service = "archive", .weight = 10}}},
                          {.name = "sign",
                           .host = "a.example",
                           .prefix = "/sign/",
                           .parts = {{.service = "registry"}}}},
                         &problem);
  auto view = std::make_shared<service_view>();
  view->config = config;
  view->targets_version = 7;
  for (std::size_t i = 0; i < targets; ++i) {
    view->targets.push_back(
        {.id = "target-" + std::to_string(i),
         .start = incarnation_id{1000 + i},
         .service = "registry",
         .address = {.ip = "10.0.0." + std::to_string(i), .port = 8301},
         .data_centre = "waw-a",
         .slots = 43,
         .state = i % 2 == 0 ? target_state::kReady : target_state::kLeaving,
         .warm_up_left = milliseconds(i)});
  }
  return {.revision = revision, .age = milliseconds(1500), .view = view};
}

std::string PayloadOf(const std::string& frame) {
  frame_view read;
  EXPECT_EQ(NextFrame(frame, frame.size(), &read), frame_state::kWhole);
  EXPECT_EQ(read.kind, frame_kind::kView);
  return std::string(read.payload);
}

TEST(ViewFrameTest, IsReadAsItWasWritten) {
  const told_view told = Told(99, 5);
  const auto read = DecodeView(PayloadOf(Encode(told)));
  ASSERT_TRUE(read.has_value());
  EXPECT_EQ(read->revision, 99U);
  EXPECT_EQ(read->age, milliseconds(1500));
  EXPECT_EQ(read->view->targets, told.view->targets);
  EXPECT_EQ(read->view->targets_version, 7U);
  const service_config& config = *read->view->config;
  EXPECT_EQ(config.version, 12U);
  EXPECT_EQ(config.limits, told.view->config->limits);
  EXPECT_EQ(config.services.at("registry").max_connections, 358U);
  EXPECT_EQ(config.services.size(), 2U);
  const route* const look = config.routes.Find("a.example", "/look/1");
  ASSERT_NE(look, nullptr);
  EXPECT_EQ(look->repeats, repeat_policy::kIdempotent);
  EXPECT_EQ(look->timeout, milliseconds(1000));
  EXPECT_EQ(look->latency_objective, milliseconds(300));
  EXPECT_EQ(look->max_targets, 2U);
  EXPECT_EQ(look->rank, 3U);
  EXPECT_EQ(look->parts, told.view->config->routes.routes()[0].parts);
  EXPECT_NE(config.routes.Find("a.example", "/sign/1"), nullptr);
}

// A daemon that has read nothing has nothing to tell; bytes that say so come
// from something that isn't right.
TEST(ViewFrameTest, AViewWithoutARevisionIsRefused) {
  EXPECT_FALSE(DecodeView(PayloadOf(Encode(Told(0, 1)))).has_value());
}

TEST(ViewFrameTest, CutShortOrWithMoreBehindItIsRefused) {
  const std::string payload = PayloadOf(Encode(Told(5, 3)));
  for (std::size_t length = 0; length < payload.size(); ++length) {
    EXPECT_FALSE(DecodeView(payload.substr(0, length)).has_value()) << length;
  }
  EXPECT_FALSE(DecodeView(payload + '\0').has_value());
}

// One byte of the frame is changed on the way: it is refused or read as
// something whole, and never more than its bytes can hold.
RC_GTEST_PROP(ViewFrameTest, AnyBytesAreReadOrRefused, ()) {
  std::string payload = PayloadOf(Encode(Told(5, 3)));
  const auto place = *rc::gen::inRange<std::size_t>(0, payload.size());
  payload[place] = *rc::gen::arbitrary<char>();
  const auto read = DecodeView(payload);
  if (read) {
    RC_ASSERT(read->view->config != nullptr);
    RC_ASSERT(read->view->targets.size() <= payload.size());
  }
}

}  // namespace
}  // namespace pistachioweir
