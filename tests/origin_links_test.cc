// An origin's links to the daemons of targets, over real sockets.
#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "include/base/call_log.h"
#include "include/forward/service_view.h"
#include "include/route/caller_mix.h"
#include "src/forward/executor.h"
#include "src/forward/origin.h"
#include "src/net/tcp_listener.h"
#include "src/peer/peer_server.h"
#include "tests/support/run_until.h"

namespace pistachioweir {
namespace {

const std::string kRemoteIp = "127.0.0.9";
const std::string kOtherIp = "127.0.0.10";

// A daemon whose target answers each run as soon as it starts, or never.
class remote_daemon {
 public:
  remote_daemon(boost::asio::io_context& context,
                std::uint16_t port,
                incarnation_id self = incarnation_id{9},
                const std::string& ip = kRemoteIp)
      : target_side(
            context,
            [this, &context](const target_run&,
                             const std::function<void(run_result)>& done) {
              if (runs++ == 0) {
                limit_at_first_run = target_side.notices().rate_limit();
              }
              if (!answers) {
                return std::function<void()>([] {});
              }
              boost::asio::post(context, [this, done] {
                run_result result{.end = run_end::kAnswered, .notice = notice};
                result.response = {.status = 200};
                done(std::move(result));
              });
              return std::function<void()>([] {});
            },
            log),
        server(context,
               {.address = {.ip = ip, .port = port}, .self = self},
               target_side) {
    target_side.SetSlots(8);
    target_side.OnNotice(
        [this](const known_notice&) { server.PublishNotice(); });
  }

  call_log log{{}};
  int runs = 0;
  bool answers = true;
  target_notice notice;  // Of each answer.
  std::optional<double> limit_at_first_run;
  executor target_side;
  peer_server server;
};

class origin_links_test : public testing::Test {
 protected:
  origin_links_test()
      : port_(FreePort(context_)),
        local_(
            context_,
            [](const target_run&, const std::function<void(run_result)>&) {
              return [] {};
            },
            log_),
        origin_(context_,
                {.vm = "vm-1",
                 .service = "registry",
                 .peer_port = port_,
                 .self = incarnation_id{7}},
                local_,
                log_) {
    auto config = std::make_shared<service_config>();
    std::string problem;
    config->routes = *route_table::Make({{.name = "look",
                                          .host = "a.example",
                                          .prefix = "/",
                                          .timeout = milliseconds(2000),
                                          .parts = {{.service = "registry"}}}},
                                        &problem);
    view_.config = config;
    AddTarget("target-1", kRemoteIp);
  }

  void AddTarget(const std::string& id, const std::string& ip) {
    view_.targets.push_back({.id = id,
                             .service = "registry",
                             .address = {.ip = ip, .port = 1},
                             .slots = 8});
    origin_.SetView(std::make_shared<service_view>(view_));
  }

  static std::uint16_t FreePort(boost::asio::io_context& context) {
    const auto listener = Listen(context, {.ip = kRemoteIp, .port = 0});
    return LocalEndpoint(listener).port;
  }

  // Sets `outcome` once the request is answered.
  void Submit(const std::string& verb, std::optional<relayed_result>* outcome) {
    origin_.Submit(
        {.id = "id",
         .host = "a.example",
         .request = {.verb = verb, .target = "/look"},
         .received = monotonic_clock::now()},
        [outcome](relayed_result result) { *outcome = std::move(result); });
  }

  // Submits a request and waits for its outcome.
  outcome_kind Request() {
    std::optional<relayed_result> outcome;
    Submit("GET", &outcome);
    EXPECT_TRUE(RunUntil(context_, [&] { return outcome.has_value(); }));
    return outcome.value_or(relayed_result()).kind;
  }

  // Submits a request that the target starts and never answers; calls
  // `while_running` after the start.
  outcome_kind SubmitUnanswered(remote_daemon* remote,
                                const std::function<void()>& while_running) {
    remote->answers = false;
    std::optional<relayed_result> outcome;
    Submit("POST", &outcome);
    EXPECT_TRUE(RunUntil(context_, [&] { return remote->runs == 1; }));
    while_running();
    EXPECT_TRUE(RunUntil(context_, [&] { return outcome.has_value(); }));
    return outcome ? outcome->kind : outcome_kind::kCompleted;
  }

