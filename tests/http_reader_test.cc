// Reading HTTP messages, among them such that are meant to be misunderstood.
#include "src/net/http_reader.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace pistachioweir {
namespace {

struct outcome_of_reading {
  read_state state = read_state::kMore;
  read_problem problem = read_problem::kNone;
  read_request request;
  std::string rest;
};

// Feeds `text` in pieces of `step` bytes.
outcome_of_reading Read(const std::string& text,
                        std::size_t step = 1000000,
                        const read_limits& limits = {}) {
  outcome_of_reading outcome;
  request_reader reader(limits);
  std::string buffer;
  std::size_t fed = 0;
  while (outcome.state == read_state::kMore && fed < text.size()) {
    buffer += text.substr(fed, step);
    fed += step;
    std::size_t taken = 0;
    outcome.state = reader.Feed(buffer, &taken);
    buffer.erase(0, taken);
  }
  outcome.problem = reader.problem();
  if (outcome.state == read_state::kDone) {
    outcome.request = reader.Take();
    outcome.rest = buffer;
  }
  return outcome;
}

TEST(HttpReaderTest, ReadsARequestInPiecesOfAnySize) {
  const std::string text =
      "POST /a/b?c=d HTTP/1.1\r\nHost: x.example\r\nContent-Length: 5\r\n"
      "Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nX-End: 2\r\n\r\nhello";
  for (const std::size_t step : {1, 2, 3, 7, 50, 1000}) {
    const auto outcome = Read(text, step);
    ASSERT_EQ(outcome.state, read_state::kDone) << step;
    EXPECT_EQ(outcome.request.target, "/a/b?c=d");
    EXPECT_EQ(outcome.request.body, "hello");
    EXPECT_EQ(ToBlock(outcome.request.headers),
              "Host: x.example\r\nX-End: 2\r\n");
  }
}

TEST(HttpReaderTest, ReadsChunksAndLeavesWhatFollows) {
  const auto outcome = Read(
      "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\nGET /next HTTP/1.1\r\n");
  ASSERT_EQ(outcome.state, read_state::kDone);
  EXPECT_EQ(outcome.request.body, "abcde");
  EXPECT_EQ(outcome.rest, "GET /next HTTP/1.1\r\n");
}

// A request that two readers would cut at different places hides another one:
// what one takes for a body, the next takes for a request that nobody checked.
TEST(HttpReaderTest, RefusesRequestsThatCanBeCutInTwoWays) {
  const std::string post = "POST / HTTP/1.1\r\nHost: x\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  const std::vector<std::string> texts = {
      post + "Content-Length: 5\r\n" + chunked + "\r\n0\r\n\r\n",
      post + chunked + "Content-Length: 5\r\n\r\n0\r\n\r\n",
      post + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello!",
      post + "Content-Length: 5, 6\r\n\r\nhello!",
      post + "Content-Length: -5\r\n\r\nhello",
      post + "Content-Length: +5\r\n\r\nhello",
      post + "Content-Length: 0x5\r\n\r\nhello",
      post + "X: y\n\r\n",
      post + "X : y\r\n\r\n",
      post + chunked + "\r\nzz\r\nabc\r\n0\r\n\r\n",
      "POST / HTTP/1.1\nHost: x\n\n",
  };
  for (const std::string& text : texts) {
    const auto outcome = Read(text);
    EXPECT_EQ(outcome.state, read_state::kFailed) << text;
    EXPECT_EQ(outcome.problem, read_problem::kMalformed) << text;
  }
}

// Codings of a body other than chunks alone.
const std::vector<std::string> kOtherCodings = {
    "gzip",
    "xchunked",
    "identity",
    "chunked, gzip",
    "gzip, chunked",
    "chunked, chunked",
    "chunked,",
    "",
    "chunked;q=1",
    "chunked\r\nTransfer-Encoding: chunked",
    "chunked\r\nTransfer-Encoding: identity",
};

