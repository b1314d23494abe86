// Calls that the daemon beside a target reads late: its event loop doesn't run
// while another daemon sends, so that all it has sent waits in a socket.
#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

#include "include/base/call_log.h"
#include "platform/target_protocol.h"
#include "src/forward/executor.h"
#include "src/forward/target_pool.h"
#include "src/peer/peer_link.h"
#include "src/peer/peer_server.h"
#include "tests/support/fake_http_target.h"
#include "tests/support/run_until.h"

namespace pistachioweir {
namespace {

using connection_ptr = fake_http_target::connection_ptr;

constexpr milliseconds kSettle{300};

// The daemon beside a target with an event loop of its own, so that the test
// decides when it reads, and the link of another daemon to it.
class late_executor_test : public testing::Test {
 protected:
  late_executor_test()
      : target_(far_),
        pool_(far_, target_.address(), {}),
        calls_(
            far_,
            [this](target_run run, std::function<void(run_result)> done) {
              const auto handle = pool_.Run(std::move(run), std::move(done));
              return
                  [handle] { target_pool<platform::targets>::Cancel(handle); };
            },
            log_),
        server_(far_,
                {.address = {.ip = "127.0.0.1", .port = 0},
                 .self = incarnation_id{9}},
                calls_),
        link_(std::make_shared<peer_link>(
            near_,
            peer_link_options{
                .address = server_.address(),
                .self = incarnation_id{7},
                .vm = "vm-1",
                .silence = milliseconds(60000),
                .last_number = std::make_shared<std::uint64_t>(0)},
            peer_link_events{
                .on_reachable = [](bool, std::string_view) {},
                .on_leaving = [](bool) {},
                .on_load = [](const load_report&) {},
                .on_report = [](const neighbour_report&) {},
                .on_suspects =
                    [](const suspects_frame&) { return suspects_frame{}; },
                .known_suspects = [] { return suspects_frame{}; },
                .revision = [] { return std::uint64_t{0}; }})) {
    calls_.SetSlots(8);
    target_.on_request = [this](const read_request& request,
                                const connection_ptr& from) {
      if (answers_) {
        from->Send(fake_http_target::Answer(request, request.target));
      } else {
        unanswered_ = from;
        last_ = request;
      }
    };
  }
  ~late_executor_test() override { link_->Close(); }

  std::uint64_t Send(const std::string& id,
                     milliseconds remaining = milliseconds(5000),
                     std::size_t body_bytes = 0) {
    return link_->Send(
        {.target_id = "target-1",
         .route = "look",
         .repeats = repeat_policy::kIdempotent,
         .remaining = remaining,
         .objective_left = remaining,
         .request_id = id,
         .request = {.verb = "GET",
                     .target = "/look/" + id,
                     .header_block = "Request-Id: " + id + "\r\n",
                     .body = std::string(body_bytes, 'x')}},
        [this](peer_answer answer) {
          ++answered_;
          last_answer_ = std::move(answer);
        });
  }

  // Runs both daemons.
  ::testing::AssertionResult RunBothUntil(const std::function<bool()>& done) {
    return RunUntil(near_, [&] {
      far_.restart();
      far_.poll();
      return done();
    });
  }

  // The link and a connection to the target are in use.
  void WarmUp() {
    Send("warm");
    ASSERT_TRUE(RunBothUntil([&] { return answered_ == 1; }));
  }

  // Only the daemon that calls.
  void RunNearFor(milliseconds time) {
    near_.restart();
    near_.run_for(time);
  }
  void RunFarFor(milliseconds time) {
    far_.restart();
    far_.run_for(time);
  }

  boost::asio::io_context near_;
  boost::asio::io_context far_;
  call_log log_{{}};
  fake_http_target target_;
  target_pool<platform::targets> pool_;
  executor calls_;
  peer_server server_;
  std::shared_ptr<peer_link> link_;
  bool answers_ = true;
  connection_ptr unanswered_;
  read_request last_;
  int answered_ = 0;
  peer_answer last_answer_;
};

// Guards against calls that reach the target although their cancellation has
// arrived.
TEST_F(late_executor_test, ACancelledCallIsNotSent) {
  WarmUp();
  const std::uint64_t number = Send("left");
  RunNearFor(milliseconds(50));
  link_->Cancel(number);
  RunNearFor(milliseconds(50));
  RunFarFor(kSettle);
  EXPECT_EQ(target_.requests.size(), 1U);
}

// As above, with more bytes between the call and its cancellation than the
// daemon takes from a socket at a time.
TEST_F(late_executor_test, ACallCancelledFarBehindIsNotSent) {
  WarmUp();
  constexpr std::size_t kBodyBytes = 100000;
  const std::uint64_t number = Send("left");
  RunNearFor(milliseconds(50));
  Send("stays", milliseconds(5000), kBodyBytes);
  RunNearFor(milliseconds(50));
  link_->Cancel(number);
  RunNearFor(milliseconds(50));
  RunFarFor(kSettle);
  ASSERT_EQ(target_.requests.size(), 2U);
  EXPECT_EQ(target_.requests[1].target, "/look/stays");
}

// Guards against calls that are begun although their sender, which had no
// answer for long, has closed the connection and given them up.
TEST_F(late_executor_test, ACallOnAClosedConnectionIsNotSent) {
  WarmUp();
  Send("left");
  RunNearFor(milliseconds(50));
  link_->Close();
  RunFarFor(kSettle);
  EXPECT_EQ(target_.requests.size(), 1U);
}

// Guards against calls that reach the target after their deadline, since the
// time in which they were not read doesn't count.
TEST_F(late_executor_test, ACallReadAfterItsDeadlineIsNotSent) {
  WarmUp();
  Send("warm");  // The link knows by now that the daemon reads send times.
  ASSERT_TRUE(RunBothUntil([&] { return answered_ == 2; }));
  Send("late", milliseconds(300));
  RunNearFor(milliseconds(50));
  std::this_thread::sleep_for(milliseconds(700));
  RunFarFor(kSettle);
  EXPECT_EQ(target_.requests.size(), 2U);
  RunNearFor(kSettle);
  EXPECT_EQ(answered_, 3);
  EXPECT_EQ(last_answer_.answer.kind, outcome_kind::kNotExecuted);
}

// Guards against queued calls that are begun when a run ends although their
// cancellation has arrived.
TEST_F(late_executor_test, ACancelledCallIsNotBegunFromTheQueue) {
  calls_.SetSlots(1);
  WarmUp();
  answers_ = false;
  Send("runs");
  ASSERT_TRUE(RunBothUntil([&] { return unanswered_ != nullptr; }));
  const std::uint64_t number = Send("left");
  ASSERT_TRUE(RunBothUntil([&] { return calls_.in_progress() == 2; }));
  unanswered_->Send(fake_http_target::Answer(last_, "done"));
  std::this_thread::sleep_for(milliseconds(50));
  link_->Cancel(number);
  RunNearFor(milliseconds(50));
  RunFarFor(kSettle);
  EXPECT_EQ(target_.requests.size(), 2U);
}

}  // namespace
}  // namespace pistachioweir
