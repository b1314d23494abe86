// Search of the request that a target's call belongs to.
#include "include/lineage/running_requests.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace pistachioweir {
namespace {

using enum lineage_evidence;

constexpr time_point kStart{seconds(1000)};

running_request Request(std::string id,
                        std::uint32_t rank,
                        duration deadline = seconds(1)) {
  return {.id = std::move(id),
          .deadline = kStart + deadline,
          .rank = rank,
          .ticket = static_cast<std::uint8_t>(rank + 100),
          .lineage = {.root = "root-" + std::to_string(rank), .depth = 2}};
}

// Guards against calls that inherit from a request which contains their parent,
// or from none, when targets extend ids at several hops.
TEST(RunningRequestsTest, TheLongestIdBeforeADotIsTheParent) {
  running_requests running;
  running.Insert(1, Request("a", 0));
  running.Insert(2, Request("a.b.c", 2));
  const parent_match match = running.FindById("a.b.c.d.e");
  EXPECT_EQ(match.evidence, kRequestId);
  EXPECT_EQ(match.parent, 2U);
  EXPECT_EQ(match.rank, 2U);
  EXPECT_EQ(match.ticket, 102U);
  EXPECT_EQ(match.lineage, (call_lineage{.root = "root-2", .depth = 3}));
  EXPECT_EQ(running.FindById("a.b.x").parent, 1U);
  // An id is no parent of itself, nor of one that only begins alike.
  for (const char* other : {"a", "ab.c", "", ".", ".a", "b.a.x"}) {
    EXPECT_FALSE(running.FindById(other).found()) << other;
  }
}

// Guards against time spent on ids that a caller made long on purpose.
TEST(RunningRequestsTest, LongIdsAndManyDotsAreNotSearched) {
  running_requests running;
  running.Insert(1, Request("a", 0));
  std::string dots = "a";
  for (std::size_t i = 0; i < running_requests::kMaxSeparators; ++i) {
    dots += ".1";
  }
  EXPECT_TRUE(running.FindById(dots).found());
  EXPECT_FALSE(running.FindById(dots + ".1").found());
  const std::string longest =
      "a." + std::string(running_requests::kMaxIdLength - 2, 'x');
  EXPECT_TRUE(running.FindById(longest).found());
  EXPECT_FALSE(running.FindById(longest + "x").found());
}

// Guards against a rank that is gained by naming a request that has ended.
TEST(RunningRequestsTest, AnEndedRequestIsNoParent) {
  running_requests running;
  running.Insert(1, Request("a", 0));
  running.Erase(1);
  running.Erase(1);
  EXPECT_FALSE(running.FindById("a.1").found());
  EXPECT_FALSE(running.FindByDeadline(kStart + seconds(1)).found());
  EXPECT_EQ(running.Find(1), nullptr);
  EXPECT_EQ(running.size(), 0U);
}

// A caller reuses the id of its important request for an unimportant one.
// Guards against the important rank for the calls of both, and against views of
// an id that has been freed.
TEST(RunningRequestsTest, TwoRunsWithOneIdGiveTheLeastImportantRank) {
  for (const std::uint64_t first_erased : {1U, 2U}) {
    running_requests running;
    // Too long to be stored inside the string object.
    const std::string id(64, 'a');
    running.Insert(1, Request(id, 3));
    running.Insert(2, Request(id, 0));
    const parent_match both = running.FindById(id + ".1");
    EXPECT_EQ(both.evidence, kAmbiguous);
    EXPECT_EQ(both.parent, parent_match::kNoParent);
    EXPECT_EQ(both.rank, 3U);
    running.Erase(first_erased);
    const parent_match one = running.FindById(id + ".1");
    EXPECT_EQ(one.evidence, kRequestId);
    EXPECT_EQ(one.parent, 3 - first_erased);
    running.Erase(3 - first_erased);
    EXPECT_FALSE(running.FindById(id + ".1").found());
  }
}

// Headers carry whole milliseconds, so a call's deadline is seldom exact.
// Guards against lost parents, and against calls of requests that expire close
// to each other.
TEST(RunningRequestsTest, ADeadlineMayBeOffByTwoMilliseconds) {
  running_requests running;
  running.Insert(1, Request("a", 1));
  for (const int off : {-2, -1, 0, 1, 2}) {
    const auto match =
        running.FindByDeadline(kStart + seconds(1) + milliseconds(off));
    EXPECT_EQ(match.evidence, kDeadline) << off;
    EXPECT_EQ(match.parent, 1U);
  }
  // Later than the request's: not its call.
  EXPECT_FALSE(
      running.FindByDeadline(kStart + seconds(1) + milliseconds(3)).found());
  // Earlier: the call may have a timeout of its own.
  const auto earlier =
      running.FindByDeadline(kStart + seconds(1) - milliseconds(3));
  EXPECT_EQ(earlier.evidence, kAmbiguous);
  EXPECT_EQ(earlier.parent, parent_match::kNoParent);
}

// Guards against a rank, precedence or missing repeat that only one of several
// possible parents has.
TEST(RunningRequestsTest, AmbiguousCallsInheritWhatAllParentsHave) {
  running_requests running;
  running_request ahead = Request("a", 0);
  ahead.has_precedence = true;
  running_request repeat = Request("b", 2, seconds(1) + milliseconds(1));
  repeat.has_precedence = true;
  repeat.lineage.in_repeat = true;
  running.Insert(1, ahead);
  running.Insert(2, repeat);
  // Expires later: possible only for calls that match no deadline.
  running.Insert(3, Request("c", 3, seconds(2)));
  const parent_match equal = running.FindByDeadline(kStart + seconds(1));
  EXPECT_EQ(equal.evidence, kAmbiguous);
  EXPECT_EQ(equal.rank, 2U);
  EXPECT_EQ(equal.ticket, 102U);
  EXPECT_EQ(equal.lineage.root, "root-2");
  EXPECT_TRUE(equal.has_precedence);
  EXPECT_TRUE(equal.lineage.in_repeat);
  const parent_match any = running.FindByDeadline(kStart);
  EXPECT_EQ(any.rank, 3U);
  EXPECT_FALSE(any.has_precedence);
  EXPECT_TRUE(any.lineage.in_repeat);
  EXPECT_EQ(running.FindByDeadline(kStart + seconds(2)).parent, 3U);
}

// Whatever runs, a call must not get a more important rank than any request
// that it could belong to, and nothing may be found once all have ended, in
// whatever order.
RC_GTEST_PROP(RunningRequestsTest, NoCallOutranksItsPossibleParents, ()) {
  using drawn = std::tuple<int, int, int>;  // Id, rank, deadline.
  const auto all = *rc::gen::container<std::vector<drawn>>(rc::gen::tuple(
      rc::gen::inRange(0, 3), rc::gen::inRange(0, 4), rc::gen::inRange(0, 9)));
  running_requests running;
  std::vector<std::uint64_t> keys;
  for (const auto& [id, rank, deadline] : all) {
    keys.push_back(keys.size() + 1);
    running.Insert(keys.back(),
                   Request(std::string(32, static_cast<char>('a' + id)), rank,
                           milliseconds(deadline)));
  }
  // The least important rank of the possible parents; nothing without any.
  const auto least = [&](const auto& is_possible) {
    std::optional<std::uint32_t> rank;
    for (const std::uint64_t key : keys) {
      const running_request& request = *running.Find(key);
      if (is_possible(request)) {
        rank = std::max(rank.value_or(0), request.rank);
      }
    }
    return rank;
  };
  const auto rank_of = [](const parent_match& match) {
    return match.found() ? std::optional(match.rank) : std::nullopt;
  };
  for (bool done = false; !done; done = keys.empty()) {
    for (int id = 0; id < 3; ++id) {
      const std::string name(32, static_cast<char>('a' + id));
      RC_ASSERT(rank_of(running.FindById(name + ".1")) ==
                least([&](const auto& r) { return r.id == name; }));
    }
    for (int at = -3; at < 12; ++at) {
      const time_point deadline = kStart + milliseconds(at);
      constexpr milliseconds kOff = running_requests::kDeadlineTolerance;
      const auto equal = least([&](const auto& r) {
        return r.deadline >= deadline - kOff && r.deadline <= deadline + kOff;
      });
      RC_ASSERT(rank_of(running.FindByDeadline(deadline)) ==
                (equal ? equal : least([&](const auto& r) {
                  return r.deadline > deadline;
                })));
    }
    if (!keys.empty()) {
      const auto at =
          keys.begin() + *rc::gen::inRange<std::ptrdiff_t>(0, std::ssize(keys));
      running.Erase(*at);
      keys.erase(at);
    }
  }
  RC_ASSERT(running.size() == 0U);
  RC_ASSERT(!running.FindByDeadline(kStart).found());
  RC_ASSERT(!running.FindById(std::string(32, 'a') + ".1").found());
}

}  // namespace
}  // namespace pistachioweir
