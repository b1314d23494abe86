// The bound on repeats by rank and with lending, and who gets them.
#include "include/retry/ranked_repeat_budget.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "include/quota/usage_tree.h"

namespace pistachioweir {
namespace {

const time_point kStart{seconds(1000)};

struct served_calls {
  int calls = 0;
  int served = 0;
  int repeats = 0;
  [[nodiscard]] double share() const {
    return static_cast<double>(served) / calls;
  }
};

constexpr priority kImportant = priority::kCritical;
constexpr priority kOther = priority::kNormal;

// 400 calls a second to one service, every seventh of them important. From
// `begin_` on, the service rejects 55 of 100 sends for 8.5 s.
class rejecting_service {
 public:
  rejecting_service() {
    for (int i = 0; i < kCalls; ++i) {
      const time_point now = kStart + i * kGap;
      const bool rejects = now >= begin_ && now < begin_ + milliseconds(8500);
      Call(i % 7 == 0 ? kImportant : kOther, rejects, now);
    }
  }

  std::array<served_calls, kPriorityCount> results;  // While it rejects.
  std::vector<time_point> requests;
  std::vector<time_point> repeats;

 private:
  static constexpr int kCalls = 12000;
  static constexpr microseconds kGap{2500};
  static constexpr int kMaxSends = 8;
  const time_point begin_ = kStart + seconds(15);

  void Call(priority level, bool rejects, time_point now) {
    requests.push_back(now);
    budget_.OnRequest(level, now);
    if (!rejects) {
      return;
    }
    served_calls& result = results[static_cast<std::size_t>(level)];
    ++result.calls;
    for (int sends = 1; sends <= kMaxSends; ++sends) {
      if (random_() % 100 >= 55) {
        ++result.served;
        return;
      }
      if (sends == kMaxSends || !budget_.TrySpend({.level = level}, now)) {
        return;
      }
      ++result.repeats;
      repeats.push_back(now);
    }
  }

  ranked_repeat_budget budget_{{.ratio = 0.17, .reserve = 5}};
  std::mt19937 random_{1};
};

// Guards against a budget that is spent in the order of arrival: the important
// calls need 590 of the 685 repeats that the window allows, and got a seventh
// of them.
TEST(RankedRepeatBudgetTest, ImportantCallsGetWhatTheyNeedAndOthersTheirPart) {
  const rejecting_service service;
  const auto& important = service.results[static_cast<std::size_t>(kImportant)];
  const auto& others = service.results[static_cast<std::size_t>(kOther)];
  // Before their rate is known, others take up to a tenth of the budget.
  EXPECT_GT(important.share(), 0.92);
  // A twentieth of 685.
  EXPECT_GE(others.repeats, 34);
  EXPECT_GT(others.share(), 0.45);
}

TEST(RankedRepeatBudgetTest, NoWindowOfThatLoadExceedsTheBound) {
  const rejecting_service service;
  const auto within = [](const std::vector<time_point>& all, time_point end) {
    return std::ranges::upper_bound(all, end) -
           std::ranges::lower_bound(all, end - seconds(10));
  };
  for (const time_point end : service.repeats) {
    EXPECT_LE(static_cast<double>(within(service.repeats, end)),
              5 + 0.17 * static_cast<double>(within(service.requests, end)));
  }
}

// A service three calls below the entrance, called by thirty daemons. Each root
// request makes four calls, one after the other, and fails with the first that
// isn't served. Each daemon has 2.2 important roots a second and 5 others. From
// second 15 on, the service rejects 55 of 100 sends for 8.5 s.
class rejecting_service_below {
 public:
  rejecting_service_below() {
    for (auto& budget : budgets_) {
      budget = std::make_unique<ranked_repeat_budget>(
          ranked_repeat_options{.ratio = 0.14, .reserve = 0.5});
    }
    for (time_point now = kStart; now < kStart + milliseconds(23500);
         now += kStep) {
      for (auto& budget : budgets_) {
        Arrive(*budget, kImportant, 2.2, now);
        Arrive(*budget, kOther, 5, now);
      }
    }
  }

  std::array<served_calls, kPriorityCount> roots;  // While it rejects.

 private:
  static constexpr milliseconds kStep{10};
  static constexpr int kMaxSends = 8;

