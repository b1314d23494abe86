// Tests of settings: what is read, and how each mistake is named.
#include "include/config/settings.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

namespace pistachioweir {
namespace {

using testing::AllOf;
using testing::ElementsAre;
using testing::Field;
using testing::HasSubstr;
using testing::IsEmpty;

constexpr std::string_view kGood = R"({
  // The VM beside which this daemon runs.
  "vm": "contracts-1",
  "service": "contracts",
  "data_centre": "waw-1",
  "region": "pl",
  "caller": "127.0.0.1:7001",
  "local": "127.0.0.1:7002",
  "peer": "127.0.0.1:7003",
  "admin": "127.0.0.1:7004",
  "target": "127.0.0.1:7005",
  "platform": ["127.0.0.1:7100", "[::1]:7100"],
  "fleet_keys": ["0123456789abcdef"],
  "threads": 4,
  "stop_timeout_ms": 5000
})";

// kGood with the first `from` replaced by `to`.
std::string With(std::string_view from, std::string_view to) {
  std::string text(kGood);
  const std::size_t at = text.find(from);
  EXPECT_NE(at, text.npos) << from;
  return text.replace(at, from.size(), to);
}

config_errors ErrorsOf(const std::string& text) {
  return ParseSettings(text, "a.json").errors;
}

auto ErrorAt(const std::string& place, const std::string& problem) {
  return AllOf(Field(&config_error::place, place),
               Field(&config_error::problem, HasSubstr(problem)));
}

TEST(SettingsTest, ReadsAll) {
  const auto result = ParseSettings(kGood, "a.json");
  ASSERT_THAT(result.errors, IsEmpty());
  EXPECT_EQ(result.value.vm, "contracts-1");
  EXPECT_EQ(ToString(result.value.peer), "127.0.0.1:7003");
  ASSERT_EQ(result.value.platform.size(), 2U);
  EXPECT_EQ(ToString(result.value.platform[1]), "[::1]:7100");
  EXPECT_EQ(result.value.threads, 4U);
  EXPECT_EQ(result.value.stop_timeout, milliseconds(5000));
  EXPECT_EQ(result.value.max_connections, daemon_settings{}.max_connections);
}

TEST(SettingsTest, UnknownKeyIsNamed) {
  EXPECT_THAT(ErrorsOf(With("\"threads\"", "\"treads\"")),
              ElementsAre(ErrorAt("a.json: /treads", "unknown key")));
}

TEST(SettingsTest, MissingKeyIsNamed) {
  EXPECT_THAT(ErrorsOf(With("\"vm\": \"contracts-1\",", "")),
              ElementsAre(ErrorAt("a.json: /vm", "missing")));
}

TEST(SettingsTest, WrongTypesAreNamed) {
  EXPECT_THAT(ErrorsOf(With("4,", "\"4\",")),
              ElementsAre(ErrorAt("a.json: /threads", "\"4\"")));
  EXPECT_THAT(ErrorsOf(With("4,", "4.0,")),
              ElementsAre(ErrorAt("a.json: /threads", "4.0")));
  EXPECT_THAT(ErrorsOf(With("\"waw-1\"", "null")),
              ElementsAre(ErrorAt("a.json: /data_centre", "null")));
  EXPECT_THAT(ErrorsOf(With("[\"0123456789abcdef\"]", "{}")),
              ElementsAre(ErrorAt("a.json: /fleet_keys", "an object")));
}

TEST(SettingsTest, ValuesOutOfRangeAreNamed) {
  for (const char* value : {"0,", "-1,", "65,", "99999999999999999999,"}) {
    EXPECT_THAT(ErrorsOf(With("4,", value)),
                ElementsAre(ErrorAt("a.json: /threads", "")));
  }
  EXPECT_THAT(ErrorsOf(With("contracts-1", "a b")),
              ElementsAre(ErrorAt("a.json: /vm", "a b")));
  EXPECT_THAT(ErrorsOf(With("[\"127.0.0.1:7100\", \"[::1]:7100\"]", "[]")),
              ElementsAre(ErrorAt("a.json: /platform", "an array of 0")));
}

