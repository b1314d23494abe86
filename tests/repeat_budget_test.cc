// The bound on repeats in any time window.
#include "include/retry/repeat_budget.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

namespace pistachioweir {
namespace {

const time_point kStart{seconds(1000)};

TEST(RepeatBudgetTest, AllowsTheReserveWithoutAnyRequests) {
  repeat_budget budget({.reserve = 2});
  EXPECT_TRUE(budget.TrySpend(kStart));
  EXPECT_TRUE(budget.TrySpend(kStart));
  EXPECT_FALSE(budget.TrySpend(kStart));
  EXPECT_TRUE(budget.TrySpend(kStart + milliseconds(10001)));
}

// Guards against repeats saved up in a quiet hour: a service that begins to
// fail would get them all at once, in addition to those that its requests
// allow.
TEST(RepeatBudgetTest, AQuietPeriodSavesNothing) {
  repeat_budget budget({.ratio = 0.1, .reserve = 0});
  for (int i = 0; i < 10000; ++i) {
    budget.OnRequest(kStart + milliseconds(i));
  }
  const time_point later = kStart + seconds(60);
  EXPECT_FALSE(budget.TrySpend(later));
}

// For any schedule, no window has more repeats than the reserve plus its ratio
// of the requests of the window that ends with the last repeat.
RC_GTEST_PROP(RepeatBudgetTest, NoSpanHasMoreRepeatsThanAllowed, ()) {
  const repeat_budget_options options{
      .window = milliseconds(1000), .ratio = 0.2, .reserve = 3};
  repeat_budget budget(options);
  std::vector<time_point> requests;
  std::vector<time_point> repeats;
  time_point now = kStart;
  const auto steps =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 120));
  for (const int step : steps) {
    now += milliseconds(step / 3);
    if (step % 3 > 0) {
      budget.OnRequest(now);
      requests.push_back(now);
    } else if (budget.TrySpend(now)) {
      repeats.push_back(now);
    }
    const auto within = [&](const std::vector<time_point>& all) {
      return std::count_if(all.begin(), all.end(), [&](time_point at) {
        return at >= now - options.window;
      });
    };
    const double allowed =
        options.reserve + options.ratio * static_cast<double>(within(requests));
    if (!repeats.empty() && repeats.back() == now) {
      RC_ASSERT(static_cast<double>(within(repeats)) <= allowed);
    }
  }
}

}  // namespace
}  // namespace pistachioweir
