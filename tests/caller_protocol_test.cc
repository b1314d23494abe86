// Tests of the callers' HTTP as values.
#include "src/daemon/caller_protocol.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <variant>

namespace pistachioweir {
namespace {

const caller_error* ErrorOf(const caller_request& parsed) {
  return std::get_if<caller_error>(&parsed);
}

TEST(CallerProtocolTest, ReadsACall) {
  const caller_request parsed = ParseCallerRequest(
      {.path = "/contracts/sign",
       .headers = {{.name = "pw-timeout-ms", .value = "200"},
                   {.name = "Idempotency-Key", .value = "k"}}});
  const auto* call = std::get_if<caller_call>(&parsed);
  ASSERT_NE(call, nullptr);
  EXPECT_EQ(call->service, "contracts");
  EXPECT_EQ(call->method, "sign");
  EXPECT_EQ(call->timeout, milliseconds(200));
  EXPECT_EQ(call->key, "k");
}

// A broken client sends paths, deadlines and counts that mean nothing. It is
// told what is wrong and that nothing ran, instead of being given a guess.
TEST(CallerProtocolTest, RefusesWhatIsNoCall) {
  for (const std::string path :
       {"", "/", "/a", "/a/b/c", "//b", "/a/", "/a b/c", "/a/../b"}) {
    EXPECT_NE(ErrorOf(ParseCallerRequest({.path = path})), nullptr) << path;
  }
  EXPECT_NE(ErrorOf(ParseCallerRequest({.verb = "GET", .path = "/a/b"})),
            nullptr);
  for (const std::string wait :
       {"", "-1", "1.5", "abc", "1e3", " 1", "99999999999999999999999"}) {
    EXPECT_NE(ErrorOf(ParseCallerRequest(
                  {.path = "/a/b",
                   .headers = {{.name = "Pw-Timeout-Ms", .value = wait}}})),
              nullptr)
        << wait;
  }
  for (const std::string count : {"0", "257", "x"}) {
    EXPECT_NE(ErrorOf(ParseCallerRequest(
                  {.path = "/keys/a/b", .query = "count=" + count})),
              nullptr);
  }
}

// A daemon that is not ready can't know whether an earlier copy of a keyed
// request ran. A caller that only looks at the status took 503 for a refusal
// and sent its signature again under another key.
TEST(CallerProtocolTest, UnknownNeverLooksLikeARefusal) {
  for (std::size_t i = 0; i < kReasonCount; ++i) {
    const auto why = static_cast<reason>(i);
    const int status = StatusOf(Unknown(why));
    EXPECT_TRUE(status == 502 || status == 504) << kReasonNames.Name(why);
  }
}

TEST(CallerProtocolTest, RefusalTellsWhenToComeBack) {
  const http_response response =
      RenderOutcome(NotExecuted(reason::kOverload, milliseconds(1200)));
  EXPECT_EQ(response.status, 503);
  EXPECT_EQ(FindHeader(response.headers, "Pw-Outcome"), "not_executed");
  EXPECT_EQ(FindHeader(response.headers, "Pw-Retry-After-Ms"), "1200");
  EXPECT_EQ(FindHeader(response.headers, "Retry-After"), "2");
}

RC_GTEST_PROP(CallerProtocolTest,
              AnyPathIsReadOrRefused,
              (const std::string& path, const std::string& query)) {
  const caller_request parsed =
      ParseCallerRequest({.path = path, .query = query});
  if (const auto* call = std::get_if<caller_call>(&parsed)) {
    RC_ASSERT(path == "/" + call->service + "/" + call->method);
  }
}

}  // namespace
}  // namespace pistachioweir