TEST(SettingsTest, AddressesAreIpNumbersOfOneInterface) {
  for (const char* address :
       {"localhost:7003", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:70000",
        "127.0.0.1:7003x", "0.0.0.0:7003", "[::]:7003", "::1:7003", ":7003",
        "127.0.0.1\\u0000:7003", "[127.0.0.1]:7003"}) {
    EXPECT_THAT(ErrorsOf(With("127.0.0.1:7003", address)),
                ElementsAre(ErrorAt("a.json: /peer", "")))
        << address;
  }
}

// Two roles of one daemon are given the same port, as when a line is copied.
// The second can't listen, or the daemon takes itself for its target.
TEST(SettingsTest, ClashingAddressesAreNamed) {
  EXPECT_THAT(
      ErrorsOf(With("127.0.0.1:7004", "127.0.0.1:7001")),
      ElementsAre(ErrorAt("a.json: /admin", "same address as /caller")));
  EXPECT_THAT(
      ErrorsOf(With("127.0.0.1:7005", "127.0.0.1:7002")),
      ElementsAre(ErrorAt("a.json: /target", "same address as /local")));
}

// The port for the target's own calls is opened to the network. Anybody who
// reaches it could pass for the target.
TEST(SettingsTest, LocalPortMustBeLoopback) {
  EXPECT_THAT(ErrorsOf(With("127.0.0.1:7002", "10.0.0.1:7002")),
              ElementsAre(ErrorAt("a.json: /local", "from outside")));
}

TEST(SettingsTest, FleetKeysStayOutOfMessages) {
  const config_errors errors = ErrorsOf(With("0123456789abcdef", "hunter2"));
  ASSERT_THAT(errors, ElementsAre(ErrorAt("a.json: /fleet_keys/0", "7")));
  EXPECT_THAT(ToLine(errors[0]), testing::Not(HasSubstr("hunter2")));
}

TEST(SettingsTest, SyntaxErrorTellsLineAndColumn) {
  EXPECT_THAT(ErrorsOf("{\n  \"vm\": ,\n}"),
              testing::Contains(ErrorAt("a.json: Line 2, Column 9", "")));
  EXPECT_THAT(ErrorsOf(""), testing::Not(IsEmpty()));
  EXPECT_THAT(ErrorsOf("[]"),
              ElementsAre(ErrorAt("a.json: ", "an array of 0")));
  EXPECT_THAT(ErrorsOf(std::string(kGood) + "x"), testing::Not(IsEmpty()));
}

TEST(SettingsTest, DuplicateKeyIsNamedTogetherWithOtherErrors) {
  const std::string text = With("\"threads\": 4", "\"vm\": \"b\", \"x\": 4");
  const config_errors errors = ErrorsOf(text);
  EXPECT_THAT(errors, ElementsAre(ErrorAt("a.json: Line 14, Column 3",
                                          "Duplicate key: 'vm'"),
                                  ErrorAt("a.json: /x", "unknown key")));
}

TEST(SettingsTest, AllErrorsComeAtOnce) {
  EXPECT_EQ(ErrorsOf("{}").size(), 11U);
}

// Somebody hands over a file of nothing but brackets. A parser that recurses
// would overflow its stack and take the daemon down.
TEST(SettingsTest, DeepNestingIsRefused) {
  EXPECT_FALSE(ErrorsOf(std::string(100000, '[')).empty());
  EXPECT_FALSE(ErrorsOf(std::string(2 << 20, ' ')).empty());
}

RC_GTEST_PROP(SettingsTest, RandomTextIsRefused, (const std::string& text)) {
  RC_ASSERT(!ParseSettings(text, "x").ok());
}

// Every cut of good settings is either refused or, where only the tail is
// missing, never taken for whole.
TEST(SettingsTest, CutTextIsRefused) {
  for (std::size_t size = 0; size < kGood.size(); ++size) {
    EXPECT_FALSE(ErrorsOf(std::string(kGood.substr(0, size))).empty());
  }
}

}  // namespace
}  // namespace pistachioweir