  void Arrive(ranked_repeat_budget& budget,
              priority level,
              double per_second,
              time_point now) {
    const double chance =
        per_second * std::chrono::duration<double>(kStep).count();
    if (std::uniform_real_distribution<>(0, 1)(random_) >= chance) {
      return;
    }
    served_calls& result = roots[static_cast<std::size_t>(level)];
    const bool rejects = now >= kStart + seconds(15);
    const auto ticket = static_cast<std::uint8_t>(random_());
    result.calls += rejects ? 1 : 0;
    for (int call = 0; call < 4; ++call) {
      budget.OnRequest(level, now);
      for (int sends = 1; rejects && random_() % 100 < 55; ++sends) {
        if (sends == kMaxSends ||
            !budget.TrySpend({.level = level, .ticket = ticket}, now)) {
          return;
        }
        ++result.repeats;
      }
    }
    result.served += rejects ? 1 : 0;
  }

  std::array<std::unique_ptr<ranked_repeat_budget>, 30> budgets_;
  std::mt19937 random_{5};
};

// Guards against repeats that are spread over all requests, of which each then
// fails with another call, and over ranks.
TEST(RankedRepeatBudgetTest, RepeatsGoToRequestsThatAreServedWithThem) {
  const rejecting_service_below service;
  const auto& important = service.roots[static_cast<std::size_t>(kImportant)];
  const auto& others = service.roots[static_cast<std::size_t>(kOther)];
  // Each of four calls needs 55/45 of a repeat.
  constexpr double kNeed = 4 * 55.0 / 45;
  EXPECT_GT(important.served,
            0.75 * (important.repeats + others.repeats) / kNeed);
  EXPECT_GT(important.share(), 3 * others.share());
}

// Guards against repeats of kinds with calls that leave no budget to the
// services further down, where each of them is charged several times.
TEST(RankedRepeatBudgetTest, KindsWithCallsHaveASmallerPart) {
  ranked_repeat_budget budget(
      {.ratio = 0.85, .calling_ratio = 0.4, .reserve = 0});
  for (int i = 0; i < 100; ++i) {
    budget.OnRequest(kImportant, kStart);
  }
  int calling = 0;
  while (budget.TrySpend({.level = kImportant, .makes_calls = true}, kStart)) {
    ++calling;
  }
  int all = calling;
  while (budget.TrySpend({.level = kImportant}, kStart)) {
    ++all;
  }
  EXPECT_EQ(calling, 40);
  EXPECT_EQ(all, 85);
}

// Guards against inherited repeats that come on top of the bound.
TEST(RankedRepeatBudgetTest, InheritedRepeatsUseTheBudgetEvenBeyondIt) {
  ranked_repeat_budget budget({.ratio = 0, .reserve = 3});
  for (int i = 0; i < 4; ++i) {
    budget.ChargeInherited(kStart);
  }
  EXPECT_EQ(budget.remaining(kStart), -1);
  EXPECT_FALSE(budget.TrySpend({.level = kImportant}, kStart + seconds(10)));
  EXPECT_TRUE(
      budget.TrySpend({.level = kImportant}, kStart + milliseconds(10001)));
}

// Guards against a daemon that lends what its own important requests need, or
// that lends without end.
TEST(RankedRepeatBudgetTest, OnlyWhatIsNotNeededIsLent) {
  ranked_repeat_budget budget({.ratio = 0, .reserve = 100});
  for (int i = 0; i <= 10; ++i) {
    EXPECT_TRUE(
        budget.TrySpend({.level = kImportant}, kStart + i * milliseconds(200)));
  }
  const time_point now = kStart + seconds(2);
  // 89 are left. Ten in two seconds make 50 in the window, of which 39 are to
  // come.
  const rank_counts spare = budget.Spare(now);
  EXPECT_EQ(spare[static_cast<std::size_t>(kOther)], 50U);
  EXPECT_EQ(budget.Lend(kOther, 1000, now), 50U);
  EXPECT_EQ(budget.Lend(kOther, 1000, now), 0U);
}

// Guards against a restart of all daemons after which a window has the spends
// of two incarnations, each with nearly the whole ratio.
TEST(RankedRepeatBudgetTest, TwoIncarnationsStayWithinTheRatio) {
  constexpr milliseconds kGap{10};
  const ranked_repeat_options options{
      .ratio = ranked_repeat_budget::kNormalShare,
      .starting_ratio = ranked_repeat_budget::kStartingShare,
      .calling_ratio = 0.4,
      .reserve = 0};
  ranked_repeat_budget budget(options);
  std::deque<time_point> spent;
  int total = 0;
  for (time_point now = kStart; now < kStart + seconds(90); now += kGap) {
    if (now == kStart + seconds(30) || now == kStart + seconds(33)) {
      ranked_repeat_options restarted = options;
      restarted.started = now;
      budget = ranked_repeat_budget(restarted);
    }
    budget.OnRequest(kImportant, now);
    // Just before the first restart, and at any time after it.
    const bool spends = now >= kStart + milliseconds(29500);
    while (spends && budget.TrySpend({.level = kImportant}, now)) {
      spent.push_back(now);
      ++total;
    }
    while (!spent.empty() && spent.front() < now - options.window) {
      spent.pop_front();
    }
    ASSERT_LE(spent.size(), options.window / kGap);
  }
  // 700 a window later on.
  EXPECT_GT(total, 3000);
}

// Guards against a new daemon whose kinds with calls exceed the lower ratio.
TEST(RankedRepeatBudgetTest, TheStartingRatioHoldsForWindowAndHold) {
  ranked_repeat_budget budget({.ratio = 0.7,
                               .starting_ratio = 0.3,
                               .started = kStart,
                               .calling_ratio = 0.4,
                               .reserve = 0});
  const auto spend_all = [&](time_point now) {
    for (int i = 0; i < 100; ++i) {
      budget.OnRequest(kImportant, now);
    }
    int spent = 0;
    while (budget.TrySpend({.level = kImportant, .makes_calls = true}, now)) {
      ++spent;
    }
    return spent;
  };
  const time_point end =
      kStart + seconds(10) + ranked_repeat_budget::kLentExtra;
  EXPECT_EQ(spend_all(kStart), 30);
  EXPECT_EQ(spend_all(end), 30);
  EXPECT_EQ(spend_all(end + seconds(11)), 40);
}

// Guards against a lender that forgets a token which waited at each level of
// the tree without anyone noticing, and is spent then.
TEST(RankedRepeatBudgetTest, ALentTokenCountsWhileItsLatestSpendIsInTheWindow) {
  usage_tree_options options{.parent_timeout = seconds(1)};
  constexpr std::size_t kDaemons = 14000;
  std::vector<std::string> ips;
  ips.reserve(kDaemons);
  for (std::size_t i = 0; i < kDaemons; ++i) {
    ips.push_back(std::to_string(i));
  }
  const daemon_order order = daemon_order::InOneDataCentre(ips);
  int levels = 0;
  for (std::optional<std::string> ip = "13999"; ip; ++levels) {
    options.self = *ip;
    usage_tree tree(options);
    tree.SetDaemons(order);
    ip = tree.Parent(kStart);
  }
  --levels;  // The root has no parent.
  EXPECT_LE(levels, ranked_repeat_budget::kTreeLevels);
  const milliseconds latest_spend =
      ranked_repeat_budget::kTokenLifetime +
      ranked_repeat_budget::kTreeLevels * 2 * report_parent::kResponseTimeout;

  ranked_repeat_budget budget({.ratio = 0, .reserve = 1});
  ASSERT_EQ(budget.Lend(kOther, 1, kStart), 1U);
  EXPECT_EQ(budget.remaining(kStart + latest_spend + seconds(10)), 0);
}

// Daemons of which each lends, borrows late or never, inherits repeats and
// restarts. A restarted one has a new account.
class lending_fleet {
 public:
  static constexpr milliseconds kWindow{4000};

