// Tests of when daemons read the platform, and how much that is in all.
#include "include/fleet/reader_schedule.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace pistachioweir {
namespace {

const time_point kStart = time_point() + std::chrono::hours(1);
constexpr milliseconds kStep{100};

// The reads of many daemons of a fleet, second by second. Only a part of the
// fleet is run; each daemon believes the whole size.
class reader_fleet {
 public:
  reader_fleet(std::size_t daemons, std::uint64_t fleet_size)
      : random_(7), now_(kStart) {
    situation_.own_service = "a";
    situation_.lists = {"a", "b", "c", "d"};
    situation_.fleet_size = fleet_size;
    situation_.service_size = 18;
    for (std::size_t i = 0; i < daemons; ++i) {
      schedules_.emplace_back(fleet_size, now_, random_);
    }
    watches_.resize(daemons);
  }

  // Reads a second, by second.
  std::vector<std::uint64_t> Run(std::size_t span, bool platform_up) {
    std::vector<std::uint64_t> reads(span);
    for (std::size_t step = 0; step < span * 10; ++step) {
      now_ += kStep;
      for (std::size_t i = 0; i < schedules_.size(); ++i) {
        reads[step / 10] += Step(i, platform_up);
      }
    }
    return reads;
  }

 private:
  struct watch {
    std::string key;
    time_point until;
  };

  std::uint64_t Step(std::size_t index, bool platform_up) {
    reader_schedule& schedule = schedules_[index];
    std::erase_if(watches_[index], [&](const watch& waiting) {
      if (platform_up && now_ < waiting.until) {
        return false;
      }
      schedule.Done(waiting.key, !platform_up, 1, situation_, now_, random_);
      return true;
    });
    const std::vector<scheduled_read> due =
        schedule.Due(situation_, now_, random_);
    for (const scheduled_read& read : due) {
      watches_[index].push_back({.key = read.key, .until = now_ + read.wait});
    }
    return due.size();
  }

  std::mt19937_64 random_;
  time_point now_;
  reader_situation situation_;
  std::vector<reader_schedule> schedules_;
  std::vector<std::vector<watch>> watches_;
};

std::uint64_t Mean(const std::vector<std::uint64_t>& reads, std::size_t from) {
  std::uint64_t sum = 0;
  for (std::size_t i = from; i < reads.size(); ++i) {
    sum += reads[i];
  }
  return sum / (reads.size() - from);
}

// A tenth of 14,000 daemons is run, so that its reads count ten times.
TEST(ReaderScheduleTest, TheWholeFleetStaysBelowTheLimit) {
  reader_fleet fleet(1400, 14000);
  const std::vector<std::uint64_t> reads = fleet.Run(300, true);
  EXPECT_LT(Mean(reads, 120) * 10, 1000U);
}

// The platform fails for all at once. If each daemon tried again every second,
// it would be called 14,000 times a second and could not come back.
TEST(ReaderScheduleTest, APlatformThatIsDownIsTriedSeldom) {
  reader_fleet fleet(1400, 14000);
  fleet.Run(60, true);
  EXPECT_LT(Mean(fleet.Run(240, false), 120) * 10, 400U);
  const std::vector<std::uint64_t> back = fleet.Run(120, true);
  EXPECT_LT(*std::ranges::max_element(back) * 10, 2000U);
}

// A third of the fleet loses its power and starts again in the same second.
TEST(ReaderScheduleTest, DaemonsThatStartTogetherSpreadTheirReads) {
  reader_fleet fleet(4667, 14000);
  const std::vector<std::uint64_t> reads = fleet.Run(20, true);
  EXPECT_LT(*std::ranges::max_element(reads), 2000U);
}

TEST(ReaderScheduleTest, ASmallFleetWatchesAndStartsAtOnce) {
  reader_fleet fleet(9, 9);
  const std::vector<std::uint64_t> reads = fleet.Run(60, true);
  EXPECT_GE(reads[0], 9U);
  EXPECT_LT(Mean(reads, 5), 10U);
}

}  // namespace
}  // namespace pistachioweir
