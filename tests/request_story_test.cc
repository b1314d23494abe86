// One request's story out of several daemons' logs.
#include "src/cli/request_story.h"

#include <gtest/gtest.h>

#include <sstream>

namespace pistachioweir {
namespace {

TEST(RequestStoryTest, ReadsALineWithQuotedFieldsAndAPrefix) {
  const auto line = ParseLogLine(
      R"( 1.5 vm-1 time=2026-01-01T00:00:00.001 level=INFO event=answered )"
      R"(why="a \"b\" c" took_ms=7 request=id-1)");
  ASSERT_TRUE(line.has_value());
  EXPECT_EQ(line->time, "2026-01-01T00:00:00.001");
  EXPECT_EQ(line->event, "answered");
  ASSERT_EQ(line->fields.size(), 4U);
  EXPECT_EQ(line->fields[1].second, "a \"b\" c");
}

TEST(RequestStoryTest, RefusesWhatIsCutOrNoLine) {
  EXPECT_FALSE(ParseLogLine("").has_value());
  EXPECT_FALSE(ParseLogLine("hello").has_value());
  EXPECT_FALSE(ParseLogLine("time=1 event=x why=\"cut").has_value());
  EXPECT_FALSE(ParseLogLine("time=1 level=INFO").has_value());
}

TEST(RequestStoryTest, OrdersTheLinesOfAllDaemonsByTime) {
  std::istringstream caller(
      "time=1 event=routed route=look request=id-1\n"
      "time=1 event=routed route=look request=id-10\n"
      "time=4 event=answered outcome=completed request=id-1\n");
  std::istringstream target(
      "time=2 event=executor_received running=3 request=id-1\n"
      "time=3 event=run_ended request=id-1 why=\"cu\n");
  request_story story("id-1");
  story.Add(target, "target.log");
  story.Add(caller, "caller.log");
  EXPECT_EQ(story.Text(),
            "1  caller.log  routed route=look\n"
            "2  target.log  executor_received running=3\n"
            "4  caller.log  answered outcome=completed\n");
  EXPECT_EQ(story.unreadable(), 1U);
}

TEST(RequestStoryTest, IsEmptyWithoutTheRequest) {
  std::istringstream log("time=1 event=routed request=id-2\n");
  request_story story("id-1");
  story.Add(log, "x");
  EXPECT_TRUE(story.Text().empty());
}

}  // namespace
}  // namespace pistachioweir