// Guards against a request whose body is taken for further requests of its
// connection: targets ran requests that no caller had sent.
TEST(HttpReaderTest, RefusesRequestsWithOtherTransferCodings) {
  const std::string hidden = "GET /hidden HTTP/1.1\r\nHost: x\r\n\r\n";
  for (const std::string& coding : kOtherCodings) {
    std::string text = "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: ";
    text.append(coding).append("\r\n\r\n").append(hidden);
    const auto outcome = Read(text);
    EXPECT_EQ(outcome.state, read_state::kFailed) << coding;
    EXPECT_EQ(outcome.problem, read_problem::kMalformed) << coding;
  }
  const auto old = Read(
      "POST / HTTP/1.0\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
      "0\r\n\r\n");
  EXPECT_EQ(old.problem, read_problem::kMalformed);
}

// Bare line feeds between chunks end no line: the message is never whole, and
// its sender runs out of time.
TEST(HttpReaderTest, ChunksBehindBareLineFeedsAreNeverWhole) {
  const auto outcome = Read(
      "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\nabc\n0\n\n");
  EXPECT_NE(outcome.state, read_state::kDone);
}

TEST(HttpReaderTest, RefusesWhatIsTooLarge) {
  const read_limits limits{.max_head_bytes = 200, .max_body_bytes = 10};
  auto outcome = Read(
      "GET / HTTP/1.1\r\nHost: x\r\nX: " + std::string(300, 'y') + "\r\n\r\n",
      50, limits);
  EXPECT_EQ(outcome.problem, read_problem::kHeadTooLarge);
  outcome = Read("POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n", 50, limits);
  EXPECT_EQ(outcome.problem, read_problem::kBodyTooLarge);
  outcome = Read(
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
      "b\r\n01234567890\r\n0\r\n\r\n",
      1000, limits);
  EXPECT_EQ(outcome.problem, read_problem::kBodyTooLarge);
}

// A message one part of which is repeated and never ends.
struct endless_message {
  std::string name;
  std::string begin;
  std::string repeated;
  read_problem problem = read_problem::kNone;
};

std::vector<endless_message> EndlessMessages(const std::string& first_line) {
  using enum read_problem;
  const std::string chunked = first_line + "Transfer-Encoding: chunked\r\n\r\n";
  return {
      {"header", first_line + "X: ", "y", kHeadTooLarge},
      {"headers", first_line, "X: y\r\n", kHeadTooLarge},
      {"chunk size", chunked, "0", kFramingTooLarge},
      {"chunk extension", chunked + "5;", "x", kFramingTooLarge},
      {"chunk extensions", chunked, "1;" + std::string(90, 'x') + "\r\ny\r\n",
       kFramingTooLarge},
      {"trailer", chunked + "0\r\nX: ", "y", kFramingTooLarge},
      {"trailers", chunked + "0\r\n", "X: y\r\n", kFramingTooLarge},
      {"chunks", chunked, "1\r\ny\r\n", kBodyTooLarge},
      {"chunk", chunked + "fffffff\r\n", "y", kBodyTooLarge},
      {"body", first_line + "Content-Length: 99999999\r\n\r\n", "y",
       kBodyTooLarge},
  };
}

// Feeds the message in pieces until the reader refuses it; expects that little
// of it was read and kept until then.
template <typename Reader>
void ExpectRefused(const endless_message& message,
                   const read_limits& limits,
                   Reader reader) {
  constexpr std::size_t kPiece = 4096;
  const std::size_t max_bytes =
      2 * limits.max_head_bytes + 9 * limits.max_body_bytes + 2 * kPiece;
  std::string kept;
  std::string next = message.begin;
  std::size_t fed = 0;
  read_state state = read_state::kMore;
  while (state == read_state::kMore && fed <= max_bytes) {
    while (next.size() < kPiece) {
      next += message.repeated;
    }
    kept += next.substr(0, kPiece);
    next.erase(0, kPiece);
    fed += kPiece;
    std::size_t taken = 0;
    state = reader.Feed(kept, &taken);
    kept.erase(0, taken);
    ASSERT_LE(kept.size(), limits.max_head_bytes + kPiece) << message.name;
  }
  EXPECT_EQ(state, read_state::kFailed) << message.name;
  EXPECT_EQ(reader.problem(), message.problem) << message.name;
}

