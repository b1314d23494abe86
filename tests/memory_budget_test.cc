// Bytes that are held for others, and who gives way.
#include "include/memory/memory_budget.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstddef>
#include <memory>
#include <utility>
#include <vector>

namespace pistachioweir {
namespace {

constexpr std::size_t kMb = 1 << 20;

TEST(MemoryBudgetTest, LargeReservationsLeaveTheRoomOfSmallOnes) {
  const auto budget = std::make_shared<memory_budget>(memory_budget_options{
      .max_small_bytes = kMb, .max_large_bytes = 8 * kMb});
  std::size_t missing = 0;
  budget->OnShortage([&](memory_pool pool, std::size_t bytes) {
    EXPECT_EQ(pool, memory_pool::kLarge);
    missing = bytes;
  });
  memory_reservation large = budget->Open(memory_use::kRequests);
  EXPECT_TRUE(large.Resize(8 * kMb));
  memory_reservation second = budget->Open(memory_use::kAnswers);
  EXPECT_FALSE(second.Resize(2 * kMb));
  EXPECT_EQ(missing, 3 * kMb);  // An eighth of the pool besides.
  EXPECT_EQ(second.bytes(), 0U);
  EXPECT_EQ(budget->refused(), (memory_budget::counts_by_use{0, 0, 1, 0}));
  memory_reservation small = budget->Open(memory_use::kRequests);
  EXPECT_TRUE(small.Resize(kMaxSmallReservation));
  EXPECT_EQ(budget->held(memory_use::kRequests),
            8 * kMb + kMaxSmallReservation);
  large = memory_reservation();
  EXPECT_TRUE(second.Resize(2 * kMb));
}

// Guards against sums that pass the bounds, and bytes that are never given
// back.
RC_GTEST_PROP(MemoryBudgetTest,
              StaysWithinItsBoundsAndEndsAtZero,
              (const std::vector<std::pair<std::size_t, std::size_t>>& steps)) {
  constexpr memory_budget_options kOptions{.max_small_bytes = 3 * kMb / 10,
                                           .max_large_bytes = 10 * kMb};
  const auto budget = std::make_shared<memory_budget>(kOptions);
  std::vector<memory_reservation> open(7);
  for (std::size_t i = 0; i < open.size(); ++i) {
    open[i] = budget->Open(static_cast<memory_use>(i % kMemoryUseNames.size()));
  }
  for (const auto& [which, bytes] : steps) {
    memory_reservation& changed = open[which % open.size()];
    const std::size_t before = changed.bytes();
    const std::size_t wanted = bytes % (6 * kMb);
    const bool fits = changed.Resize(wanted);
    RC_ASSERT(changed.bytes() == (fits ? wanted : before));
    if (which % 5 == 0) {
      std::swap(changed, open[bytes % open.size()]);
    }
    std::size_t sum = 0;
    for (const memory_reservation& each : open) {
      sum += each.bytes();
    }
    RC_ASSERT(budget->held() == sum);
    RC_ASSERT(sum <= kOptions.max_small_bytes + kOptions.max_large_bytes);
  }
  open.clear();
  RC_ASSERT(budget->held() == 0U);
}

TEST(MemoryBudgetTest, TheLargestOfThoseWithoutProgressGivesWay) {
  const time_point now{seconds(100)};
  const auto budget = std::make_shared<memory_budget>(memory_budget_options());
  std::vector<memory_reservation> kept;
  const auto holder = [&](std::size_t bytes, duration idle) {
    kept.push_back(budget->Open(memory_use::kRequests));
    EXPECT_TRUE(kept.back().Resize(bytes));
    memory_holder made{.last_progress = now - idle};
    made.Add(kept.back());
    return made;
  };
  const std::vector<memory_holder> holders = {
      holder(4 * kMb, seconds(2)), holder(9 * kMb, milliseconds(10)),
      holder(6 * kMb, seconds(1)), holder(1000, seconds(50))};
  EXPECT_EQ(ChooseToGiveWay(holders, memory_pool::kLarge, now), 2U);
  EXPECT_EQ(
      ChooseToGiveWay(holders, memory_pool::kLarge, now - milliseconds(500)),
      0U);
  EXPECT_EQ(ChooseToGiveWay(holders, memory_pool::kSmall, now), 3U);
  EXPECT_EQ(ChooseToGiveWay(holders, memory_pool::kLarge, now - seconds(5)),
            std::nullopt);
}

// Guards against a default that refuses a single body of 64 MiB in calm.
TEST(MemoryBudgetTest, ABodyOfTheLargestSizeFits) {
  for (const std::size_t memory : {160 * kMb, 260 * kMb, 512 * kMb}) {
    const auto budget = std::make_shared<memory_budget>(BudgetOptions(memory));
    EXPECT_TRUE(budget->Open(memory_use::kRequests).Resize(64 * kMb));
  }
}

}  // namespace
}  // namespace pistachioweir
