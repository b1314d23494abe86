// Tests of taking requests to the homes of their keys.
#include "src/daemon/key_relay.h"

#include <utility>

#include <boost/asio/post.hpp>

#include <gtest/gtest.h>

#include <atomic>
#include <functional>
#include <future>
#include <memory>
#include <vector>

#include "include/call/envelope.h"
#include "src/daemon/peer_client.h"
#include "src/net/http_server.h"
#include "src/net/worker_pool.h"

namespace pistachioweir {
namespace {

using exchange_ptr = std::shared_ptr<http_exchange>;

http_response Completion() {
  answer_envelope answer;
  answer.result = Completed({.status = 200, .body = "signed"});
  return {.status = 200, .body = Encode(answer)};
}

// A home whose handler the test gives, and a relay to it.
class key_relay_test : public ::testing::Test {
 protected:
  void Serve(std::function<void(const exchange_ptr&)> handler) {
    home_ = std::make_unique<http_server>(
        workers_, http_server_options{.address = {.ip = "127.0.0.1", .port = 0},
                                      .handler = std::move(handler)});
    workers_.Start();
  }

  void TearDown() override { workers_.Stop(); }

  outcome Relay(milliseconds timeout) {
    std::promise<outcome> told;
    boost::asio::post(workers_.context(0), [&] {
      outbound_request request{.deadline = monotonic_clock::now() + timeout};
      request.request.binding = execution_binding{};
      std::make_shared<key_relay>(workers_, 0, peers_, home_->address())
          ->Start(request,
                  [&](const outcome& result) { told.set_value(result); });
    });
    return told.get_future().get();
  }

  worker_pool workers_{1};
  peer_client peers_{workers_, "token"};
  std::unique_ptr<http_server> home_;
};

// A signature waits in the queue of its target for longer than a part of the
// caller's time. The home cancels what nobody waits for; before the first copy
// was kept open, the caller was told that its signature was cancelled although
// there was time to run it.
TEST_F(key_relay_test, SlowRequestIsNotAbandoned) {
  std::vector<exchange_ptr> copies;
  std::atomic<bool> abandoned{false};
  Serve([&](const exchange_ptr& exchange) {
    copies.push_back(exchange);
    if (copies.size() == 1) {
      exchange->OnDisconnect([&] { abandoned = true; });
      return;
    }
    // The second copy has come; give a closed first one time to show.
    exchange->OnDisconnect([] {});
    auto timer = std::make_shared<boost::asio::steady_timer>(
        workers_.context(0), milliseconds(50));
    timer->async_wait([&, timer](boost::system::error_code /*error*/) {
      copies[0]->Respond(Completion());
    });
  });
  const outcome result = Relay(milliseconds(3000));
  EXPECT_FALSE(abandoned);
  EXPECT_EQ(result.kind, outcome_kind::kCompleted);
  EXPECT_EQ(result.reply.body, "signed");
  copies.clear();
}

// The kept connection to the home has gone silent: nothing comes back on it.
// The second copy brings the answer in time.
TEST_F(key_relay_test, SilentConnectionIsWorkedAround) {
  std::vector<exchange_ptr> copies;
  Serve([&](const exchange_ptr& exchange) {
    copies.push_back(exchange);
    if (copies.size() > 1) {
      exchange->Respond(Completion());
    }
  });
  EXPECT_EQ(Relay(milliseconds(3000)).kind, outcome_kind::kCompleted);
  copies.clear();
}

// The home's VM is gone. Whether it started the request before can't be known
// here, so the caller is told unknown and never "not executed".
TEST_F(key_relay_test, LostHomeIsUnknown) {
  Serve([](const exchange_ptr& exchange) {
    exchange->Respond({.status = 500, .close = true});
  });
  const outcome result = Relay(milliseconds(3000));
  EXPECT_EQ(result.kind, outcome_kind::kUnknown);
  EXPECT_EQ(result.why, reason::kHomeUnreachable);
}

}  // namespace
}  // namespace pistachioweir
