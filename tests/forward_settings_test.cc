// Parsing of the settings of a forwarding daemon.
#include "include/forward/forward_settings.h"

#include <gtest/gtest.h>

#include <string>

namespace pistachioweir {
namespace {

std::string With(const std::string& more) {
  return R"({"vm": "vm-1", "service": "registry", "data_centre": "waw-a",
    "caller": "10.0.0.1:1", "peer": "10.0.0.1:2", "ready": "10.0.0.1:3",
    "admin": "10.0.0.1:4", "target": "10.0.0.1:5",
    "platform": ["10.0.0.9:6"])" +
         more + "}";
}

TEST(ForwardSettingsTest, AFewDaemonsReadTheStoreByDefault) {
  const auto plain = ParseForwardSettings(With(""), "a.json");
  ASSERT_TRUE(plain.ok());
  EXPECT_EQ(plain.value.store_readers, reader_policy::kFew);
  const auto all =
      ParseForwardSettings(With(R"(, "store_readers": "all")"), "a.json");
  ASSERT_TRUE(all.ok());
  EXPECT_EQ(all.value.store_readers, reader_policy::kAll);
}

// Guards against a daemon that doesn't start with settings that contain
// fractions.
TEST(ForwardSettingsTest, RatesReservesAndMemoryMayBeFractions) {
  const auto parsed =
      ParseForwardSettings(With(R"(, "repeat_reserve": 21.627906976744185,
             "store_calls_per_second": 1395.35, "memory_mb": 160.5)"),
                           "a.json");
  ASSERT_TRUE(parsed.ok());
  EXPECT_DOUBLE_EQ(parsed.value.repeat_reserve, 21.627906976744185);
  EXPECT_DOUBLE_EQ(parsed.value.store_calls_per_second, 1395.35);
  EXPECT_DOUBLE_EQ(parsed.value.memory_mb, 160.5);
}

// Guards against a daemon that ties calls to requests without being told to.
TEST(ForwardSettingsTest, CallsHaveNoParentsUnlessASettingSaysSo) {
  const auto plain = ParseForwardSettings(With(""), "a.json");
  ASSERT_TRUE(plain.ok());
  EXPECT_EQ(plain.value.call_lineage, lineage_policy::kOff);
  const auto with = [](const std::string& value) {
    return ParseForwardSettings(With(R"(, "call_lineage": ")" + value + "\""),
                                "a.json")
        .value.call_lineage;
  };
  EXPECT_EQ(with("off"), lineage_policy::kOff);
  EXPECT_EQ(with("deadline"), lineage_policy::kDeadline);
  EXPECT_EQ(with("request_id"), lineage_policy::kRequestId);
}

// An operator misspells the value: the daemon must not start with a different
// policy than intended.
TEST(ForwardSettingsTest, AnUnknownPolicyIsAnErrorThatNamesItsPlace) {
  for (const std::string key : {"store_readers", "call_lineage"}) {
    for (const char* value : {"\"each\"", "7", "null"}) {
      const auto parsed =
          ParseForwardSettings(With(", \"" + key + "\": " + value), "a.json");
      ASSERT_EQ(parsed.errors.size(), 1U) << value;
      EXPECT_NE(parsed.errors[0].place.find(key), std::string::npos);
    }
  }
}

// Without lineage, no call is tied to a root and nothing would be limited,
// silently.
TEST(ForwardSettingsTest, AdmissionByCostNeedsLineage) {
  EXPECT_EQ(ParseForwardSettings(With(""), "a.json").value.entrance,
            entrance_policy::kResults);
  const auto alone =
      ParseForwardSettings(With(R"(, "entrance": "cost")"), "a.json");
  ASSERT_EQ(alone.errors.size(), 1U);
  EXPECT_NE(alone.errors[0].place.find("entrance"), std::string::npos);
  const auto both = ParseForwardSettings(
      With(R"(, "entrance": "cost", "call_lineage": "deadline")"), "a.json");
  ASSERT_TRUE(both.ok());
  EXPECT_EQ(both.value.entrance, entrance_policy::kCost);
}

// Guards against daemons that share repeats without having been told to.
TEST(ForwardSettingsTest, RepeatsAreSharedOnlyOnRequest) {
  const auto plain = ParseForwardSettings(With(""), "a.json");
  EXPECT_EQ(plain.value.repeat_sharing, repeat_sharing_policy::kLocal);
  const auto shared =
      ParseForwardSettings(With(R"(, "repeat_budget": "shared")"), "a.json");
  ASSERT_TRUE(shared.ok());
  EXPECT_EQ(shared.value.repeat_sharing, repeat_sharing_policy::kShared);
  EXPECT_FALSE(
      ParseForwardSettings(With(R"(, "repeat_budget": "all")"), "a.json").ok());
}

}  // namespace
}  // namespace pistachioweir