  struct account {
    explicit account(const ranked_repeat_options& options) : budget(options) {}
    ranked_repeat_budget budget;
    std::vector<time_point> spent;      // On its account, by any daemon.
    std::vector<time_point> inherited;  // Among these.
    std::vector<time_point> requests;
    std::vector<std::pair<time_point, double>> allowed;  // At each decision.
  };

  lending_fleet() {
    for (std::size_t i = 0; i < kDaemons; ++i) {
      Restart(i);
    }
  }

  void Step(int action, std::size_t daemon, int count) {
    now_ += milliseconds(count);
    account& own = *accounts_[current_[daemon]];
    switch (action) {
      case 0:
        Restart(daemon);
        break;
      case 1:
        own.budget.ChargeInherited(now_);
        own.spent.push_back(now_);
        own.inherited.push_back(now_);
        break;
      case 2:
        Lend(daemon, static_cast<std::uint32_t>(count));
        break;
      case 3:
        Deliver(daemon);
        break;
      case 4:
      case 5:
        Spend(daemon, count % 2 == 0 ? kImportant : kOther);
        break;
      default:
        own.requests.push_back(now_);
        own.budget.OnRequest(kOther, now_);
    }
  }

  // No window has more spends on an account than its last decision allowed,
  // without the inherited ones, which nothing stops.
  void Check() const {
    for (const auto& each : accounts_) {
      for (const time_point end : each->spent) {
        const time_point begin = end - kWindow;
        const auto sum = [&](const std::vector<time_point>& all) {
          return static_cast<double>(std::ranges::count_if(
              all, [&](time_point at) { return at >= begin && at <= end; }));
        };
        double allowed = 0;
        for (const auto& [at, value] : each->allowed) {
          if (at >= begin - ranked_repeat_budget::kLentExtra && at <= end) {
            allowed = std::max(allowed, value);
          }
        }
        RC_ASSERT(sum(each->spent) - sum(each->inherited) <= allowed);
      }
    }
  }

