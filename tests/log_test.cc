// What log lines look like.
#include "include/base/log.h"

#include <gtest/gtest.h>

#include <string>

namespace pistachioweir {
namespace {

std::string LineOf(const std::string& value) {
  std::string line;
  AppendLogLine(log_level::kInfo, "told", {{.name = "field", .value = value}},
                &line);
  return line.substr(line.find("event="));
}

TEST(LogTest, QuotesValuesThatAreNotPlain) {
  EXPECT_EQ(LineOf("plain-1"), "event=told field=plain-1\n");
  EXPECT_EQ(LineOf(""), "event=told field=\"\"\n");
  EXPECT_EQ(LineOf("a b"), "event=told field=\"a b\"\n");
  EXPECT_EQ(LineOf("a=\"b\\"), "event=told field=\"a=\\\"b\\\\\"\n");
}

// Guards against lines that nobody wrote: a control byte of a value ends a
// line, or changes what a terminal shows.
TEST(LogTest, AValueEndsNoLine) {
  using namespace std::string_literals;
  EXPECT_EQ(LineOf("a\nevent=b"), "event=told field=\"a\\nevent=b\"\n");
  EXPECT_EQ(LineOf("a\rb"), "event=told field=\"a\\x0db\"\n");
  EXPECT_EQ(LineOf("a\0\x1b[2J\x7f"s),
            "event=told field=\"a\\x00\\x1b[2J\\x7f\"\n");
  EXPECT_EQ(LineOf("\xc3\xa9"), "event=told field=\xc3\xa9\n");
}

}  // namespace
}  // namespace pistachioweir
