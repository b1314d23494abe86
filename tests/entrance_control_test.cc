// Admission of root requests by the capacity of the services below, at the
// daemon beside a target.
#include "src/forward/entrance_control.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "include/base/call_log.h"
#include "src/forward/executor.h"

namespace pistachioweir {
namespace {

const time_point kStart{seconds(1000)};

call_frame RootCall(const std::string& id) {
  return {.route = "quote",
          .remaining = milliseconds(5000),
          .objective_left = milliseconds(5000),
          .caller_service = "service-" + std::to_string(id.size() % 3),
          .request_id = id,
          .lineage = call_lineage{.root = "quote"}};
}

call_frame CallBelow(const std::string& id, double admitted_share) {
  call_frame call = RootCall(id);
  call.route = "peek";
  call.lineage = call_lineage{
      .root = "quote", .depth = 2, .admitted_share = admitted_share};
  return call;
}

// Guards against roots that are counted once for each call, or once for all.
TEST(EntranceControlTest, CallsOfARootHaveTheHashOfItsId) {
  const auto hash = RootHash("a.b", 0, "quote");
  EXPECT_EQ(RootHash("a.b.1.2", 2, "quote"), hash);
  EXPECT_EQ(RootHash("a.b.7", 1, "quote"), hash);
  EXPECT_NE(RootHash("a.c.1.2", 2, "quote"), hash);
  EXPECT_NE(RootHash("a.b", 0, "sale"), hash);
}

// Calls that are sent again would raise the demand of their kind, and lower its
// share, the more of them fail.
TEST(EntranceControlTest, RepeatsAreNoDemand) {
  entrance_control control;
  for (int i = 0; i < 2000; ++i) {
    call_frame call = CallBelow(std::to_string(i) + ".1.1", 1);
    call.lineage->in_repeat = i % 2 == 0;
    const auto arrived =
        control.OnArrival(call, true, kStart + milliseconds(i));
    control.OnSucceeded(arrived, milliseconds(10));
  }
  EXPECT_NEAR(control.local().demand(), 5, 0.5);
}

// Guards against memory that grows with each name that a service had.
TEST(EntranceControlTest, SharesOfServicesThatNoLongerAnswerAreDropped) {
  entrance_control control;
  for (int i = 0; i < 100; ++i) {
    control.UpdateBelow("quote", "service-" + std::to_string(i), 0.5, kStart);
  }
  control.UpdateBelow("quote", "current", 0.5, kStart + seconds(2));
  EXPECT_EQ(control.services_below(), 101U);
  control.Tick(kStart + seconds(3));
  EXPECT_EQ(control.services_below(), 1U);
  EXPECT_LT(control.ShareOf(RootCall("a"), kStart + seconds(3)), 1);
}

// An executor whose runs end when the test says so.
class entrance_executor_test : public testing::Test {
 protected:
  explicit entrance_executor_test(bool by_cost = true)
      : executor_(
            context_,
            [this](const target_run&, std::function<void(run_result)> done) {
              runs_.push_back(std::move(done));
              return [] {};
            },
            log_) {
    executor_.SetLineagePolicy(lineage_policy::kRequestId);
    if (by_cost) {
      executor_.AdmitByCost();
    }
    executor_.SetSlots(1000);
  }

  // Offers root requests; returns how many of them run.
  std::size_t Offer(int count) {
    for (int i = 0; i < count; ++i) {
      executor_.Serve(
          RootCall("root-" + std::string(i % 3, 'x') + std::to_string(i)),
          [this](const answer_frame& answer) { answer_ = answer; });
    }
    context_.restart();
    context_.poll();
    return runs_.size();
  }

  // Serves a call to its end, and returns whether its kind makes calls
  // according to the answer.
  bool MakesCalls(const call_frame& call,
                  const std::function<void()>& while_it_runs = {}) {
    executor_.Serve(call,
                    [this](const answer_frame& answer) { answer_ = answer; });
    context_.restart();
    context_.poll();
    if (while_it_runs) {
      while_it_runs();
    }
    runs_.back()({.end = run_end::kAnswered, .response = {.status = 200}});
    return answer_->lineage->makes_calls;
  }

