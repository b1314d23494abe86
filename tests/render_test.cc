// Tests of the tables that the command line prints.
#include "src/cli/render.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <string>

#include "src/admin/status_json.h"
#include "src/cli/text_table.h"

namespace pistachioweir {
namespace {

using testing::AllOf;
using testing::HasSubstr;
using testing::Not;

TEST(TextTableTest, ColumnsAreAligned) {
  text_table table({"A", "LONGER"});
  EXPECT_TRUE(table.empty());
  table.Add({"value", "x"});
  EXPECT_EQ(table.Text(), "A      LONGER\nvalue  x\n");
}

TEST(RenderTest, StatusShowsWhatIsThere) {
  daemon_status status{.vm = "mail-1",
                       .service = "mail",
                       .state = daemon_state::kReady,
                       .uptime = milliseconds(180000),
                       .concurrency_limit = 40,
                       .platform_reachable = true};
  const auto bare = RenderStatus(ToJson(status));
  ASSERT_TRUE(bare);
  EXPECT_THAT(*bare,
              AllOf(HasSubstr("mail-1 serves mail"), HasSubstr("up 3 min"),
                    HasSubstr("limit 40"), HasSubstr("platform   reachable"),
                    Not(HasSubstr("Targets"))));
  status.targets = {{.service = "mail",
                     .vm = "mail-2",
                     .state = target_state::kEjected,
                     .heard_ago = milliseconds(1500)}};
  EXPECT_THAT(*RenderStatus(ToJson(status)),
              AllOf(HasSubstr("Targets"), HasSubstr("ejected"),
                    HasSubstr("1.5 s ago")));
}

TEST(RenderTest, AuditIsATable) {
  const audit_event event{.kind = audit_kind::kManifestAccepted,
                          .subject = "mail",
                          .before = "6",
                          .after = "7"};
  EXPECT_THAT(*RenderAudit(ToJson(std::vector<audit_event>{event})),
              AllOf(HasSubstr("EVENT"), HasSubstr("manifest_accepted")));
  EXPECT_EQ(*RenderAudit(ToJson(std::vector<audit_event>{})),
            "No changes recorded.\n");
}

TEST(RenderTest, ExplanationSaysWhyAndWhen) {
  method_explanation explanation{
      .known = true, .level = priority::kLow, .retry_after = milliseconds(250)};
  EXPECT_THAT(*RenderExplanation(ToJson("mail", "list", explanation)),
              HasSubstr("None of its calls was refused"));
  explanation.refusals.counts[static_cast<int>(reason::kQueueFull)] = 3;
  explanation.refusals.last.push_back({.why = reason::kQueueFull});
  EXPECT_THAT(
      *RenderExplanation(ToJson("mail", "list", explanation)),
      AllOf(HasSubstr("come back in 250 ms"),
            HasSubstr("3 x queue_full: the queue of the target is full"),
            HasSubstr("Last of them")));
  explanation.known = false;
  EXPECT_THAT(*RenderExplanation(ToJson("mail", "list", explanation)),
              HasSubstr("no manifest in force"));
}

// A daemon passes on names that others gave it. One with control characters
// would rewrite an operator's screen.
TEST(RenderTest, ControlCharactersAreLeftOut) {
  const daemon_status status{.vm = "a\x1b[2J\nb"};
  EXPECT_THAT(*RenderStatus(ToJson(status)), HasSubstr("a[2Jb serves"));
}

// Something else than a daemon answers at the address.
TEST(RenderTest, WhatIsNoPageIsRefused) {
  for (const char* text : {"", "hello", "[]", "3", "{"}) {
    EXPECT_FALSE(RenderStatus(text));
    EXPECT_FALSE(RenderAudit(text));
    EXPECT_FALSE(RenderExplanation(text));
  }
  EXPECT_TRUE(RenderStatus("{\"targets\": 3, \"vm\": [], \"uptime_ms\": {}}"));
  EXPECT_TRUE(RenderAudit("{\"events\": [3, null, \"x\"]}"));
}

}  // namespace
}  // namespace pistachioweir
