// forward_path: the forwarding path of one daemon, from callers' connections to
// its target and back, over real sockets; and a test caller.
#pragma once

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "include/base/call_log.h"
#include "include/forward/service_view.h"
#include "platform/caller_protocol.h"
#include "platform/target_protocol.h"
#include "src/forward/caller_server.h"
#include "src/forward/executor.h"
#include "src/forward/origin.h"
#include "src/forward/target_pool.h"
#include "tests/support/fake_http_target.h"
#include "tests/support/run_until.h"

namespace pistachioweir {

class forward_path {
 public:
  // `adjust` changes the origin's options before it is created.
  explicit forward_path(
      const std::function<void(origin_options*)>& adjust = nullptr)
      : target(context),
        pool(context, target.address(), {}),
        target_side(
            context,
            [this](target_run run, std::function<void(run_result)> done) {
              const auto handle = pool.Run(std::move(run), std::move(done));
              return
                  [handle] { target_pool<platform::targets>::Cancel(handle); };
            },
            executor_log),
        caller_side(context, Options(adjust), target_side, origin_log),
        server(context,
               {.address = {.ip = "127.0.0.1", .port = 0}},
               caller_side) {
    target_side.OnRunLost(
        [this](std::uint64_t parent) { caller_side.EndCallsOf(parent); });
  }

  // With organisations, requests have to carry API keys.
  void Configure(milliseconds timeout = milliseconds(5000),
                 std::vector<organisation> organisations = {}) {
    std::vector<route> routes;
    const auto add = [&](const std::string& name, repeat_policy repeats) {
      routes.push_back({.name = name,
                        .host = "a.example",
                        .prefix = "/" + name + "/",
                        .repeats = repeats,
                        .timeout = timeout,
                        .latency_objective = milliseconds(1000),
                        .max_targets = 2,
                        .parts = {{.service = "registry"}}});
    };
    add("look", repeat_policy::kIdempotent);
    add("sign", repeat_policy::kAtMostOnce);
    add("open", repeat_policy::kIdempotent);
    routes.back().is_public = true;
    auto config = std::make_shared<service_config>();
    config->version = 1;
    std::string problem;
    config->routes = *route_table::Make(std::move(routes), &problem);
    if (!organisations.empty()) {
      config->organisations = std::make_shared<const organisation_table>(
          *organisation_table::Make(std::move(organisations), &problem));
    }
    auto view = std::make_shared<service_view>();
    view->config = config;
    view->targets = {{.id = "target-1",
                      .service = "registry",
                      .address = target.address(),
                      .data_centre = "waw-a",
                      .slots = 8}};
    target_side.SetSlots(8);
    caller_side.SetView(view);
  }

  ::testing::AssertionResult RunUntil(const std::function<bool()>& done) {
    return pistachioweir::RunUntil(context, done);
  }

  void RunFor(milliseconds time) {
    const time_point end = monotonic_clock::now() + time;
    RunUntil([&] { return monotonic_clock::now() >= end; });
  }

  boost::asio::io_context context;
  call_log origin_log{{}};
  call_log executor_log{{}};
  fake_http_target target;
  target_pool<platform::targets> pool;
  executor target_side;
  origin caller_side;
  caller_server<platform::callers> server;

 private:
  origin_options Options(const std::function<void(origin_options*)>& adjust) {
    origin_options options{.vm = "vm-1",
                           .service = "registry",
                           .data_centre = "waw-a",
                           .own_target = target.address(),
                           .self = incarnation_id{7}};
    if (adjust) {
      adjust(&options);
    }
    return options;
  }
};

// A caller's connection.
class caller {
 public:
  explicit caller(forward_path& path) : path_(path), socket_(path.context) {
    const endpoint at = path.server.address();
    socket_.connect(boost::asio::ip::tcp::endpoint(
        boost::asio::ip::make_address(at.ip), at.port));
    Read();
  }

  void Send(const std::string& bytes) {
    boost::asio::write(socket_, boost::asio::buffer(bytes));
  }

  void Request(const std::string& verb,
               const std::string& target,
               const std::string& id,
               const std::string& body = "",
               const std::string& extra_headers = "") {
    std::string text = verb + " " + target +
                       " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + id +
                       "\r\nDeadline-Ms: 4000\r\n" + extra_headers;
    if (!body.empty() || verb != "GET") {
      text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    Send(text + "\r\n" + body);
  }

  void Disconnect() {
    boost::system::error_code ignored;
    socket_.close(ignored);
  }

  // Waits for the next complete response; default if the connection closes.
  read_response NextResponse() {
    read_response next;
    EXPECT_TRUE(path_.RunUntil([&] { return !answers.empty() || closed; }));
    if (!answers.empty()) {
      next = answers.front();
      answers.erase(answers.begin());
    }
    return next;
  }

  std::vector<read_response> answers;
  bool closed = false;
  bool asks_heads = false;  // Its requests are HEAD.

 private:
  void Read() {
    socket_.async_read_some(
        boost::asio::buffer(chunk_),
        [this](boost::system::error_code error, std::size_t bytes) {
          if (error) {
            closed = true;
            return;
          }
          buffer_.append(chunk_.data(), bytes);
          ParseResponses();
          Read();
        });
  }

  void ParseResponses() {
    while (!buffer_.empty()) {
      response_reader reader({}, asks_heads);
      std::size_t taken = 0;
      // An incomplete message is parsed again from its beginning.
      if (reader.Feed(buffer_, &taken) != read_state::kDone) {
        return;
      }
      buffer_.erase(0, taken);
      answers.push_back(reader.Take());
    }
  }

  forward_path& path_;
  boost::asio::ip::tcp::socket socket_;
  std::array<char, 65536> chunk_{};
  std::string buffer_;
};

inline std::string Header(const read_request& request, std::string_view name) {
  return std::string(FindHeader(request.headers, name).value_or("(none)"));
}

}  // namespace pistachioweir
