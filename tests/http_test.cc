// Tests of the HTTP server and client against each other and against raw
// sockets.
#include <utility>

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <atomic>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "src/net/http_client.h"
#include "src/net/http_server.h"
#include "src/net/worker_pool.h"

namespace pistachioweir {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using exchange_ptr = std::shared_ptr<http_exchange>;

// A server on a free port whose handler the test gives, and a client.
class http_test : public ::testing::Test {
 protected:
  using handler = std::function<void(const exchange_ptr&)>;

  void Serve(handler served) {
    server_ = std::make_unique<http_server>(
        workers_, http_server_options{.address = {.ip = "127.0.0.1", .port = 0},
                                      .max_body_bytes = 100,
                                      .refusal =
                                          [](int status) {
                                            return http_response{
                                                .status = status,
                                                .body = "refused"};
                                          },
                                      .handler = std::move(served)});
    workers_.Start();
  }

  void TearDown() override { workers_.Stop(); }

  // Sends one request by the client and waits for its end.
  exchange_result Send(const endpoint& address,
                       http_request request,
                       milliseconds timeout = milliseconds(5000)) {
    std::promise<exchange_result> ended;
    auto result = ended.get_future();
    asio::post(workers_.context(0), [&, request]() mutable {
      client_.Send(
          address, std::move(request), monotonic_clock::now() + timeout,
          /*fresh=*/false,
          [&](exchange_result told) { ended.set_value(std::move(told)); });
    });
    return result.get();
  }

  tcp::socket Connect() {
    const endpoint address = server_->address();
    tcp::socket socket(io_);
    socket.connect({asio::ip::make_address(address.ip), address.port});
    return socket;
  }

  // Sends bytes and reads until the server closes.
  std::string Exchange(const std::string& bytes) {
    tcp::socket socket = Connect();
    asio::write(socket, asio::buffer(bytes));
    std::string answer;
    boost::system::error_code error;
    asio::read(socket, asio::dynamic_buffer(answer), error);
    return answer;
  }

  bool EventuallyIdle() {
    constexpr int kTries = 1000;
    for (int i = 0; i < kTries; ++i) {
      if (server_->open_exchanges() == 0) {
        return true;
      }
      std::this_thread::sleep_for(milliseconds(10));
    }
    return false;
  }

