// Sends of a request again to a target that rejected it.
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
#include "src/forward/executor.h"
#include "src/forward/origin.h"
#include "tests/support/run_until.h"

namespace pistachioweir {
namespace {

// A daemon beside a target that rejects requests, and that calls its service.
class origin_repeats_test : public testing::Test {
 protected:
  origin_repeats_test()
      : local_(
            context_,
            [this](const target_run& run,
                   const std::function<void(run_result)>& done) {
              return Run(run, done);
            },
            log_) {
    local_.SetSlots(8);
  }

  // The target rejects `rejections` requests, then answers.
  outcome_kind Request(repeat_sharing_policy policy,
                       int rejections,
                       milliseconds retry_after = milliseconds(0)) {
    rejections_ = rejections;
    retry_after_ = retry_after;
    origin calls(context_,
                 {.vm = "vm-1",
                  .service = "quotes",
                  .own_target = kTarget,
                  .self = incarnation_id{7},
                  .repeat_ratio = 20,
                  .repeat_reserve = 0,
                  .repeat_sharing = policy,
                  .leaf_repeat_ratio = 20,
                  .starting_repeat_ratio = starting_ratio_,
                  .started = monotonic_clock::now()},
                 local_, log_);
    calls.SetView(View());
    std::optional<relayed_result> outcome;
    calls.Submit({.id = "a.1",
                  .host = "a.example",
                  .request = {.verb = "POST", .target = "/quote"},
                  .received = monotonic_clock::now()},
                 [&](relayed_result result) { outcome = std::move(result); });
    EXPECT_TRUE(RunUntil(context_, [&] { return outcome.has_value(); }));
    inherited_ = calls.RepeatCounters().inherited;
    return outcome.value_or(relayed_result()).kind;
  }

  // A request that runs at the target without end, and makes the call of
  // Request().
  void RunParent(bool in_repeat) {
    local_.SetLineagePolicy(lineage_policy::kRequestId);
    answers_ = false;
    local_.Serve(
        {.number = 1,
         .target_id = "target-1",
         .route = "sale",
         .remaining = seconds(60),
         .objective_left = seconds(60),
         .request_id = "a",
         .lineage = call_lineage{.root = "sale", .in_repeat = in_repeat}},
        [](const answer_frame&) {});
    EXPECT_TRUE(RunUntil(context_, [this] { return runs_ == 1; }));
    answers_ = true;
    runs_ = 0;
  }

  double starting_ratio_ = 20;
  int runs_ = 0;
  std::uint64_t inherited_ = 0;

 private:
  std::function<void()> Run(const target_run&,
                            const std::function<void(run_result)>& done) {
    run_result result{.end = runs_++ < rejections_ ? run_end::kNotExecuted
                                                   : run_end::kAnswered};
    result.response = {.status = 200};
    result.notice.retry_after = retry_after_;
    if (answers_) {
      boost::asio::post(context_, [done, result] { done(result); });
    }
    return [] {};
  }

  static std::shared_ptr<const service_view> View() {
    auto config = std::make_shared<service_config>();
    std::string problem;
    config->routes = *route_table::Make({{.name = "quote",
                                          .host = "a.example",
                                          .prefix = "/",
                                          .timeout = milliseconds(20000),
                                          .max_targets = 3,
                                          .parts = {{.service = "quotes"}}}},
                                        &problem);
    auto view = std::make_shared<service_view>();
    view->config = config;
    view->targets = {{.id = "target-1",
                      .service = "quotes",
                      .address = kTarget,
                      .slots = 8}};
    return view;
  }

  static inline const endpoint kTarget{.ip = "127.0.0.1", .port = 9};

  boost::asio::io_context context_;
  call_log log_{{}};
  executor local_;
  int rejections_ = 0;
  milliseconds retry_after_{0};
  bool answers_ = true;
};

// Guards against requests that fail although the budget would allow the repeats
// that they need: a service with one target rejected them at their first send.
TEST_F(origin_repeats_test, ATargetThatRejectedARequestMayGetItAgain) {
  EXPECT_EQ(Request(repeat_sharing_policy::kShared, 5),
            outcome_kind::kCompleted);
  EXPECT_EQ(runs_, 6);
}

// Guards against repeats without end.
TEST_F(origin_repeats_test, ARequestIsSentAtMostEightTimes) {
  EXPECT_EQ(Request(repeat_sharing_policy::kShared, 100),
            outcome_kind::kNotExecuted);
  EXPECT_EQ(runs_, 8);
}

// Guards against a daemon that repeats after its start as if no spends from
// before it were in the window.
TEST_F(origin_repeats_test, AfterItsStartADaemonHasTheStartingRatio) {
  starting_ratio_ = 2;
  EXPECT_EQ(Request(repeat_sharing_policy::kShared, 100),
            outcome_kind::kNotExecuted);
  EXPECT_EQ(runs_, 3);
}

// Guards against a target that says when to come back, and isn't heard.
TEST_F(origin_repeats_test, ATargetThatGivesARetryAfterDoesNotGetItAgain) {
  EXPECT_EQ(Request(repeat_sharing_policy::kShared, 5, milliseconds(500)),
            outcome_kind::kNotExecuted);
  EXPECT_EQ(runs_, 1);
}

// Guards against calls of repeated runs that the called service counts as
// repeats, and no budget does.
TEST_F(origin_repeats_test, TheFirstCallOfARepeatedRunIsCharged) {
  RunParent(true);
  EXPECT_EQ(Request(repeat_sharing_policy::kShared, 1),
            outcome_kind::kCompleted);
  EXPECT_EQ(inherited_, 1U);
}

TEST_F(origin_repeats_test, TheCallOfAFirstRunIsNotCharged) {
  RunParent(false);
  EXPECT_EQ(Request(repeat_sharing_policy::kShared, 1),
            outcome_kind::kCompleted);
  EXPECT_EQ(inherited_, 0U);
}

TEST_F(origin_repeats_test, WithoutSharingEachTargetGetsARequestOnce) {
  EXPECT_EQ(Request(repeat_sharing_policy::kLocal, 5),
            outcome_kind::kNotExecuted);
  EXPECT_EQ(runs_, 1);
}

}  // namespace
}  // namespace pistachioweir
