// What reaches a target behind answers in which it says something about itself:
// how many requests a second it takes, and that it is leaving.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "tests/support/forward_path.h"

namespace pistachioweir {
namespace {

using connection_ptr = fake_http_target::connection_ptr;

// A target may get this many times what its limit allows within the window, and
// a few requests more.
constexpr double kTolerance = 1.5;
constexpr double kMoreRequests = 5;
constexpr milliseconds kWindow{4000};
// No request may reach a target that is leaving later than this.
constexpr milliseconds kDrain{2000};

// Answers each request at once, with the given headers.
class target_with_headers {
 public:
  explicit target_with_headers(forward_path& path) {
    path.target.on_request = [this](const read_request& request,
                                    const connection_ptr& from) {
      arrivals.push_back(monotonic_clock::now());
      from->Send(fake_http_target::Answer(request, "", 200, headers));
    };
  }

  [[nodiscard]] std::size_t MaxInWindow() const {
    std::size_t max = 0;
    for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
      const auto end =
          std::upper_bound(first, arrivals.end(), *first + kWindow);
      max = std::max(max, static_cast<std::size_t>(end - first));
    }
    return max;
  }

  std::string headers;
  std::vector<time_point> arrivals;
};

int StatusOf(caller& from, const std::string& id) {
  from.Request("GET", "/look/" + id, id);
  return from.NextResponse().status;
}

// A target in need got every request that callers sent, whatever limit it had
// named.
TEST(NamedLimitTest, ATargetGetsNoMoreThanItsLimitAllows) {
  constexpr double kLimit = 10;
  constexpr std::size_t kCallers = 120;
  forward_path path;
  path.Configure();
  target_with_headers target(path);
  target.headers = "Server-Limit: 10\r\n";
  caller first(path);
  ASSERT_EQ(StatusOf(first, "first"), 200);

  std::vector<std::unique_ptr<caller>> callers;
  for (std::size_t i = 0; i < kCallers; ++i) {
    callers.push_back(std::make_unique<caller>(path));
    callers.back()->Request("GET", "/look/" + std::to_string(i),
                            "r" + std::to_string(i));
  }
  std::size_t refused = 0;
  for (const auto& each : callers) {
    const read_response response = each->NextResponse();
    EXPECT_TRUE(response.status == 200 || response.status == 503);
    refused += response.status == 503 ? 1 : 0;
    EXPECT_EQ(response.status == 503,
              FindHeader(response.headers, "Retry-After").has_value());
  }
  const double allowed =
      kTolerance * kLimit * std::chrono::duration<double>(kWindow).count() +
      kMoreRequests;
  EXPECT_LE(static_cast<double>(target.MaxInWindow()), allowed);
  // What was refused has not run.
  EXPECT_EQ(target.arrivals.size() + refused, kCallers + 1);
}

// Requests reached a target for as long as the platform's list called it ready,
// although its answers said that it was leaving.
TEST(NamedLimitTest, ATargetThatSaysItIsLeavingGetsNoRequestsLater) {
  forward_path path;
  path.Configure();
  target_with_headers target(path);
  target.headers = "Server-Leaving: 1\r\n";
  caller from(path);
  ASSERT_EQ(StatusOf(from, "first"), 200);
  path.RunFor(kDrain);
  EXPECT_EQ(StatusOf(from, "late"), 503);
  EXPECT_EQ(target.arrivals.size(), 1U);
}

// An answer whose limit can't be read was still the caller's answer.
TEST(NamedLimitTest, AnAnswerWithAnUnreadableLimitReachesItsCaller) {
  forward_path path;
  path.Configure();
  target_with_headers target(path);
  caller from(path);
  int number = 0;
  for (const char* limit :
       {"abc", "", "-1", "nan", "1e308", "1\r\nServer-Limit: 2"}) {
    target.headers = "Server-Limit: " + std::string(limit) + "\r\n";
    EXPECT_EQ(StatusOf(from, "r" + std::to_string(number++)), 200) << limit;
  }
  target.headers = "Server-Limit: " + std::string(10 << 10, '9') + "\r\n";
  EXPECT_EQ(StatusOf(from, "long"), 200);
  EXPECT_FALSE(path.target_side.notices().rate_limit());
}

// Callers of a request that the target had turned away came back when this
// daemon guessed, not when the target had said.
TEST(NamedLimitTest, TheTargetsOwnRetryAfterReachesTheCaller) {
  forward_path path;
  path.Configure();
  path.target.on_request = [](const read_request& request,
                              const connection_ptr& from) {
    from->Send(fake_http_target::Answer(
        request, "", 503, "Not-Executed: 1\r\nRetry-After: 1.25\r\n"));
  };
  caller from(path);
  from.Request("GET", "/look/1", "r1");
  const read_response response = from.NextResponse();
  EXPECT_EQ(response.status, 503);
  EXPECT_EQ(FindHeader(response.headers, "Retry-After"), "1.250");
}

}  // namespace
}  // namespace pistachioweir
