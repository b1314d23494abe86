// The end of a caller's connection with several requests on it.
#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "tests/support/fake_http_target.h"
#include "tests/support/forward_path.h"

namespace pistachioweir {
namespace {

using connection_ptr = fake_http_target::connection_ptr;

constexpr milliseconds kSettle{50};

class caller_session_end_test : public testing::Test {
 protected:
  caller_session_end_test() {
    path_.Configure();
    path_.target.on_request = [this](const read_request& request,
                                     const connection_ptr& from) {
      held_.emplace_back(request, from);
    };
  }

  void AwaitHeld(std::size_t count) {
    ASSERT_TRUE(path_.RunUntil([&] { return held_.size() == count; }));
  }

  // The target answers the request that it got as number `index`.
  void Answer(std::size_t index) {
    const auto& [request, from] = held_.at(index);
    from->Send(fake_http_target::Answer(request, request.target));
    path_.RunFor(kSettle);
  }

  forward_path path_;
  std::vector<std::pair<read_request, connection_ptr>> held_;
};

// Guards against a stop that closes a connection on which requests are running.
TEST_F(caller_session_end_test, AStopAnswersEachRequestOfAConnection) {
  caller client(path_);
  for (const std::string name : {"1", "2", "3"}) {
    client.Request("GET", "/look/" + name, "id-" + name);
  }
  AwaitHeld(3);
  path_.server.Drain();
  for (std::size_t i = 0; i < 3; ++i) {
    Answer(i);
  }
  for (const std::string name : {"1", "2", "3"}) {
    const read_response answer = client.NextResponse();
    EXPECT_EQ(answer.body, "/look/" + name);
    EXPECT_EQ(answer.keep_alive, name != "3");
  }
  EXPECT_TRUE(path_.RunUntil([&] { return client.closed; }));
}

// Guards against a stop that drops answers which targets have given, but that
// wait for one before them.
TEST_F(caller_session_end_test, AStopWritesAnswersThatWaitForTheirTurn) {
  caller client(path_);
  for (const std::string name : {"1", "2", "3"}) {
    client.Request("GET", "/look/" + name, "id-" + name);
  }
  AwaitHeld(3);
  path_.server.Drain();
  for (const std::size_t i : {1, 2, 0}) {
    Answer(i);
  }
  for (const std::string name : {"1", "2", "3"}) {
    EXPECT_EQ(client.NextResponse().body, "/look/" + name);
  }
}

// Guards against a refusal of unreadable bytes that drops requests before them.
TEST_F(caller_session_end_test, AStopAnswersRequestsBeforeUnreadableBytes) {
  caller client(path_);
  client.Request("GET", "/look/1", "id-1");
  client.Request("GET", "/look/2", "id-2");
  AwaitHeld(2);
  client.Send("no request\r\n\r\n");
  path_.RunFor(kSettle);
  path_.server.Drain();
  Answer(0);
  Answer(1);
  EXPECT_EQ(client.NextResponse().body, "/look/1");
  EXPECT_EQ(client.NextResponse().body, "/look/2");
  EXPECT_EQ(client.NextResponse().status, 400);
}

// Guards against an at-most-once request that runs although its caller was told
// that it is unread, and has sent it again.
TEST_F(caller_session_end_test, ADeferredRequestIsNotBegunBehindTheLastAnswer) {
  caller client(path_);
  client.Request("GET", "/look/1", "id-1");
  client.Request("POST", "/sign/1", "id-2", "x");
  AwaitHeld(1);
  path_.server.Drain();
  Answer(0);
  EXPECT_FALSE(client.NextResponse().keep_alive);
  client.Request("GET", "/look/2", "id-3");  // Crosses the close.
  path_.RunFor(kSettle);
  EXPECT_EQ(held_.size(), 1U);
}

// Guards against a connection that never ends while its caller sends on.
TEST_F(caller_session_end_test, AStoppingDaemonBeginsNothingBehindOthers) {
  caller client(path_);
  client.Request("GET", "/look/1", "id-1");
  AwaitHeld(1);
  path_.server.Drain();
  client.Request("GET", "/look/2", "id-2");
  path_.RunFor(kSettle);
  EXPECT_EQ(held_.size(), 1U);
  Answer(0);
  EXPECT_FALSE(client.NextResponse().keep_alive);
}

// Guards against a stop that closes a connection as idle while a request is
// being read from it.
TEST_F(caller_session_end_test, ARequestThatIsBeingReadIsRefusedNotCut) {
  caller client(path_);
  client.Send("GET /look/1 HTTP/1.1\r\n");
  path_.RunFor(kSettle);
  path_.server.Drain();
  path_.server.RefuseNew();
  client.Send("Host: a.example\r\nRequest-Id: id-1\r\n\r\n");
  EXPECT_EQ(client.NextResponse().status, 503);
}

}  // namespace
}  // namespace pistachioweir
