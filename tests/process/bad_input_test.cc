// Bad input at the ports of a running daemon, which stands between a platform
// and a target. Whatever comes, the daemon refuses it truthfully and goes on to
// serve everybody else.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "include/config/settings.h"
#include "standin/own_ip.h"
#include "tests/support/child_process.h"
#include "tests/support/raw_socket.h"

namespace pistachioweir {
namespace {

using testing::AllOf;
using testing::HasSubstr;
using testing::Not;
using testing::StartsWith;

// One daemon with its platform and target, started once for all tests.
class deployment {
 public:
  deployment()
      : ip_(standin::OwnIp()),
        folder_(testing::TempDir() + "pw-bad-input-" + ip_) {
    std::filesystem::remove_all(folder_);
    WriteFiles();
    const std::string bin = PW_BINARY_DIR;
    Start({bin + "/pw-platform", "--listen", Address(7100), "--control",
           Address(7101), "--documents", folder_ + "/documents"},
          "platform");
    Start({bin + "/pw-target", "--vm", "mail-1", "--service", "mail",
           "--listen", Address(7005), "--control", Address(7006), "--local",
           Address(7002), "--config", folder_ + "/target.json", "--records",
           folder_ + "/records"},
          "target");
    Start({bin + "/pistachioweir", "run", "--settings",
           folder_ + "/settings.json"},
          "daemon");
  }
  ~deployment() {
    while (!processes_.empty()) {
      processes_.pop_back();  // The daemon first.
    }
    std::filesystem::remove_all(folder_);
  }
  deployment(const deployment&) = delete;
  deployment& operator=(const deployment&) = delete;

  [[nodiscard]] endpoint Port(std::uint16_t port) const {
    return {.ip = ip_, .port = port};
  }
  [[nodiscard]] endpoint caller() const { return Port(7001); }
  [[nodiscard]] endpoint local() const { return Port(7002); }
  [[nodiscard]] endpoint peer() const { return Port(7003); }
  [[nodiscard]] endpoint admin() const { return Port(7004); }

  // Lines of the target's own record.
  [[nodiscard]] std::size_t Recorded() const {
    std::ifstream file(folder_ + "/records");
    std::size_t lines = 0;
    for (std::string line; std::getline(file, line);) {
      ++lines;
    }
    return lines;
  }

 private:
  [[nodiscard]] std::string Address(int port) const {
    return ip_ + ":" + std::to_string(port);
  }

  void Write(const std::string& name, const std::string& text) const {
    const std::filesystem::path path = folder_ + "/" + name;
    std::filesystem::create_directories(path.parent_path());
    std::ofstream(path) << text;
  }

  void WriteFiles() const {
    Write("documents/manifest/mail.json", R"({
      "service": "mail", "version": 1, "slots": 8, "connections": 64,
      "max_body_bytes": 1000,
      "methods": [
        {"name": "list", "timeout_ms": 1000, "max_timeout_ms": 2000},
        {"name": "register", "level": "critical", "at_most_once": true}]})");
    Write("documents/live/mail.json",
          R"({"vms": [{"vm": "mail-1", "data_centre": "scl-1", "region": "cl",
          "peer": ")" +
              Address(7003) + R"(", "caller": ")" + Address(7001) +
              R"(", "state": "live"}]})");
    Write("target.json", R"({"slots": 8, "methods": {"list": {"mean_ms": 1},
      "register": {"mean_ms": 1, "at_most_once": true}}})");
    Write("settings.json",
          R"({"vm": "mail-1", "service": "mail", "data_centre": "scl-1",
          "region": "cl", "fleet_keys": ["a key for one test alone"],
          "stop_timeout_ms": 2000, "caller": ")" +
              Address(7001) + R"(", "local": ")" + Address(7002) +
              R"(", "peer": ")" + Address(7003) + R"(", "admin": ")" +
              Address(7004) + R"(", "target": ")" + Address(7005) +
              R"(", "platform": [")" + Address(7100) + R"("]})");
  }

  void Start(const std::vector<std::string>& arguments,
             const std::string& name) {
    processes_.push_back(
        std::make_unique<child_process>(arguments, folder_ + "/" + name));
  }

  const std::string ip_;
  const std::string folder_;
  std::vector<std::unique_ptr<child_process>> processes_;
};