// Guards against memory and time that are used up by a target, a caller or a
// store whose message has a part without an end.
TEST(HttpReaderTest, RefusesMessagesOfWhichAnyPartHasNoEnd) {
  const read_limits limits{.max_head_bytes = 8192, .max_body_bytes = 20000};
  for (const auto& each : EndlessMessages("HTTP/1.1 200 OK\r\n")) {
    ExpectRefused(each, limits, response_reader(limits, false));
  }
  for (const auto& each : EndlessMessages("POST / HTTP/1.1\r\n")) {
    ExpectRefused(each, limits, request_reader(limits));
  }
  ExpectRefused({"body without a length", "HTTP/1.1 200 OK\r\n\r\n", "y",
                 read_problem::kBodyTooLarge},
                limits, response_reader(limits, false));
  ExpectRefused({"reason", "HTTP/1.1 200 ", "y", read_problem::kHeadTooLarge},
                limits, response_reader(limits, false));
}

// Guards against a bound that refuses what encoders send: small chunks, and
// signatures of chunks as extensions.
TEST(HttpReaderTest, ReadsBodiesInManyChunks) {
  const read_limits limits{.max_head_bytes = 1000, .max_body_bytes = 20000};
  const std::string head =
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  std::string single_bytes = head;
  std::string with_signatures = head;
  for (int i = 0; i < 1000; ++i) {
    single_bytes += "1\r\ny\r\n";
  }
  for (int i = 0; i < 100; ++i) {
    with_signatures +=
        "10;signature=" + std::string(64, 'a') + "\r\n0123456789abcdef\r\n";
  }
  for (const std::size_t step : {7, 4096}) {
    EXPECT_EQ(Read(single_bytes + "0\r\nX: y\r\n\r\n", step, limits)
                  .request.body.size(),
              1000U);
    EXPECT_EQ(
        Read(with_signatures + "0\r\n\r\n", step, limits).request.body.size(),
        1600U);
  }
}

TEST(HttpReaderTest, ACutRequestIsNeverWhole) {
  const std::string text =
      "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello";
  for (std::size_t length = 0; length < text.size(); ++length) {
    EXPECT_EQ(Read(text.substr(0, length)).state, read_state::kMore) << length;
  }
}

read_state ReadAnswer(const std::string& text, bool ends, read_response* out) {
  response_reader reader({}, false);
  std::size_t taken = 0;
  read_state state = reader.Feed(text, &taken);
  if (state == read_state::kMore && ends) {
    state = reader.FeedEnd();
  }
  if (state == read_state::kDone) {
    *out = reader.Take();
  }
  return state;
}

TEST(HttpReaderTest, AnAnswerWithoutALengthEndsWithItsConnection) {
  const std::string text = "HTTP/1.1 200 OK\r\nX: y\r\n\r\nhello";
  read_response response;
  EXPECT_EQ(ReadAnswer(text, false, &response), read_state::kMore);
  ASSERT_EQ(ReadAnswer(text, true, &response), read_state::kDone);
  EXPECT_EQ(response.body, "hello");
  EXPECT_FALSE(response.keep_alive);
}

// A target's process ends in the middle of an answer. What came must not be
// taken for all of it.
TEST(HttpReaderTest, AnAnswerThatEndsEarlyIsNotWhole) {
  read_response response;
  EXPECT_EQ(ReadAnswer("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello",
                       true, &response),
            read_state::kFailed);
  EXPECT_EQ(ReadAnswer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                       "5\r\nhello\r\n",
                       true, &response),
            read_state::kFailed);
  EXPECT_EQ(ReadAnswer("HTTP/1.1 200 OK\r\nX:", true, &response),
            read_state::kFailed);
  EXPECT_EQ(ReadAnswer("", true, &response), read_state::kFailed);
  EXPECT_EQ(ReadAnswer("nonsense\r\n\r\n", false, &response),
            read_state::kFailed);
}

// Guards against a head that ends with its connection and counts as whole.
TEST(HttpReaderTest, APartOfAHeadIsNoAnswer) {
  for (const std::string& head :
       {std::string("HTTP/1.1 200 OK\r\nX: y\r\nContent-Length: 0\r\n\r\n"),
        std::string("HTTP/1.0 200 OK\r\n\r\n"),
        std::string("HTTP/1.1 204 No Content\r\nX: y\r\n\r\n"),
        std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "0\r\n\r\n")}) {
    read_response response;
    ASSERT_EQ(ReadAnswer(head, true, &response), read_state::kDone) << head;
    for (std::size_t i = 0; i < head.size(); ++i) {
      EXPECT_EQ(ReadAnswer(head.substr(0, i), true, &response),
                read_state::kFailed)
          << head.substr(0, i);
    }
  }
}

