// Admission of one target: invariants under random schedules.
#include "include/admit/admission_controller.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <vector>

namespace pistachioweir {
namespace {

const time_point kStart{seconds(1000)};

admission_request Request(priority level, duration timeout, time_point now) {
  return {.level = level, .deadline = now + timeout};
}

TEST(AdmissionControllerTest, RunsUpToTheSlotsAndQueuesTheRest) {
  admission_controller controller({.slots = 2});
  const auto request = Request(priority::kNormal, seconds(1), kStart);
  EXPECT_EQ(controller.Offer(request, kStart, 0).action,
            admission_action::kRun);
  const auto second = controller.Offer(request, kStart, 0);
  EXPECT_EQ(second.action, admission_action::kRun);
  EXPECT_EQ(controller.Offer(request, kStart, 0).action,
            admission_action::kQueued);
  EXPECT_FALSE(controller.TakeNext(kStart, 0).has_value());
  controller.Finish(second.handle, {}, kStart + milliseconds(1));
  const auto next = controller.TakeNext(kStart + milliseconds(1), 0);
  ASSERT_TRUE(next.has_value());
  EXPECT_EQ(next->decision.action, admission_action::kRun);
}

TEST(AdmissionControllerTest, RefusesAPassedDeadline) {
  admission_controller controller({.slots = 2});
  const auto request = Request(priority::kCritical, seconds(-1), kStart);
  const auto decision = controller.Offer(request, kStart, 0);
  EXPECT_EQ(decision.action, admission_action::kRefused);
  EXPECT_EQ(decision.why, reason::kDeadlinePassed);
}

// More important work keeps the target busy for a long time. In strict priority
// order the least important callers would get nothing in that time; with an
// assured share they get about that share of the work.
TEST(AdmissionControllerTest, LessImportantWorkGetsItsAssuredShare) {
  admission_controller controller({.slots = 1,
                                   .adaptive_limit = false,
                                   .use_level = false,
                                   .assured_share = 0.2});
  time_point now = kStart;
  std::map<std::uint64_t, int> started;
  const auto offer = [&](priority level, std::uint64_t kind) {
    return controller.Offer(
        {.level = level, .deadline = now + seconds(3), .cookie = kind}, now, 0);
  };
  admission_handle running = offer(priority::kCritical, 0).handle;
  for (int i = 0; i < 2000; ++i) {
    offer(priority::kCritical, 0);
    offer(priority::kNormal, 1);
    now += milliseconds(10);
    controller.Finish(running, {}, now);
    while (const auto event = controller.TakeNext(now, 0)) {
      if (event->decision.action == admission_action::kRun) {
        running = event->decision.handle;
        ++started[event->cookie];
      }
    }
  }
  EXPECT_GT(started[1], 2000 / 10);
  EXPECT_LT(started[1], 2000 / 4);
}

// Runs a random schedule and checks the invariants after each step.
RC_GTEST_PROP(AdmissionControllerTest,
              EveryRequestEndsOnceAndNoMoreRunThanTheLimit,
              ()) {
  const auto slots = *rc::gen::inRange<std::uint32_t>(1, 6);
  admission_controller controller({.slots = slots, .max_queue = 8});
  std::vector<admission_handle> queued;
  std::vector<admission_handle> running;
  std::map<std::uint64_t, int> ends;
  std::uint64_t offered = 0;
  time_point now = kStart;
  const auto drain = [&] {
    while (const auto event = controller.TakeNext(now, 0)) {
      if (event->decision.action == admission_action::kRun) {
        running.push_back(event->decision.handle);
      } else {
        ++ends[event->cookie];
      }
    }
  };
  const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      200, rc::gen::pair(rc::gen::inRange(0, 8), rc::gen::inRange(0, 64)));
  for (const auto& [kind, value] : steps) {
    now += milliseconds(value % 8);
    if (kind < 4) {
      admission_request request =
          Request(static_cast<priority>(value % 4), milliseconds(30), now);
      request.ticket = static_cast<std::uint8_t>(value * 4);
      request.cookie = offered++;
      const auto decision = controller.Offer(request, now, 0);
      if (decision.action == admission_action::kRun) {
        running.push_back(decision.handle);
      } else if (decision.action == admission_action::kRefused) {
        RC_ASSERT(decision.why != reason::kNone);
        ++ends[request.cookie];
      }
    } else if (!running.empty()) {
      const std::size_t at = value % running.size();
      controller.Finish(running[at], {}, now);
      running.erase(running.begin() + static_cast<std::ptrdiff_t>(at));
    }
    drain();
    RC_ASSERT(running.size() == controller.running());
    RC_ASSERT(running.size() <= slots);
    RC_ASSERT(controller.queued() <= 8U);
  }
  const auto& counters = controller.counters();
  std::uint64_t refused = 0;
  for (const auto count : counters.refused) {
    refused += count;
  }
  for (const auto& [cookie, count] : ends) {
    RC_ASSERT(count == 1);
  }
  RC_ASSERT(counters.offered == counters.finished + refused +
                                    controller.running() + controller.queued());
}

// Guards against refusing a critical request under overload while a less
// important one is queued.
RC_GTEST_PROP(AdmissionControllerTest,
              CriticalIsRefusedOnlyWhenNothingLowerIsQueued,
              ()) {
  admission_controller controller({.slots = 2, .max_queue = 6});
  std::map<std::uint64_t, priority> waiting;
  std::vector<admission_handle> running;
  time_point now = kStart;
  const auto drain = [&] {
    while (const auto event = controller.TakeNext(now, 0)) {
      waiting.erase(event->cookie);
      if (event->decision.action == admission_action::kRun) {
        running.push_back(event->decision.handle);
      }
    }
  };
  const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      300, rc::gen::pair(rc::gen::inRange(0, 5), rc::gen::inRange(0, 64)));
  std::uint64_t cookie = 0;
  for (const auto& [kind, value] : steps) {
    now += milliseconds(value % 4);
    if (kind == 0 && !running.empty()) {
      controller.Finish(running.front(), {}, now);
      running.erase(running.begin());
      drain();
      continue;
    }
    const priority level = kind < 3 ? priority::kCritical : priority::kLow;
    admission_request request = Request(level, milliseconds(40), now);
    request.cookie = cookie++;
    const auto decision = controller.Offer(request, now, 0);
    if (decision.action == admission_action::kRun) {
      running.push_back(decision.handle);
    } else if (decision.action == admission_action::kQueued) {
      waiting[request.cookie] = level;
    }
    const bool refused = decision.action == admission_action::kRefused &&
                         level == priority::kCritical;
    if (refused) {
      // Checked before draining, which may find idle slots and lower the level.
      RC_ASSERT(controller.own_level() >= LowestRank(priority::kCritical));
      const auto lower = Request(priority::kLow, milliseconds(40), now);
      RC_ASSERT(controller.Offer(lower, now, 0).action ==
                admission_action::kRefused);
    }
    drain();
    for (const auto& [other, importance] : waiting) {
      RC_ASSERT(!refused || importance == priority::kCritical);
    }
  }
}

}  // namespace
}  // namespace pistachioweir
