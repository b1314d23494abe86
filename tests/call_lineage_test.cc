// Calls that a target makes while it runs requests, through its own daemon and
// to another one, over real sockets: what they inherit, and how they end.
#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "include/base/call_log.h"
#include "include/forward/service_view.h"
#include "src/forward/executor.h"
#include "src/net/tcp_listener.h"
#include "src/peer/peer_server.h"
#include "tests/support/forward_path.h"

namespace pistachioweir {
namespace {

const std::string kRemoteIp = "127.0.0.9";

// The daemon of the called service. Its target has one slot, and its runs last
// until the test ends them.
class called_daemon {
 public:
  called_daemon(boost::asio::io_context& context, std::uint16_t port)
      : target_side(
            context,
            [this](target_run run, std::function<void(run_result)> done) {
              runs.push_back(std::move(run));
              ends.push_back(std::move(done));
              return [this, run = runs.size() - 1] {
                ++cancelled;
                ends[run]({.end = run_end::kCancelled});
              };
            },
            log),
        server(context,
               {.address = {.ip = kRemoteIp, .port = port},
                .self = incarnation_id{9}},
               target_side) {
    target_side.SetSlots(1);
    // Makes visible what arrives with each call.
    target_side.SetLineagePolicy(lineage_policy::kRequestId);
  }

  void EndRun() {
    run_result result{.end = run_end::kAnswered};
    result.response = {.status = 200, .body = "done"};
    ends.back()(std::move(result));
  }

  // The request that runs; their numbers count up from one. Default if none.
  [[nodiscard]] running_request Running() const {
    for (std::uint64_t key = 1; key <= kMostCalls; ++key) {
      if (const running_request* found = target_side.FindRunning(key)) {
        return *found;
      }
    }
    return {};
  }

  static constexpr std::uint64_t kMostCalls = 100;
  call_log log{{}};
  std::vector<target_run> runs;
  std::vector<std::function<void(run_result)>> ends;
  int cancelled = 0;
  executor target_side;
  peer_server server;
};

class call_lineage_test : public testing::Test {
 protected:
  call_lineage_test()
      : path_([this](origin_options* options) { options->peer_port = port_; }),
        called_(path_.context, port_),
        client_(path_),
        target_(path_) {
    path_.target.on_request =
        [this](const read_request&,
               const fake_http_target::connection_ptr& at) { at_target_ = at; };
  }

  // Requests of rank 0 for the target beside the daemon, and calls of rank 1.
  void Configure(lineage_policy policy) {
    path_.Configure();
    const auto made = [](const std::string& name, repeat_policy repeats,
                         std::uint32_t rank, const std::string& service) {
      return route{.name = name,
                   .host = "a.example",
                   .prefix = "/" + name + "/",
                   .repeats = repeats,
                   .timeout = milliseconds(5000),
                   .max_targets = 2,
                   .rank = rank,
                   .parts = {{.service = service}}};
    };
    using enum repeat_policy;
    auto config = std::make_shared<service_config>();
    config->version = 1;
    std::string problem;
    config->routes =
        *route_table::Make({made("order", kIdempotent, 0, "registry"),
                            made("sign", kAtMostOnce, 0, "registry"),
                            made("peek", kIdempotent, 1, "ledger"),
                            made("book", kAtMostOnce, 1, "ledger")},
                           &problem);
    auto view = std::make_shared<service_view>(*path_.caller_side.listed());
    view->config = config;
    view->targets.push_back({.id = "target-2",
                             .service = "ledger",
                             .address = {.ip = kRemoteIp, .port = 1},
                             .data_centre = "waw-a",
                             .slots = 1});
    path_.caller_side.SetView(view);
    path_.target_side.SetLineagePolicy(policy);
    // The first call may leave before the peer has told what it reads.
    target_.Request("GET", "/peek/0", "warm");
    ASSERT_TRUE(RunUntil([&] { return called_.runs.size() == 1; }));
    called_.EndRun();
    EXPECT_EQ(target_.NextResponse().status, 200);
  }