// Guards against a body that is passed on in a coding that its head no longer
// names.
TEST(HttpReaderTest, RefusesAnswersWithOtherTransferCodings) {
  read_response response;
  for (const std::string& coding : kOtherCodings) {
    EXPECT_EQ(ReadAnswer("HTTP/1.1 200 OK\r\nTransfer-Encoding: " + coding +
                             "\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
                         true, &response),
              read_state::kFailed)
        << coding;
  }
}

// Guards against an answer of a target in trouble that is passed on as one: its
// status is none, or switches to another protocol unasked.
TEST(HttpReaderTest, RefusesAnswersWhoseStatusIsNone) {
  read_response response;
  for (const std::string status :
       {"000", "001", "099", "101", "600", "999", "99", "2000", "-20", "2x0"}) {
    EXPECT_EQ(ReadAnswer(
                  "HTTP/1.1 " + status + " X\r\nContent-Length: 5\r\n\r\nhello",
                  true, &response),
              read_state::kFailed)
        << status;
  }
  for (const std::string status : {"100", "102", "199", "200", "299", "599"}) {
    ASSERT_EQ(ReadAnswer(
                  "HTTP/1.1 " + status + " X\r\nContent-Length: 5\r\n\r\nhello",
                  true, &response),
              read_state::kDone)
        << status;
    EXPECT_EQ(std::to_string(response.status), status);
  }
}

// Guards against an answer in whose head the name or value of a field holds
// bytes that none may hold.
TEST(HttpReaderTest, RefusesAnswersWithOddFields) {
  using namespace std::string_literals;
  read_response response;
  for (const std::string& line :
       {"A b: c"s, "A\tb: c"s, "A : c"s, " A: c"s, "A\x01: c"s, "A\x7f: c"s,
        "A\0b: c"s, "A\rb: c"s, "A;b: c"s, "\xc3\xa9: c"s, ": c"s, ":"s, "A"s,
        "A: b\0c"s, "A: b\x01"s, "A: b\x7f"s, "A: b\rc"s, "A: b\nc"s}) {
    EXPECT_EQ(ReadAnswer("HTTP/1.1 200 OK\r\n" + line +
                             "\r\nContent-Length: 5\r\n\r\nhello",
                         true, &response),
              read_state::kFailed)
        << line;
  }
}

// Guards against fields behind a body that pass for those of its head, which
// decide where a request goes and what an answer says.
TEST(HttpReaderTest, TrailersAreNotPartOfTheHead) {
  const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
  const std::string body = "5\r\nhello\r\n0\r\n";
  const auto outcome = Read("POST / HTTP/1.1\r\nHost: x\r\n" + chunked + body +
                            "Host: y\r\nDeadline-Ms: 9\r\n\r\n");
  ASSERT_EQ(outcome.state, read_state::kDone);
  EXPECT_EQ(outcome.request.body, "hello");
  EXPECT_EQ(ToBlock(outcome.request.headers), "Host: x\r\n");
  read_response response;
  ASSERT_EQ(ReadAnswer("HTTP/1.1 200 OK\r\nA: b\r\n" + chunked + body +
                           "Not-Executed: 1\r\nKeep-Alive: timeout=9\r\n\r\n",
                       false, &response),
            read_state::kDone);
  EXPECT_EQ(response.body, "hello");
  EXPECT_EQ(ToBlock(response.headers), "A: b\r\n");
  EXPECT_EQ(response.keep_alive_header, "");
}

TEST(HttpReaderTest, HeadsCarryTheLengthOfTheBody) {
  EXPECT_EQ(
      RequestHead({.verb = "GET", .target = "/", .header_block = "A: b\r\n"},
                  "C: d\r\n"),
      "GET / HTTP/1.1\r\nA: b\r\nC: d\r\n\r\n");
  EXPECT_EQ(RequestHead({.verb = "PUT", .target = "/", .body = "xy"}, ""),
            "PUT / HTTP/1.1\r\nContent-Length: 2\r\n\r\n");
  EXPECT_EQ(ResponseHead(204, "", 0, true), "HTTP/1.1 204 No Content\r\n\r\n");
  EXPECT_EQ(
      ResponseHead(200, "", 3, false),
      "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nConnection: close\r\n\r\n");
}

}  // namespace
}  // namespace pistachioweir
