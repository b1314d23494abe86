// Lending of repeats over a tree of daemons.
#include "include/retry/repeat_exchange.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "src/peer/repeat_frame.h"

namespace pistachioweir {
namespace {

const time_point kStart{seconds(1000)};
constexpr std::string_view kService = "kyc";

// A root and the daemons below it, which report every 250 ms. All have the same
// budget; the first `busy` of them want more than they have.
class exchanging_fleet {
 public:
  static constexpr std::uint32_t kReserve = 20;

  exchanging_fleet(std::size_t count, std::size_t busy) : busy_(busy) {
    for (std::size_t i = 0; i < count; ++i) {
      daemons_.push_back(std::make_unique<daemon>());
      daemons_.back()->exchange.SetDaemons(count);
      daemons_.back()->exchange.SetRoot(i == 0);
    }
  }

  // `loses` tells which daemons' grants are lost.
  void Run(milliseconds time, const std::vector<std::size_t>& loses = {}) {
    for (milliseconds passed{0}; passed < time; passed += kStep) {
      now_ += kStep;
      for (std::size_t i = 0; i < busy_; ++i) {
        for (const priority level : attempts(i)) {
          const bool granted =
              daemons_[i]->budget.TrySpend({.level = level}, now_);
          ++(granted ? spent : refused)[static_cast<std::size_t>(level)];
        }
      }
      if (now_.time_since_epoch() % milliseconds(250) == duration(0)) {
        Exchange(loses);
      }
    }
  }

  std::uint64_t Sum(std::uint64_t ranked_repeat_counters::*counter) const {
    std::uint64_t sum = 0;
    for (const auto& each : daemons_) {
      sum += each->budget.counters().*counter;
    }
    return sum;
  }

  // What a daemon tries to spend every 50 ms.
  std::function<std::vector<priority>(std::size_t daemon)> attempts =
      [](std::size_t) {
        return std::vector<priority>{priority::kCritical, priority::kNormal,
                                     priority::kNormal, priority::kNormal};
      };
  std::array<std::uint64_t, kPriorityCount> spent{};
  std::array<std::uint64_t, kPriorityCount> refused{};

 private:
  static constexpr milliseconds kStep{50};

  struct daemon {
    ranked_repeat_budget budget{{.ratio = 0, .reserve = kReserve}};
    repeat_exchange exchange;
  };

  void Exchange(const std::vector<std::size_t>& loses) {
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
      daemon& each = *daemons_[i];
      const std::vector<own_repeat_budget> own{
          {.service = kService, .budget = &each.budget}};
      each.exchange.Tick(own, static_cast<double>(random_() % 1024) / 1024,
                         now_);
      if (i == 0) {
        continue;
      }
      const repeat_entries grant = daemons_[0]->exchange.OnReport(
          i, Sent(each.exchange.TakeReport(now_)), milliseconds(0), now_);
      if (std::ranges::find(loses, i) == loses.end()) {
        each.exchange.OnGrant(Sent(grant), own, now_, now_);
      }
    }
  }

  static repeat_entries Sent(const repeat_entries& entries) {
    const std::string bytes =
        Encode(repeat_frame{.number = 1, .entries = entries},
               frame_kind::kRepeatReport);
    const auto frame =
        DecodeRepeat(std::string_view(bytes).substr(kFrameHeadBytes));
    EXPECT_TRUE(frame);
    return frame ? frame->entries : repeat_entries();
  }