  boost::asio::io_context context_;
  call_log log_{{}};
  std::vector<std::function<void(run_result)>> runs_;
  executor executor_;
  std::optional<answer_frame> answer_;
};

// Guards against a share that is reported but not applied, or not passed on:
// the services below would take the admitted requests for the whole demand.
TEST_F(entrance_executor_test, TheShareOfAServiceBelowIsAppliedAndPassedOn) {
  executor_.UpdateEntranceShare("quote", "small-service", 0.4,
                                monotonic_clock::now());
  EXPECT_NEAR(static_cast<double>(Offer(100)), 40, 2);
  ASSERT_TRUE(answer_);
  EXPECT_EQ(answer_->why, reason::kWasted);
  EXPECT_NEAR(answer_->lineage->entrance_share, 0.4, 1e-3);
  // The first request was admitted.
  const auto match = executor_.FindParent("root-0.1", {}, false);
  ASSERT_TRUE(match.found());
  EXPECT_NEAR(match.lineage.admitted_share, 0.4, 1e-3);
  EXPECT_EQ(match.lineage.depth, 1U);
}

// Guards against the loss of the work that the hops above have done.
TEST_F(entrance_executor_test, CallsOfAdmittedRequestsAreNotLimited) {
  executor_.UpdateEntranceShare("quote", "small-service", 0.1,
                                monotonic_clock::now());
  for (int i = 0; i < 50; ++i) {
    executor_.Serve(CallBelow(std::to_string(i) + ".1.1", 0.1), {});
  }
  context_.poll();
  EXPECT_EQ(runs_.size(), 50U);
}

// With entrance = results, daemons above learn nothing that would change what
// they admit, and the limits are not asked.
class entrance_results_test : public entrance_executor_test {
 protected:
  entrance_results_test() : entrance_executor_test(false) {}
};

TEST_F(entrance_results_test, SharesStayOne) {
  executor_.UpdateEntranceShare("quote", "below", 0.1, monotonic_clock::now());
  ASSERT_EQ(Offer(50), 50U);
  runs_[0]({.end = run_end::kAnswered, .response = {.status = 200}});
  ASSERT_TRUE(answer_);
  EXPECT_EQ(answer_->lineage->entrance_share, 1);
}

// An older build upstream neither sends lineage nor reads it in answers.
TEST_F(entrance_executor_test, CallsWithoutLineageAreAnsweredWithout) {
  call_frame call = RootCall("old");
  call.lineage.reset();
  executor_.Serve(call,
                  [this](const answer_frame& answer) { answer_ = answer; });
  context_.poll();
  ASSERT_EQ(runs_.size(), 1U);
  runs_[0]({.end = run_end::kAnswered, .response = {.status = 200}});
  ASSERT_TRUE(answer_);
  EXPECT_FALSE(answer_->lineage);
}

// Guards against repeats beyond the operator's bound: those of kinds that make
// no calls may use twice as much of it, so that has to be known.
TEST_F(entrance_executor_test, KindsMakeCallsUntilTheContraryIsKnown) {
  executor_.SetSlots(1);
  executor_.Serve(CallBelow("a.1.1", 1), {});
  call_frame expired = CallBelow("b.1.1", 1);
  expired.remaining = milliseconds(0);
  executor_.Serve(expired,
                  [this](const answer_frame& answer) { answer_ = answer; });
  ASSERT_TRUE(answer_);
  EXPECT_TRUE(answer_->lineage->makes_calls);  // Nothing has run.
  context_.poll();
  runs_.back()({.end = run_end::kAnswered, .response = {.status = 200}});
  EXPECT_FALSE(MakesCalls(CallBelow("c.1.1", 1)));
  executor_.SetLineagePolicy(lineage_policy::kOff);
  EXPECT_TRUE(MakesCalls(CallBelow("d.1.1", 1)));
}

// Likewise, if calls are found to be made by one of several runs.
TEST_F(entrance_executor_test, KindsMakeCallsIfOneOfThemMade) {
  executor_.Serve(CallBelow("a.1.1", 1), {});
  context_.poll();
  runs_.back()({.end = run_end::kAnswered, .response = {.status = 200}});
  executor_.Serve(CallBelow("b.1.1", 1), {});
  EXPECT_TRUE(MakesCalls(CallBelow("c.1.1", 1), [this] {
    EXPECT_EQ(executor_.FindParent("d", {}, true).evidence,
              lineage_evidence::kAmbiguous);
  }));
}

}  // namespace
}  // namespace pistachioweir