  boost::asio::io_context context_;
  const std::uint16_t port_;
  call_log log_{{}};
  executor local_;
  origin origin_;
  service_view view_;
};

// Guards against a target that stays unused after a long partition of its VM.
// An unreachable peer gets no calls, so its link was closed as idle, and with
// it ended the only attempts to reconnect; requests were refused once the other
// targets were gone (soak seed 506: peer_reachable reachable=no, and none with
// yes for 13 s though the peer had recovered).
TEST_F(origin_links_test, APeerThatComesBackAfterALongTimeIsUsedAgain) {
  EXPECT_EQ(Request(), outcome_kind::kNotExecuted);
  origin_.Tick(monotonic_clock::now() + seconds(61));
  remote_daemon back(context_, port_);
  ASSERT_TRUE(RunUntil(context_, [&] { return back.server.sessions() == 1; }));
  ASSERT_TRUE(RunUntil(context_,
                       [&] { return Request() == outcome_kind::kCompleted; }));
  EXPECT_EQ(back.runs, 1);
}

// Guards against a refusal, with 2 s left, of a request that finds no target
// when the only target's daemon is reachable again 20 ms later. The refusal
// cost the caller a retry.
TEST_F(origin_links_test, ARequestSurvivesABriefLackOfTargets) {
  std::optional<relayed_result> outcome;
  Submit("GET", &outcome);
  // The connection is refused only once the context runs.
  const time_point refused = monotonic_clock::now() + milliseconds(20);
  RunUntil(context_, [&] { return monotonic_clock::now() >= refused; });
  const remote_daemon back(context_, port_);
  ASSERT_TRUE(RunUntil(context_, [&] { return outcome.has_value(); }));
  EXPECT_EQ(outcome->kind, outcome_kind::kCompleted);
}

// Guards against requests to a target that its own daemon knows to have left.
TEST_F(origin_links_test, ATargetThatHasLeftGetsNoRequests) {
  remote_daemon remote(context_, port_);
  remote.target_side.SetViewState([] { return view_state{.revision = 1}; },
                                  [] { return milliseconds(0); },
                                  [] { return std::optional<milliseconds>(); });
  remote.target_side.SetListedTarget(std::string());
  EXPECT_EQ(Request(), outcome_kind::kCompleted);
  const time_point known = monotonic_clock::now();
  RunUntil(context_, [&] {
    return monotonic_clock::now() > known + target_vouching::kLeavingGrace;
  });
  EXPECT_EQ(Request(), outcome_kind::kNotExecuted);
  EXPECT_EQ(remote.runs, 1);
}

// Guards against reporting a request as unknown though it was never sent.
TEST_F(origin_links_test, UnsentRequestsAreReportedAsNotExecutedAtStop) {
  const auto silent = Listen(context_, {.ip = kRemoteIp, .port = port_});
  std::optional<relayed_result> outcome;
  Submit("GET", &outcome);
  context_.poll();
  origin_.EndOpenCalls();
  ASSERT_TRUE(outcome.has_value());
  EXPECT_EQ(outcome->kind, outcome_kind::kNotExecuted);
  EXPECT_EQ(outcome->why, reason::kDraining);
  EXPECT_GT(outcome->retry_after, milliseconds(0));
}

// Guards against a request time in the log that a broken connection lengthened.
TEST_F(origin_links_test, TimeLostToTheNetworkIsNotRequestTime) {
  auto remote = std::make_unique<remote_daemon>(context_, port_);
  EXPECT_EQ(SubmitUnanswered(remote.get(), [&] { remote.reset(); }),
            outcome_kind::kUnknown);
  EXPECT_EQ(origin_.MaxRequestTime(monotonic_clock::now()), duration(0));
}

// Guards against a request time in the log that leaves out a slow target.
TEST_F(origin_links_test, TimeAtATargetIsRequestTime) {
  remote_daemon remote(context_, port_);
  EXPECT_EQ(SubmitUnanswered(&remote, [] {}), outcome_kind::kUnknown);
  EXPECT_GT(origin_.MaxRequestTime(monotonic_clock::now()), milliseconds(1500));
}

// A daemon that had restarted sent its target all that came until the first
// answer, although daemons that had been told of the limit went on sending.
TEST_F(origin_links_test, ARestartedDaemonKnowsTheLimitBeforeItsFirstCall) {
  std::optional<remote_daemon> remote(std::in_place, context_, port_);
  remote->notice = {.rate_limit = 10};
  ASSERT_EQ(Request(), outcome_kind::kCompleted);
  ASSERT_EQ(Request(), outcome_kind::kCompleted);
  remote.reset();
  remote.emplace(context_, port_, incarnation_id{10});
  while (Request() != outcome_kind::kCompleted) {
  }
  EXPECT_EQ(remote->limit_at_first_run, 10);
}

// A daemon that had restarted passed requests to a target that had said that it
// is leaving, since the list still called it ready.
TEST_F(origin_links_test, ATargetThatIsLeavingStaysUnusedAfterARestart) {
  std::optional<remote_daemon> remote(std::in_place, context_, port_);
  remote->notice = {.leaving = true};
  ASSERT_EQ(Request(), outcome_kind::kCompleted);
  EXPECT_EQ(Request(), outcome_kind::kNotExecuted);
  remote.reset();
  remote.emplace(context_, port_, incarnation_id{10});
  ASSERT_TRUE(RunUntil(context_, [&] {
    return remote->target_side.notices().leaving_since().has_value();
  }));
  EXPECT_EQ(Request(), outcome_kind::kNotExecuted);
  EXPECT_EQ(remote->runs, 0);
}

// Guards against a share that is applied at each target in turn: of two, they
// would admit .64 of the requests with a share of .4.
TEST_F(origin_links_test, ARequestBeyondTheShareIsNotTriedAtOtherTargets) {
  AddTarget("target-2", kOtherIp);
  remote_daemon first(context_, port_);
  remote_daemon second(context_, port_, incarnation_id{10}, kOtherIp);
  local_.SetLineagePolicy(lineage_policy::kRequestId);
  for (remote_daemon* remote : {&first, &second}) {
    remote->target_side.SetLineagePolicy(lineage_policy::kRequestId);
    remote->target_side.AdmitByCost();
    remote->target_side.UpdateEntranceShare("look", "below", 0.4,
                                            monotonic_clock::now());
  }
  // With more, a target could get so many from one service that its daemon
  // takes them for calls of targets, which the share doesn't apply to.
  constexpr std::uint32_t kRequests = caller_mix::kMinCalls - 1;
  std::uint64_t refused = 0;
  for (std::uint32_t i = 0; i < kRequests; ++i) {
    refused += Request() == outcome_kind::kNotExecuted ? 1 : 0;
  }
  // Each target admits at most one more than its share.
  EXPECT_GE(refused, kRequests * 6 / 10 - 1);
  EXPECT_EQ(first.target_side.counters().refused +
                second.target_side.counters().refused,
            refused);
}

}  // namespace
}  // namespace pistachioweir