  worker_pool workers_{2};
  asio::io_context io_;
  http_client client_{workers_.context(0), {}};
  std::unique_ptr<http_server> server_;
};

void Echo(const exchange_ptr& exchange) {
  exchange->Respond({.status = 200, .body = exchange->request().body});
}

TEST_F(http_test, AnswersBelongToTheirRequests) {
  Serve(Echo);
  for (int i = 0; i < 20; ++i) {
    const std::string body = std::to_string(i);
    const auto result = Send(server_->address(), {.path = "/x", .body = body});
    EXPECT_EQ(result.end, exchange_end::kAnswered);
    EXPECT_EQ(result.response.body, body);
  }
  EXPECT_EQ(server_->connections(), 1U);
}

// Guards against answers that are cut off by a reset, since the server closes
// their connection with bytes of a later request unread.
TEST_F(http_test, AnAnswerSurvivesBytesThatCrossItsClose) {
  constexpr std::size_t kBody = 1 << 20;
  Serve([](const exchange_ptr& exchange) {
    exchange->Respond(
        {.status = 200, .body = std::string(kBody, 'x'), .close = true});
  });
  tcp::socket socket = Connect();
  asio::write(socket,
              asio::buffer(std::string("GET /x HTTP/1.1\r\nHost: a\r\n\r\n")));
  std::string answer(1, '\0');
  asio::read(socket, asio::buffer(answer));
  asio::write(socket, asio::buffer(std::string(100000, 'y')));
  ASSERT_TRUE(EventuallyIdle());
  std::this_thread::sleep_for(milliseconds(100));
  boost::system::error_code error;
  asio::read(socket, asio::dynamic_buffer(answer), error);
  EXPECT_EQ(error, asio::error::eof);
  EXPECT_GT(answer.size(), kBody);
}

// Nothing listens any more where a VM was replaced. The caller may be told that
// its request did not run, since no byte of it left.
TEST_F(http_test, RefusedConnectionIsNotSent) {
  endpoint gone;
  {
    tcp::acceptor acceptor(io_, tcp::endpoint(tcp::v4(), 0));
    gone = {.ip = "127.0.0.1", .port = acceptor.local_endpoint().port()};
  }
  Serve(Echo);
  EXPECT_EQ(Send(gone, {.path = "/x"}).end, exchange_end::kNotSent);
}

// The other process dies behind the request. It may have run, and nobody may
// be told otherwise.
TEST_F(http_test, ConnectionThatEndsWithoutAnswerIsLost) {
  Serve(Echo);
  tcp::acceptor acceptor(io_, tcp::endpoint(tcp::v4(), 0));
  std::thread dying([&] {
    tcp::socket socket = acceptor.accept();
    char byte = 0;
    asio::read(socket, asio::buffer(&byte, 1));
  });
  const endpoint address{.ip = "127.0.0.1",
                         .port = acceptor.local_endpoint().port()};
  EXPECT_EQ(Send(address, {.path = "/x"}).end, exchange_end::kLost);
  dying.join();
}

// Something between the two ends has lost track of the connection: bytes go
// out, nothing comes back. The caller hears of it at its deadline, and the next
// request doesn't wait on the same connection.
TEST_F(http_test, SilentConnectionTimesOutAndIsNotKept) {
  std::atomic<int> served{0};
  exchange_ptr held;
  Serve([&](const exchange_ptr& exchange) {
    if (++served == 1) {
      held = exchange;
    } else {
      Echo(exchange);
    }
  });
  EXPECT_EQ(Send(server_->address(), {.path = "/x"}, milliseconds(50)).end,
            exchange_end::kTimedOut);
  EXPECT_EQ(Send(server_->address(), {.path = "/x"}).end,
            exchange_end::kAnswered);
  held = nullptr;
}

// A caller gives up and closes its connection while its request waits. The
// request is dropped without an answer. Before the count was kept by the
// connection, it stayed open for ever, and a planned stop waited for it.
TEST_F(http_test, RequestOfACallerThatWentAwayIsNotCountedAsOpen) {
  std::promise<void> dropped;
  Serve([&](const exchange_ptr& exchange) {
    exchange->OnDisconnect([&] { dropped.set_value(); });
  });
  {
    tcp::socket socket = Connect();
    asio::write(socket, asio::buffer(std::string(
                            "POST /x HTTP/1.1\r\nContent-Length: 0\r\n\r\n")));
    while (server_->open_exchanges() == 0) {
      std::this_thread::yield();
    }
  }
  dropped.get_future().get();
  EXPECT_TRUE(EventuallyIdle());
}

// A daemon stops while callers still hold idle connections, served by several
// workers. It crashed at its very end, since the last connection to go took the
// listening socket with it, whose worker was gone; operators saw a failed stop.
TEST_F(http_test, ServerEndsBeforeItsIdleConnections) {
  auto workers = std::make_unique<worker_pool>(2);
  auto server = std::make_unique<http_server>(
      *workers, http_server_options{.address = {.ip = "127.0.0.1", .port = 0},
                                    .handler = Echo});
  workers->Start();
  const endpoint address = server->address();
  std::vector<tcp::socket> idle;
  constexpr std::size_t kConnections = 8;
  while (idle.size() < kConnections) {
    idle.emplace_back(io_);
    idle.back().connect({asio::ip::make_address(address.ip), address.port});
  }
  while (server->connections() < kConnections) {
    std::this_thread::yield();
  }
  workers->Stop();
  server.reset();
  workers.reset();
}

// Bytes that aren't HTTP, or say two things about where a request ends. Taking
// a guess would let one caller's bytes pass for the next request.
TEST_F(http_test, MalformedRequestsAreRefused) {
  Serve(Echo);
  for (const std::string bytes :
       {"nonsense\r\n\r\n",
        "POST /x HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
        "POST /x HTTP/1.1\r\nContent-Length: abc\r\n\r\n",
        "POST /x HTTP/1.1\r\nContent-Length: -1\r\n\r\n"}) {
    EXPECT_TRUE(Exchange(bytes).starts_with("HTTP/1.1 400")) << bytes;
  }
  EXPECT_TRUE(Exchange("POST /x HTTP/1.1\r\nContent-Length: 101\r\n\r\n" +
                       std::string(101, 'x'))
                  .starts_with("HTTP/1.1 413"));
  EXPECT_TRUE(EventuallyIdle());
}

// Guards against a request whose body, in a coding that isn't read, is served
// as further requests.
TEST_F(http_test, RequestsWithOtherTransferCodingsAreRefused) {
  std::atomic<int> served{0};
  Serve([&](const exchange_ptr& exchange) {
    ++served;
    Echo(exchange);
  });
  for (const std::string coding :
       {"gzip", "identity", "chunked, gzip", "gzip, chunked", "xchunked"}) {
    const std::string answer =
        Exchange("POST /x HTTP/1.1\r\nTransfer-Encoding: " + coding +
                 "\r\n\r\nGET /hidden HTTP/1.1\r\nConnection: close\r\n\r\n");
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 400")) << coding;
  }
  EXPECT_EQ(served, 0);
}

// Guards against bytes that are no answer and are told as one.
TEST_F(http_test, AnswersThatAreNoneAreLost) {
  Serve(Echo);
  for (const std::string head :
       {"HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\n",
        "HTTP/1.1 999 X\r\nContent-Length: 2\r\n\r\n",
        "HTTP/1.1 200 X\r\nTransfer-Encoding: gzip\r\n\r\n",
        "HTTP/1.1 200 X\r\nTransfer-Encoding: gzip, chunked\r\n\r\n"
        "2\r\nok\r\n0\r\n\r\n"}) {
    tcp::acceptor acceptor(io_, tcp::endpoint(tcp::v4(), 0));
    std::thread answering([&] {
      tcp::socket socket = acceptor.accept();
      std::string request;
      asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n");
      asio::write(socket, asio::buffer(head + "ok"));
    });
    const endpoint address{.ip = "127.0.0.1",
                           .port = acceptor.local_endpoint().port()};
    EXPECT_EQ(Send(address, {.path = "/x"}).end, exchange_end::kLost) << head;
    answering.join();
  }
}

// Guards against a part of a head that is told as an answer.
TEST_F(http_test, PartsOfAHeadAreLost) {
  Serve(Echo);
  const std::string head =
      "HTTP/1.1 200 OK\r\nX: y\r\nContent-Length: 0\r\n\r\n";
  tcp::acceptor acceptor(io_, tcp::endpoint(tcp::v4(), 0));
  const endpoint address{.ip = "127.0.0.1",
                         .port = acceptor.local_endpoint().port()};
  for (std::size_t i = 0; i < head.size(); ++i) {
    std::thread answering([&] {
      tcp::socket socket = acceptor.accept();
      std::string request;
      asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n");
      asio::write(socket, asio::buffer(head, i));
    });
    EXPECT_EQ(Send(address, {.path = "/x"}).end, exchange_end::kLost) << i;
    answering.join();
  }
}

}  // namespace
}  // namespace pistachioweir
