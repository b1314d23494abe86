// Tests of the admin port's pages.
#include "include/admin/admin_api.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <json/reader.h>
#include <json/value.h>
#include <rapidcheck/gtest.h>

#include <sstream>
#include <string>

namespace pistachioweir {
namespace {

using testing::HasSubstr;

daemon_status SampleStatus() {
  return {.vm = "mail-1",
          .incarnation = incarnation_id{0xfedcba9876543210},
          .service = "mail",
          .state = daemon_state::kReady,
          .queued = 4,
          .manifests = {{.service = "mail", .version = 7}},
          .targets = {{.service = "mail",
                       .vm = "mail-2",
                       .state = target_state::kLeaving}},
          .quarantines = {{.service = "mail", .method = "list"}}};
}

method_explanation SampleExplanation() {
  method_explanation explanation{.known = true,
                                 .retry_after = milliseconds(250)};
  explanation.refusals.counts[static_cast<int>(reason::kOverload)] = 9;
  explanation.refusals.last.push_back({.why = reason::kOverload,
                                       .retry_after = milliseconds(300),
                                       .vm = "mail-2"});
  return explanation;
}

admin_api SampleApi(const daemon_status& status = SampleStatus()) {
  return admin_api({
      .status = [=] { return status; },
      .audit =
          [](std::size_t max) {
            return std::vector<audit_event>(
                std::min<std::size_t>(max, 3),
                {.kind = audit_kind::kManifestAccepted, .subject = "mail"});
          },
      .explain = [](std::string_view,
                    std::string_view) { return SampleExplanation(); },
      .metrics = [] { return std::string("up 1\n"); },
  });
}

Json::Value Parse(const std::string& text) {
  Json::Value value;
  std::istringstream(text) >> value;
  return value;
}

TEST(AdminApiTest, HealthFollowsState) {
  daemon_status status = SampleStatus();
  EXPECT_EQ(SampleApi(status).Handle("GET", "/health").status, 200);
  for (const daemon_state state :
       {daemon_state::kStarting, daemon_state::kDraining,
        daemon_state::kStopping}) {
    status.state = state;
    const admin_response response = SampleApi(status).Handle("GET", "/health");
    EXPECT_EQ(response.status, 503);
    EXPECT_EQ(Parse(response.body)["state"].asString(),
              kDaemonStateNames.Name(state));
  }
}

TEST(AdminApiTest, StatusIsJson) {
  const admin_response response = SampleApi().Handle("GET", "/status");
  EXPECT_EQ(response.content_type, "application/json");
  const Json::Value value = Parse(response.body);
  EXPECT_EQ(value["vm"].asString(), "mail-1");
  EXPECT_EQ(value["incarnation"].asString(), "fedcba9876543210");
  EXPECT_EQ(value["queued"].asInt(), 4);
  EXPECT_EQ(value["manifests"][0]["version"].asInt(), 7);
  EXPECT_EQ(value["targets"][0]["state"].asString(), "leaving");
  EXPECT_EQ(value["quarantines"][0]["method"].asString(), "list");
}

TEST(AdminApiTest, AuditIsBoundedByMax) {
  EXPECT_EQ(Parse(SampleApi().Handle("GET", "/audit").body)["events"].size(),
            3U);
  const Json::Value events =
      Parse(SampleApi().Handle("GET", "/audit?max=1").body)["events"];
  ASSERT_EQ(events.size(), 1U);
  EXPECT_EQ(events[0]["kind"].asString(), "manifest_accepted");
  EXPECT_EQ(events[0]["at"].asString(), "1970-01-01T00:00:00.000Z");
  for (const char* max : {"-1", "x", "", "10001", "1x"}) {
    EXPECT_EQ(
        SampleApi().Handle("GET", std::string("/audit?max=") + max).status,
        400);
  }
}

TEST(AdminApiTest, ExplainSaysWhyAndWhenToComeBack) {
  const Json::Value value = Parse(
      SampleApi().Handle("GET", "/explain?service=mail&method=list").body);
  EXPECT_EQ(value["retry_after_ms"].asInt(), 250);
  ASSERT_EQ(value["reasons"].size(), 1U);
  EXPECT_EQ(value["reasons"][0]["count"].asInt(), 9);
  EXPECT_THAT(value["reasons"][0]["meaning"].asString(),
              HasSubstr("overloaded"));
  EXPECT_EQ(value["last"][0]["vm"].asString(), "mail-2");
  for (const char* query :
       {"", "?service=mail", "?service=mail&method=", "?service=a%20b&method=c",
        "?service=\"&method=x"}) {
    EXPECT_EQ(SampleApi().Handle("GET", std::string("/explain") + query).status,
              400);
  }
}

TEST(AdminApiTest, OnlyReadsOfKnownPages) {
  EXPECT_EQ(SampleApi().Handle("GET", "/metrics").body, "up 1\n");
  EXPECT_EQ(SampleApi().Handle("GET", "/").status, 404);
  EXPECT_EQ(SampleApi().Handle("GET", "").status, 404);
  for (const char* verb : {"POST", "PUT", "DELETE", "PATCH", ""}) {
    EXPECT_EQ(SampleApi().Handle(verb, "/status").status, 405);
  }
}

RC_GTEST_PROP(AdminApiTest, AnyTargetIsAnswered, (const std::string& target)) {
  const admin_response response =
      SampleApi().Handle("GET", "/explain" + target);
  RC_ASSERT(response.status >= 200 && response.status < 500);
}

}  // namespace
}  // namespace pistachioweir
