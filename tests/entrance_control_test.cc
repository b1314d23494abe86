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

// An executor whose runs end when the test says so.
class EntranceExecutorTest : public testing::Test {
 protected:
  explicit EntranceExecutorTest(bool by_cost = true)
      : executor_(
            context_,
            [this](target_run, std::function<void(run_result)> done) {
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
          [this](answer_frame answer) { answer_ = answer; });
    }
    context_.restart();
    context_.poll();
    return runs_.size();
  }

  boost::asio::io_context context_;
  call_log log_{{}};
  std::vector<std::function<void(run_result)>> runs_;
  executor executor_;
  std::optional<answer_frame> answer_;
};

// Guards against a share that is reported but not applied, or not passed on:
// the services below would take the admitted requests for the whole demand.
TEST_F(EntranceExecutorTest, TheShareOfAServiceBelowIsAppliedAndPassedOn) {
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
TEST_F(EntranceExecutorTest, CallsOfAdmittedRequestsAreNotLimited) {
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
class EntranceResultsTest : public EntranceExecutorTest {
 protected:
  EntranceResultsTest() : EntranceExecutorTest(false) {}
};

TEST_F(EntranceResultsTest, SharesStayOne) {
  executor_.UpdateEntranceShare("quote", "below", 0.1, monotonic_clock::now());
  ASSERT_EQ(Offer(50), 50U);
  runs_[0]({.end = run_end::kAnswered, .response = {.status = 200}});
  ASSERT_TRUE(answer_);
  EXPECT_EQ(answer_->lineage->entrance_share, 1);
}

// An older build upstream neither sends lineage nor reads it in answers.
TEST_F(EntranceExecutorTest, CallsWithoutLineageAreAnsweredWithout) {
  call_frame call = RootCall("old");
  call.lineage.reset();
  executor_.Serve(call, [this](answer_frame answer) { answer_ = answer; });
  context_.poll();
  ASSERT_EQ(runs_.size(), 1U);
  runs_[0]({.end = run_end::kAnswered, .response = {.status = 200}});
  ASSERT_TRUE(answer_);
  EXPECT_FALSE(answer_->lineage);
}

}  // namespace
}  // namespace pistachioweir
