// Tests of the audit log and of the log of refusals.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <string>
#include <thread>
#include <vector>

#include "include/audit/audit_log.h"
#include "include/audit/refusal_log.h"

namespace pistachioweir {
namespace {

using testing::ElementsAre;
using testing::Field;
using testing::IsEmpty;
using testing::SizeIs;

// A log whose clock stands until a test moves it.
struct fixture {
  wall_time now{};
  audit_log log{{.capacity = 3, .now = [this] { return now; }}};

  void Add(const std::string& subject, const std::string& after) {
    log.Add({.kind = audit_kind::kLevelChanged,
             .subject = subject,
             .after = after});
  }
};

auto Number(std::uint64_t number) {
  return Field(&audit_event::number, number);
}

TEST(AuditLogTest, KeepsTheLastAndNumbersAll) {
  fixture f;
  for (const char* subject : {"a", "b", "c", "d"}) {
    f.Add(subject, "1");
  }
  EXPECT_THAT(f.log.Recent(10), ElementsAre(Number(2), Number(3), Number(4)));
  EXPECT_THAT(f.log.Recent(1), ElementsAre(Number(4)));
  EXPECT_THAT(f.log.Recent(0), IsEmpty());
}

// Under an overload that comes and goes, a level changes many times a second.
// The audit trail would hold nothing else, just when somebody needs it.
TEST(AuditLogTest, FastRepeatsAreMerged) {
  fixture f;
  f.Add("target", "0");
  for (int i = 0; i < 100; ++i) {
    f.Add("level", std::to_string(i));
  }
  ASSERT_THAT(f.log.Recent(10), SizeIs(2));
  EXPECT_EQ(f.log.Recent(1)[0].after, "99");
  EXPECT_EQ(f.log.Recent(1)[0].repeats, 99U);
  f.now += seconds(1);
  f.Add("level", "100");
  EXPECT_EQ(f.log.Recent(1)[0].repeats, 0U);
  EXPECT_THAT(f.log.Recent(10), SizeIs(3));
}

refusal Refused(reason why, std::uint32_t queued) {
  return {.why = why, .queued = queued};
}

// A daemon that restarts takes an older manifest from a stale platform and the
// newer one from its peers within a second. An operator who looked for the
// newer one found only the older.
TEST(AuditLogTest, ManifestsAreNeverMerged) {
  audit_log log;
  for (const char* version : {"version=1", "version=2"}) {
    log.Add({.kind = audit_kind::kManifestAccepted,
             .subject = "contracts",
             .after = version});
  }
  const auto events = log.Recent(10);
  ASSERT_EQ(events.size(), 2U);
  EXPECT_EQ(events[1].after, "version=2");
}

TEST(RefusalLogTest, CountsAllAndKeepsTheLast) {
  refusal_log log;
  for (std::uint32_t i = 0; i < 100; ++i) {
    log.Add("mail", "list", Refused(reason::kOverload, i));
  }
  log.Add("mail", "list", Refused(reason::kQueueFull, 100));
  const refusal_history history = log.Find("mail", "list");
  EXPECT_EQ(history.counts[static_cast<int>(reason::kOverload)], 100U);
  EXPECT_EQ(history.counts[static_cast<int>(reason::kQueueFull)], 1U);
  ASSERT_THAT(history.last, SizeIs(refusal_log::kLastPerMethod));
  EXPECT_EQ(history.last.front().queued, 85U);
  EXPECT_EQ(history.last.back().queued, 100U);
  EXPECT_THAT(log.Find("mail", "read").last, IsEmpty());
}

// Somebody tries one path after another. The names must not push out the
// methods that an operator wants explained, nor fill the memory.
TEST(RefusalLogTest, NamesFromOutsideDontFillTheTable) {
  refusal_log log;
  for (int i = 0; i < 100000; ++i) {
    log.Add("s" + std::to_string(i), "m", Refused(reason::kUnknownService, 0));
  }
  log.Add("mail", "list", Refused(reason::kOverload, 0));
  EXPECT_THAT(log.Find("s1", "m").last, IsEmpty());
  EXPECT_THAT(log.Find("mail", "list").last, SizeIs(1));
  EXPECT_EQ(log.Find("", "").counts[static_cast<int>(reason::kUnknownService)],
            100000U);
}

TEST(RefusalLogTest, ThreadsCountTogether) {
  refusal_log log;
  {
    std::vector<std::jthread> threads;
    threads.reserve(4);
    for (int i = 0; i < 4; ++i) {
      threads.emplace_back([&log] {
        for (std::uint32_t j = 0; j < 1000; ++j) {
          log.Add("mail", "list", Refused(reason::kOverload, j));
        }
      });
    }
  }
  const refusal_history history = log.Find("mail", "list");
  EXPECT_EQ(history.counts[static_cast<int>(reason::kOverload)], 4000U);
}

}  // namespace
}  // namespace pistachioweir