 private:
  static constexpr std::size_t kDaemons = 3;
  static constexpr ranked_repeat_options kOptions{.window = kWindow,
                                                  .ratio = 0.5,
                                                  .calling_ratio = 0.2,
                                                  .reserve = 3};

  // Tokens on their way, and those that a daemon has borrowed.
  struct lent_tokens {
    std::size_t lender = 0;
    repeat_tokens tokens;
  };

  void Restart(std::size_t daemon) {
    current_[daemon] = accounts_.size();
    accounts_.push_back(std::make_unique<account>(kOptions));
    borrowed_[daemon].clear();
  }

  void NoteAllowed(account& of) const {
    const auto requests = std::ranges::count_if(
        of.requests, [&](time_point at) { return at >= now_ - kWindow; });
    of.allowed.emplace_back(
        now_,
        kOptions.reserve + kOptions.ratio * static_cast<double>(requests));
  }

  void Lend(std::size_t daemon, std::uint32_t count) {
    account& own = *accounts_[current_[daemon]];
    const std::uint32_t lent = own.budget.Lend(kOther, count, now_);
    if (lent > 0) {
      NoteAllowed(own);
      const time_point expires = now_ + ranked_repeat_budget::kTokenLifetime;
      under_way_.push_back({.lender = current_[daemon],
                            .tokens = {.count = lent, .expires = expires}});
    }
  }

  // The oldest tokens arrive, at whatever time; what is left at the end is
  // lost. By the receiver's clock, as late as may go unnoticed.
  void Deliver(std::size_t daemon) {
    if (under_way_.empty()) {
      return;
    }
    lent_tokens arrived = under_way_.front();
    under_way_.pop_front();
    arrived.tokens.expires += ranked_repeat_budget::kUnnoticedWait;
    accounts_[current_[daemon]]->budget.Borrow(arrived.tokens, now_);
    if (arrived.tokens.expires > now_) {
      borrowed_[daemon].push_back(arrived);
    }
  }

  // Whose token is spent isn't visible; the first to expire of those that are
  // merged may be any lender's, so each daemon holds one lender's at a time.
  void Spend(std::size_t daemon, priority level) {
    account& own = *accounts_[current_[daemon]];
    auto& held = borrowed_[daemon];
    const double before = own.budget.remaining(now_);
    if (!own.budget.TrySpend({.level = level}, now_)) {
      return;
    }
    RC_ASSERT(before >= 1);
    std::erase_if(held, [&](const lent_tokens& each) {
      return each.tokens.count == 0 || each.tokens.expires <= now_;
    });
    if (held.empty()) {
      own.spent.push_back(now_);
      NoteAllowed(own);
      return;
    }
    lent_tokens& first = *std::ranges::min_element(
        held, {}, [](const lent_tokens& each) { return each.tokens.expires; });
    --first.tokens.count;
    accounts_[first.lender]->spent.push_back(now_);
  }

  time_point now_ = kStart;
  std::vector<std::unique_ptr<account>> accounts_;
  std::array<std::size_t, kDaemons> current_{};  // Accounts of the daemons.
  std::array<std::vector<lent_tokens>, kDaemons> borrowed_;
  std::deque<lent_tokens> under_way_;
};

// Guards against a lender that forgets a token while its borrower may still
// spend it within the same window.
RC_GTEST_PROP(RankedRepeatBudgetTest,
              LendingKeepsEachAccountWithinItsBound,
              ()) {
  lending_fleet fleet;
  const auto steps = *rc::gen::container<std::vector<int>>(
      400, rc::gen::inRange(0, 8 * 3 * 60));
  for (const int step : steps) {
    fleet.Step(step % 40 == 0 ? 0 : 1 + step % 7,
               static_cast<std::size_t>(step / 7 % 3), step / 21);
  }
  fleet.Check();
}

}  // namespace
}  // namespace pistachioweir