std::string Request(const std::string& path,
                    const std::string& headers = {},
                    const std::string& body = "{}") {
  return "POST " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" +
         headers + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

class bad_input_test : public testing::Test {
 protected:
  static void SetUpTestSuite() {
    running = std::make_unique<deployment>();
    constexpr int kPolls = 150;
    for (int i = 0; i < kPolls; ++i) {
      if (Call(Request("/mail/list")).starts_with("HTTP/1.1 200")) {
        return;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
  }
  static void TearDownTestSuite() { running.reset(); }

  // The daemon still serves a good call.
  void TearDown() override { ExpectServes(); }

  static std::string Call(const std::string& bytes, bool half_close = false) {
    return ExchangeBytes(running->caller(), bytes, half_close);
  }

  static void ExpectServes() {
    EXPECT_THAT(
        Call(Request("/mail/list")),
        AllOf(StartsWith("HTTP/1.1 200"), HasSubstr("Pw-Outcome: completed")));
  }

  // Refused with `status` and `why`, and the target saw nothing of it.
  static void ExpectRefused(const std::string& bytes,
                            int status,
                            const std::string& why) {
    const std::size_t before = running->Recorded();
    EXPECT_THAT(Call(bytes),
                AllOf(StartsWith("HTTP/1.1 " + std::to_string(status)),
                      HasSubstr("Pw-Outcome: not_executed"),
                      HasSubstr("Pw-Reason: " + why)))
        << bytes.substr(0, 200);
    EXPECT_EQ(running->Recorded(), before);
  }

  static std::unique_ptr<deployment> running;
};

std::unique_ptr<deployment> bad_input_test::running;

// A caller's connection breaks in the middle of its request. What came of it
// must not be run as if it were whole.
TEST_F(bad_input_test, TruncatedRequestsDontRun) {
  const std::string whole = Request("/mail/list");
  const std::size_t before = running->Recorded();
  for (const std::size_t size :
       {std::size_t{1}, std::size_t{4}, whole.size() / 2, whole.size() - 3,
        whole.size() - 1}) {
    EXPECT_THAT(Call(whole.substr(0, size), /*half_close=*/true),
                Not(HasSubstr(" 200 ")));
  }
  EXPECT_EQ(running->Recorded(), before);
}

// Something that isn't HTTP speaks to the port, such as a scanner.
TEST_F(bad_input_test, MalformedRequestsAreRefused) {
  for (const std::string bytes :
       {"GARBAGE\r\n\r\n", "POST /mail/list HTTP/9.9\r\n\r\n",
        "POST /mail/list HTTP/1.1\r\nno colon\r\n\r\n",
        "POST /mail/list HTTP/1.1\r\nContent-Length: x\r\n\r\n",
        "POST /mail/list HTTP/1.1\r\nContent-Length: -1\r\n\r\n"}) {
    ExpectRefused(bytes, 400, "bad_request");
  }
  ExpectRefused(Request("/mail"), 400, "bad_request");
  ExpectRefused(Request("/mail/list/more"), 400, "bad_request");
  ExpectRefused(Request("/mail/li%73t"), 400, "bad_request");
  ExpectRefused(Request("/../admin"), 404, "unknown_service");
}

// A caller sends a body larger than the manifest allows, or headers without
// end. Both would take the daemon's memory.
TEST_F(bad_input_test, OversizedRequestsAreRefused) {
  ExpectRefused(Request("/mail/list", {}, std::string(1001, 'x')), 413,
                "too_large");
  ExpectRefused("POST /mail/list HTTP/1.1\r\nContent-Length: 999999999\r\n\r\n",
                413, "too_large");
  ExpectRefused(
      Request("/mail/list", "X: " + std::string(100000, 'x') + "\r\n"), 413,
      "too_large");
}

// Two lengths in one request: a part of its body could be taken for a request
// of its own, and its answer go to somebody else.
TEST_F(bad_input_test, ConflictingLengthsAreRefused) {
  const std::string inner = Request("/mail/list");
  for (const std::string_view headers :
       {"Content-Length: 2\r\nContent-Length: 5\r\n",
        "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n"}) {
    const std::size_t before = running->Recorded();
    const std::string answer =
        Call("POST /mail/list HTTP/1.1\r\n" +
             std::string(headers).append("\r\n{}").append(inner));
    EXPECT_THAT(answer, AllOf(StartsWith("HTTP/1.1 400"),
                              Not(HasSubstr("HTTP/1.1 200"))))
        << headers;
    EXPECT_EQ(running->Recorded(), before);
  }
}

TEST_F(bad_input_test, UnknownMethodsAreRefused) {
  ExpectRefused(Request("/mail/nothing"), 404, "unknown_method");
  ExpectRefused(Request("/nothing/list"), 404, "unknown_service");
}

// A caller's clock or arithmetic is off, and the wait it names makes no sense.
TEST_F(bad_input_test, AbsurdDeadlinesAreRefusedOrBounded) {
  for (const std::string value :
       {"-5", "abc", "1.5", "", "99999999999999999999999"}) {
    ExpectRefused(Request("/mail/list", "Pw-Timeout-Ms: " + value + "\r\n"),
                  400, "bad_request");
  }
  ExpectRefused(Request("/mail/list", "Pw-Timeout-Ms: 0\r\n"), 408,
                "deadline_passed");
  EXPECT_THAT(
      Call(Request("/mail/list", "Pw-Timeout-Ms: 9223372036854775807\r\n")),
      StartsWith("HTTP/1.1 200"));
}

// Somebody makes up a key, to run a registration outside of the rules, or a
// context, to pass for a call that is being served.
TEST_F(bad_input_test, ForgedKeysAndContextsGainNothing) {
  ExpectRefused(Request("/mail/register"), 428, "key_required");
  EXPECT_THAT(Call(Request("/mail/register", "Idempotency-Key: forged\r\n")),
              StartsWith("HTTP/1.1 422"));
  EXPECT_THAT(ExchangeBytes(running->local(),
                            Request("/mail/list", "Pw-Context: forged\r\n")),
              AllOf(StartsWith("HTTP/1.1 409"), HasSubstr("unknown_context")));
  // From outside it isn't even looked at.
  ExpectRefused(Request("/mail/register", "Pw-Context: forged\r\n"), 428,
                "key_required");
}

// Pages of other ports are asked for at the callers' port, and calls between
// daemons are sent by somebody who isn't one.
TEST_F(bad_input_test, OtherPortsStayClosedToCallers) {
  EXPECT_THAT(Call("GET /status HTTP/1.1\r\nConnection: close\r\n\r\n"),
              StartsWith("HTTP/1.1 400"));
  EXPECT_THAT(ExchangeBytes(running->peer(), Request("/call")),
              Not(HasSubstr(" 200 ")));
  EXPECT_THAT(ExchangeBytes(running->peer(), Request("/rpc")),
              Not(HasSubstr(" 200 ")));
  EXPECT_THAT(ExchangeBytes(running->admin(), Request("/status")),
              StartsWith("HTTP/1.1 405"));
}

// Anything can reach a UDP port. None of it may change what the daemon knows.
TEST_F(bad_input_test, RandomDatagramsAreIgnored) {
  std::mt19937 random(20261202);
  for (int i = 0; i < 500; ++i) {
    std::string bytes(random() % 1400, '\0');
    std::ranges::generate(bytes,
                          [&] { return static_cast<char>(random() & 0xff); });
    SendDatagram(running->peer(), bytes);
  }
  EXPECT_THAT(
      ExchangeBytes(running->admin(),
                    "GET /health HTTP/1.1\r\nConnection: close\r\n\r\n"),
      StartsWith("HTTP/1.1 200"));
}

}  // namespace
}  // namespace pistachioweir