  const std::size_t busy_;
  std::vector<std::unique_ptr<daemon>> daemons_;
  std::mt19937 random_{1};
  time_point now_ = kStart;
};

// Guards against a part of the bound that goes unused at daemons without need
// while others refuse repeats.
TEST(RepeatExchangeTest, DaemonsWithoutNeedLendToThoseWithNeed) {
  exchanging_fleet fleet(10, 3);
  fleet.Run(seconds(8));
  const std::uint64_t spent = fleet.spent[0] + fleet.spent[2];
  EXPECT_GT(spent, 8 * exchanging_fleet::kReserve);
  EXPECT_LE(spent, 10 * exchanging_fleet::kReserve);
  EXPECT_LE(fleet.Sum(&ranked_repeat_counters::borrowed),
            fleet.Sum(&ranked_repeat_counters::lent));
}

// Guards against tokens that expire at daemons that wanted fewer: they count at
// their lenders for the whole window.
TEST(RepeatExchangeTest, LittleMoreIsLentThanIsWanted) {
  exchanging_fleet fleet(60, 1);
  fleet.Run(seconds(4));
  const std::uint64_t used =
      fleet.spent[0] + fleet.spent[2] - exchanging_fleet::kReserve;
  EXPECT_GT(used, 100U);
  EXPECT_LT(fleet.Sum(&ranked_repeat_counters::lent), used * 3 / 2);
}

// Guards against unimportant requests of one daemon that get the tokens which
// important ones of another one need.
TEST(RepeatExchangeTest, ImportantRequestsGetTheirTokensFirst) {
  exchanging_fleet fleet(6, 4);
  fleet.Run(seconds(8));
  const auto share = [&](std::size_t rank) {
    return static_cast<double>(fleet.spent[rank]) /
           static_cast<double>(fleet.spent[rank] + fleet.refused[rank]);
  };
  EXPECT_GT(share(0), 3 * share(2));
}

// Guards against daemons without important requests that spend their part on
// others, before those with important ones have asked for it.
TEST(RepeatExchangeTest, ImportantRequestsOfOtherDaemonsComeFirst) {
  exchanging_fleet fleet(10, 10);
  fleet.attempts = [](std::size_t daemon) {
    return daemon == 3 ? std::vector<priority>{priority::kCritical}
                       : std::vector<priority>{priority::kNormal};
  };
  // 160 important ones and 1440 others; 200 are allowed.
  fleet.Run(seconds(8));
  EXPECT_GT(fleet.spent[0], 80U);
  EXPECT_LE(fleet.spent[0] + fleet.spent[2], 10 * exchanging_fleet::kReserve);
}

// Guards against tokens that are spent by nobody and stay in use, or twice.
TEST(RepeatExchangeTest, LostGrantsOnlyCostTheirTokens) {
  exchanging_fleet fleet(10, 3);
  fleet.Run(seconds(8), {1});
  EXPECT_LE(fleet.spent[0] + fleet.spent[2], 10 * exchanging_fleet::kReserve);
  EXPECT_GE(fleet.spent[0] + fleet.spent[2], 5 * exchanging_fleet::kReserve);
}

// Guards against frames that grow or flow while nobody wants anything.
TEST(RepeatExchangeTest, WithoutDemandReportsAndGrantsAreEmpty) {
  ranked_repeat_budget budget({.ratio = 0, .reserve = 100});
  const std::vector<own_repeat_budget> own{
      {.service = kService, .budget = &budget}};
  repeat_exchange exchange;
  EXPECT_TRUE(budget.TrySpend({.level = priority::kNormal}, kStart));
  exchange.Tick(own, 0.5, kStart);
  EXPECT_TRUE(exchange.TakeReport(kStart).empty());
  EXPECT_TRUE(exchange.OnReport(1, {}, milliseconds(0), kStart).empty());
}

// Guards against a frame that is taken although a field of it is out of range:
// tokens that live longer than their lender counts them would break the bound.
TEST(RepeatExchangeTest, FramesWithValuesOutOfRangeAreRefused) {
  const auto decodes = [](const repeat_entry& entry) {
    const std::string bytes =
        Encode(repeat_frame{.entries = {entry}}, frame_kind::kRepeatGrant);
    return DecodeRepeat(std::string_view(bytes).substr(kFrameHeadBytes))
        .has_value();
  };
  const std::string service(kService);
  EXPECT_TRUE(decodes(
      {.service = service, .tokens = {{.count = 1, .valid_for = seconds(2)}}}));
  EXPECT_FALSE(
      decodes({.service = service,
               .tokens = {{.count = 1, .valid_for = milliseconds(2001)}}}));
  EXPECT_FALSE(decodes({.service = ""}));
  EXPECT_FALSE(decodes({.service = std::string(257, 'a')}));
  EXPECT_FALSE(DecodeRepeat("").has_value());
}

}  // namespace
}  // namespace pistachioweir