  // Lets the target beside the daemon run a request until further notice.
  void StartParent(const std::string& path, const std::string& id) {
    client_.Request("GET", path, id);
    ASSERT_TRUE(RunUntil([&] { return at_target_ != nullptr; }));
  }

  // Sends a call that `caller` makes, and waits until it runs.
  void Call(caller& from, const std::string& path, const std::string& id) {
    const std::size_t before = called_.runs.size();
    from.Request("GET", path, id);
    ASSERT_TRUE(RunUntil([&] { return called_.runs.size() > before; }));
    EXPECT_EQ(called_.runs.back().request_id, id);
  }

  ::testing::AssertionResult RunUntil(const std::function<bool()>& done) {
    return path_.RunUntil(done);
  }

  static std::uint16_t FreePort() {
    boost::asio::io_context context;
    const auto listener = Listen(context, {.ip = kRemoteIp, .port = 0});
    return LocalEndpoint(listener).port;
  }

  [[nodiscard]] std::uint64_t Found(lineage_evidence evidence) const {
    return path_.target_side.lineages()[static_cast<std::size_t>(evidence)];
  }

  const std::uint16_t port_ = FreePort();
  forward_path path_;
  called_daemon called_;
  caller client_;
  caller target_;  // Connection on which the target makes its calls.
  fake_http_target::connection_ptr at_target_;
};

// Guards against the most important requests that wait behind others at the
// services that they call, and against a rank for callers who claim ids of
// requests that don't run.
TEST_F(call_lineage_test, ACallHasTheRankOfItsRequestInTheCalledQueue) {
  Configure(lineage_policy::kRequestId);
  StartParent("/order/1", "id-1");
  caller other(path_);
  Call(other, "/peek/1", "id-2.1");
  EXPECT_EQ(called_.Running().rank, 1U);
  EXPECT_EQ(called_.Running().lineage, (call_lineage{.root = "peek"}));
  // Both wait for the only slot; the one that came last starts first.
  caller second(path_);
  second.Request("GET", "/peek/2", "id-3.1");
  ASSERT_TRUE(RunUntil([&] { return called_.target_side.Load().queued == 1; }));
  target_.Request("GET", "/peek/3", "id-1.7");
  ASSERT_TRUE(RunUntil([&] { return called_.target_side.Load().queued == 2; }));
  called_.EndRun();
  ASSERT_TRUE(RunUntil([&] { return called_.runs.size() == 3; }));
  EXPECT_EQ(called_.runs.back().request_id, "id-1.7");
  EXPECT_EQ(called_.Running().rank, 0U);
  EXPECT_EQ(called_.Running().lineage,
            (call_lineage{.root = "order", .depth = 1}));
  EXPECT_EQ(Found(lineage_evidence::kRequestId), 1U);
  EXPECT_EQ(Found(lineage_evidence::kNone), 4U);
}

// Guards against a rank that outlives the request that it was given to.
TEST_F(call_lineage_test, ACallOfAnAnsweredRequestHasTheRankOfItsRoute) {
  Configure(lineage_policy::kRequestId);
  StartParent("/order/1", "id-1");
  at_target_->Send(fake_http_target::Answer(path_.target.requests[0], "well"));
  EXPECT_EQ(client_.NextResponse().status, 200);
  Call(target_, "/peek/1", "id-1.1");
  EXPECT_EQ(called_.Running().rank, 1U);
  EXPECT_EQ(Found(lineage_evidence::kRequestId), 0U);
}

// Guards against a rank that is lost when a call is sent again.
TEST_F(call_lineage_test, ACallThatIsSentAgainKeepsTheRankOfItsRequest) {
  Configure(lineage_policy::kRequestId);
  StartParent("/order/1", "id-1");
  Call(target_, "/peek/1", "id-1.1");
  const std::size_t before = called_.runs.size();
  called_.ends.back()({.end = run_end::kNotSent});
  ASSERT_TRUE(RunUntil([&] { return called_.runs.size() > before; }));
  EXPECT_EQ(called_.Running().rank, 0U);
}

// Guards against calls of a run that has ended, which a target goes on making,
// that are taken for calls of another run with a similar deadline.
TEST_F(call_lineage_test, IdsThatMatchNoRunAreNotSearchedByDeadline) {
  Configure(lineage_policy::kRequestId);
  StartParent("/order/1", "id-1");
  for (std::uint32_t i = 0; i <= caller_mix::kMinCalls; ++i) {
    Call(target_, "/peek/1", "id-1." + std::to_string(i));
    called_.EndRun();
    EXPECT_EQ(target_.NextResponse().status, 200);
  }
  at_target_->Send(fake_http_target::Answer(path_.target.requests[0], "well"));
  EXPECT_EQ(client_.NextResponse().status, 200);
  at_target_ = nullptr;
  StartParent("/order/2", "id-9");
  Call(target_, "/peek/1", "id-1.99");
  EXPECT_EQ(called_.Running().rank, 1U);
  EXPECT_EQ(Found(lineage_evidence::kDeadline), 0U);
  EXPECT_EQ(Found(lineage_evidence::kAmbiguous), 0U);
}

// A target that no longer extends the ids, or a caller that extended one, would
// otherwise end the search by deadlines for good.
TEST_F(call_lineage_test, DeadlinesAreSearchedAgainIfIdsTellNothing) {
  Configure(lineage_policy::kRequestId);
  StartParent("/order/1", "id-1");
  Call(target_, "/peek/1", "id-1.1");
  called_.EndRun();
  EXPECT_EQ(target_.NextResponse().status, 200);
  for (int i = 0; i < 100; ++i) {
    const std::size_t before = called_.runs.size();
    target_.Send(
        "GET /peek/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: other\r\n"
        "Deadline-Ms: 2000\r\n\r\n");
    ASSERT_TRUE(RunUntil([&] { return called_.runs.size() > before; }));
    called_.EndRun();
    EXPECT_EQ(target_.NextResponse().status, 200);
  }
  EXPECT_GT(
      Found(lineage_evidence::kDeadline) + Found(lineage_evidence::kAmbiguous),
      0U);
}

// Guards against decisions that change without the setting.
TEST_F(call_lineage_test, WithoutThePolicyCallsHaveTheRankOfTheirRoute) {
  Configure(lineage_policy::kOff);
  StartParent("/order/1", "id-1");
  Call(target_, "/peek/1", "id-1.1");
  EXPECT_EQ(called_.Running().rank, 1U);
  EXPECT_EQ(called_.Running().lineage, (call_lineage{.root = "peek"}));
  for (const std::uint64_t count : path_.target_side.lineages()) {
    EXPECT_EQ(count, 0U);
  }
  // A lost run doesn't end its calls either.
  at_target_->Reset();
  EXPECT_EQ(client_.NextResponse().status, 502);
  called_.EndRun();
  EXPECT_EQ(target_.NextResponse().status, 200);
}

// Targets that don't extend their requests' ids: a call on a route that targets
// are known to use belongs to a running request that expires no earlier.
TEST_F(call_lineage_test, ACallOfAKnownRouteInheritsByItsDeadline) {
  Configure(lineage_policy::kDeadline);
  StartParent("/order/1", "id-1");
  const auto send = [&] {
    target_.Send(
        "GET /peek/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: id-1.1\r\n"
        "Deadline-Ms: 2000\r\n\r\n");
  };
  for (std::uint32_t i = 0; i <= caller_mix::kMinCalls; ++i) {
    const std::size_t before = called_.runs.size();
    send();
    ASSERT_TRUE(RunUntil([&] { return called_.runs.size() > before; }));
    called_.EndRun();
    EXPECT_EQ(target_.NextResponse().status, 200);
  }
  // The route was not known to be made by targets at first.
  EXPECT_EQ(Found(lineage_evidence::kRequestId), 0U);
  EXPECT_GT(Found(lineage_evidence::kNone), 10U);
  send();
  ASSERT_TRUE(RunUntil([&] { return called_.Running().id == "id-1.1"; }));
  EXPECT_EQ(called_.Running().rank, 0U);
  EXPECT_EQ(called_.Running().lineage.root, "order");
  EXPECT_GE(Found(lineage_evidence::kAmbiguous), 1U);
}

// Guards against work for a request whose run is lost, and against calls that
// run twice or half because of it: those of an at-most-once request, and
// at-most-once calls, continue.
TEST_F(call_lineage_test, ALostRunEndsOnlyWhatMayRunAgain) {
  struct expected {
    std::string parent;
    std::string call;
    bool ends;
  };
  Configure(lineage_policy::kRequestId);
  int cancelled = 0;
  for (const expected& each : {expected{"/order/1", "/peek/1", true},
                               expected{"/order/2", "/book/1", false},
                               expected{"/sign/1", "/peek/2", false}}) {
    at_target_ = nullptr;
    StartParent(each.parent, "id" + each.parent);
    Call(target_, each.call, "id" + each.parent + ".1");
    EXPECT_EQ(called_.Running().rank, 0U);
    at_target_->Reset();
    EXPECT_EQ(client_.NextResponse().status, 502);
    if (each.ends) {
      ++cancelled;
      EXPECT_NE(target_.NextResponse().status, 200);
      ASSERT_TRUE(RunUntil([&] { return called_.cancelled == cancelled; }));
    } else {
      called_.EndRun();
      EXPECT_EQ(target_.NextResponse().status, 200) << each.parent;
    }
  }
  EXPECT_EQ(called_.cancelled, cancelled);
  EXPECT_EQ(path_.caller_side.counters().ended_with_parent, 1U);
  EXPECT_EQ(path_.caller_side.in_progress(), 0U);
}

// The caller disconnects, so that its run is cancelled. Guards against work at
// the called service for an answer that nobody reads.
TEST_F(call_lineage_test, ADisconnectedCallersRequestEndsItsCalls) {
  Configure(lineage_policy::kRequestId);
  StartParent("/order/1", "id-1");
  Call(target_, "/peek/1", "id-1.1");
  client_.Disconnect();
  ASSERT_TRUE(RunUntil([&] { return called_.cancelled == 1; }));
  EXPECT_NE(target_.NextResponse().status, 200);
  EXPECT_EQ(path_.caller_side.in_progress(), 0U);
}

// A stop cancels the run of a request whose call it has still to end. Guards
// against a call that is ended twice.
TEST_F(call_lineage_test, AStopEndsARequestAndItsCallOnce) {
  Configure(lineage_policy::kRequestId);
  StartParent("/order/1", "id-1");
  Call(target_, "/peek/1", "id-1.1");
  // The stop's order is that of a hash map: with this many calls, some are
  // behind their request.
  constexpr std::size_t kMore = 20;
  std::vector<std::unique_ptr<caller>> others;
  while (others.size() < kMore) {
    others.push_back(std::make_unique<caller>(path_));
    others.back()->Request("GET", "/peek/2",
                           "id-1.2." + std::to_string(others.size()));
  }
  ASSERT_TRUE(
      RunUntil([&] { return path_.caller_side.in_progress() == kMore + 2; }));
  path_.caller_side.EndOpenCalls();
  EXPECT_NE(client_.NextResponse().status, 200);
  EXPECT_NE(target_.NextResponse().status, 200);
  ASSERT_TRUE(RunUntil([&] { return called_.cancelled == 1; }));
  EXPECT_EQ(path_.caller_side.counters().ended_by_stop, kMore + 2);
  EXPECT_EQ(path_.caller_side.counters().ended_with_parent, 0U);
}

}  // namespace
}  // namespace pistachioweir
