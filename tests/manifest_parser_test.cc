// Tests of manifests: what is read, and how each mistake is named.
#include "include/config/manifest_parser.h"

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
  "service": "contracts",
  "version": 7,
  "slots": 40,
  "connections": 300,
  "refusal_is_not_executed": true,
  "max_body_bytes": 65536,
  "key_lifetime_ms": 20000,
  "methods": [
    {
      "name": "sign",
      "level": "critical",
      "at_most_once": true,
      "timeout_ms": 800,
      "max_timeout_ms": 2000,
      "retry_credit": 1,
      "calls": [{"service": "lease-terms", "method": "lookup"}]
    },
    {"name": "list"}
  ]
})";

std::string With(std::string_view from, std::string_view to) {
  std::string text(kGood);
  const std::size_t at = text.find(from);
  EXPECT_NE(at, text.npos) << from;
  return text.replace(at, from.size(), to);
}

config_errors ErrorsOf(const std::string& text) {
  return ParseManifest(text, "m.json").errors;
}

auto ErrorAt(const std::string& place, const std::string& problem) {
  return AllOf(Field(&config_error::place, place),
               Field(&config_error::problem, HasSubstr(problem)));
}

TEST(ManifestParserTest, ReadsAll) {
  const auto result = ParseManifest(kGood, "m.json");
  ASSERT_THAT(result.errors, IsEmpty());
  const service_manifest& manifest = result.value;
  EXPECT_EQ(manifest.service, "contracts");
  EXPECT_EQ(manifest.version, 7U);
  EXPECT_EQ(manifest.slots, 40U);
  EXPECT_EQ(manifest.connections, 300U);
  EXPECT_TRUE(manifest.refusal_is_not_executed);
  EXPECT_EQ(manifest.max_body_bytes, 65536U);
  EXPECT_EQ(manifest.key_lifetime, milliseconds(20000));
  const method_spec* sign = manifest.FindMethod("sign");
  ASSERT_NE(sign, nullptr);
  EXPECT_EQ(sign->level, priority::kCritical);
  EXPECT_TRUE(sign->at_most_once);
  EXPECT_EQ(sign->timeout, milliseconds(800));
  EXPECT_EQ(sign->max_timeout, milliseconds(2000));
  EXPECT_EQ(sign->retry_credit, 1U);
  EXPECT_THAT(sign->calls,
              ElementsAre(downstream_call{"lease-terms", "lookup"}));
  ASSERT_NE(manifest.FindMethod("list"), nullptr);
  EXPECT_EQ(manifest.FindMethod("list")->level, priority::kNormal);
}

TEST(ManifestParserTest, UnknownKeysAreNamedAtEveryDepth) {
  EXPECT_THAT(ErrorsOf(With("\"slots\"", "\"extra\": 1, \"slots\"")),
              ElementsAre(ErrorAt("m.json: /extra", "unknown key")));
  EXPECT_THAT(ErrorsOf(With("\"level\"", "\"priority\"")),
              ElementsAre(ErrorAt("m.json: /methods/0/priority", "unknown")));
  EXPECT_THAT(
      ErrorsOf(With("\"method\": \"lookup\"", "\"method\": \"a\", \"x\": 1")),
      ElementsAre(ErrorAt("m.json: /methods/0/calls/0/x", "unknown key")));
}

TEST(ManifestParserTest, MissingKeysAreNamed) {
  EXPECT_THAT(ErrorsOf(With("\"version\": 7,", "")),
              ElementsAre(ErrorAt("m.json: /version", "missing")));
  EXPECT_THAT(ErrorsOf(With("{\"name\": \"list\"}", "{}")),
              ElementsAre(ErrorAt("m.json: /methods/1/name", "missing")));
}

TEST(ManifestParserTest, WrongValuesAreNamed) {
  EXPECT_THAT(ErrorsOf(With("\"critical\"", "\"urgent\"")),
              ElementsAre(ErrorAt("m.json: /methods/0/level", "urgent")));
  EXPECT_THAT(ErrorsOf(With("\"version\": 7", "\"version\": 0")),
              ElementsAre(ErrorAt("m.json: /version", "0")));
  EXPECT_THAT(ErrorsOf(With("\"retry_credit\": 1", "\"retry_credit\": 17")),
              ElementsAre(ErrorAt("m.json: /methods/0/retry_credit", "17")));
  EXPECT_THAT(ErrorsOf(With("\"at_most_once\": true", "\"at_most_once\": 1")),
              ElementsAre(ErrorAt("m.json: /methods/0/at_most_once", "1")));
  EXPECT_THAT(ErrorsOf(With("\"contracts\"", "\"keys\"")),
              ElementsAre(ErrorAt("m.json: /service", "keys")));
  EXPECT_THAT(ErrorsOf(With("\"contracts\"", "\"..\"")),
              ElementsAre(ErrorAt("m.json: /service", "..")));
  EXPECT_THAT(ErrorsOf(With("{\"name\": \"list\"}", "3")),
              ElementsAre(ErrorAt("m.json: /methods/1", "3")));
}

TEST(ManifestParserTest, ClashesAreNamed) {
  EXPECT_THAT(ErrorsOf(With("\"connections\": 300", "\"connections\": 30")),
              ElementsAre(ErrorAt("m.json: /connections", "below slots")));
  EXPECT_THAT(ErrorsOf(With("\"timeout_ms\": 800", "\"timeout_ms\": 2001")),
              ElementsAre(ErrorAt("m.json: /methods/0/timeout_ms", "above")));
  EXPECT_THAT(ErrorsOf(With("\"list\"", "\"sign\"")),
              ElementsAre(ErrorAt("m.json: /methods", "\"sign\"")));
  EXPECT_THAT(
      ErrorsOf(With("[{\"service\": \"lease-terms\", \"method\": \"lookup\"}]",
                    "[{\"service\": \"a\", \"method\": \"b\"},"
                    " {\"service\": \"a\", \"method\": \"b\"}]")),
      ElementsAre(ErrorAt("m.json: /methods/0/calls/1", "twice")));
}

TEST(ManifestParserTest, DuplicateKeyIsNamed) {
  EXPECT_THAT(ErrorsOf(With("\"slots\": 40", "\"slots\": 40, \"slots\": 41")),
              ElementsAre(ErrorAt("m.json: Line 4, Column 16", "Duplicate")));
}

RC_GTEST_PROP(ManifestParserTest,
              RandomTextIsRefused,
              (const std::string& text)) {
  RC_ASSERT(!ParseManifest(text, "x").ok());
}

}  // namespace
}  // namespace pistachioweir
