// Routes by host and prefix, and weighted splits of their requests.
#include "include/route/route_table.h"

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "include/route/weighted_split.h"

namespace pistachioweir {
namespace {

route RouteTo(const std::string& name,
              const std::string& host,
              const std::string& prefix) {
  return {.name = name,
          .host = host,
          .prefix = prefix,
          .parts = {{.service = "registry"}}};
}

std::string NameOf(const route* found) {
  return found == nullptr ? "none" : found->name;
}

class route_table_test : public testing::Test {
 protected:
  static route_table Table() {
    std::string problem;
    auto table = route_table::Make(
        {RouteTo("root", "a.example", "/"), RouteTo("x", "a.example", "/x/"),
         RouteTo("xy", "a.example", "/x/y/"), RouteTo("b", "B.example", "/x/")},
        &problem);
    EXPECT_TRUE(table.has_value()) << problem;
    return *table;
  }
};

TEST_F(route_table_test, TheLongestPrefixWins) {
  const route_table table = Table();
  EXPECT_EQ(NameOf(table.Find("a.example", "/x/y/z")), "xy");
  EXPECT_EQ(NameOf(table.Find("a.example", "/x/y/")), "xy");
  EXPECT_EQ(NameOf(table.Find("a.example", "/x/y")), "x");
  EXPECT_EQ(NameOf(table.Find("a.example", "/x/yy/z")), "x");
  EXPECT_EQ(NameOf(table.Find("a.example", "/z")), "root");
}

TEST_F(route_table_test, TheHostMustMatchWhateverItsCaseAndPort) {
  const route_table table = Table();
  EXPECT_EQ(NameOf(table.Find("A.EXAMPLE:8080", "/x/1")), "x");
  EXPECT_EQ(NameOf(table.Find("b.example", "/x/1")), "b");
  EXPECT_EQ(NameOf(table.Find("b.example", "/y")), "none");
  EXPECT_EQ(NameOf(table.Find("", "/x/1")), "none");
}

TEST_F(route_table_test, AQueryIsNoPartOfThePath) {
  const route_table table = Table();
  EXPECT_EQ(NameOf(table.Find("a.example", "/x/1?to=/x/y/")), "x");
}

TEST_F(route_table_test, InvalidPathsMatchNothing) {
  const route_table table = Table();
  EXPECT_EQ(NameOf(table.Find("a.example", "")), "none");
  EXPECT_EQ(NameOf(table.Find("a.example", "*")), "none");
}

TEST_F(route_table_test, RefusesAmbiguousRoutesAndRoutesWithoutDestination) {
  std::string problem;
  EXPECT_FALSE(route_table::Make(
      {RouteTo("1", "a", "/x/"), RouteTo("2", "A", "/x/")}, &problem));
  EXPECT_NE(problem.find('2'), problem.npos) << problem;
  EXPECT_FALSE(route_table::Make({RouteTo("1", "a", "x/")}, &problem));
  EXPECT_FALSE(route_table::Make({RouteTo("1", "a", "/x")}, &problem));
  route nowhere = RouteTo("1", "a", "/x/");
  nowhere.parts = {{.service = "registry", .weight = 0}};
  EXPECT_FALSE(route_table::Make({nowhere}, &problem));
}

// Parts of 90 and 10. A random choice gives the small part between 12 and 28 of
// 200 requests; people who test a new version with a tenth of the requests
// would see far too many or too few.
TEST(WeightedSplitTest, EachSpanOfRequestsHasTheSharesOfTheWeights) {
  const std::vector<route_part> parts = {{.service = "old", .weight = 90},
                                         {.service = "new", .weight = 10}};
  for (std::uint64_t random = 0; random < 50; ++random) {
    weighted_split split(random);
    int to_new = 0;
    for (int i = 0; i < 200; ++i) {
      to_new += split.Next(parts) == "new" ? 1 : 0;
    }
    EXPECT_GE(to_new, 19);
    EXPECT_LE(to_new, 21);
  }
}

// If twelve daemons all started with the large part, the small one would get
// none of the first requests.
TEST(WeightedSplitTest, SplitsStartAtDifferentPositions) {
  const std::vector<route_part> parts = {{.service = "old", .weight = 90},
                                         {.service = "new", .weight = 10}};
  int to_new = 0;
  for (std::uint64_t random = 0; random < 100; ++random) {
    weighted_split split(random);
    to_new += split.Next(parts) == "new" ? 1 : 0;
  }
  EXPECT_GE(to_new, 8);
  EXPECT_LE(to_new, 12);
}

TEST(WeightedSplitTest, FollowsNewWeights) {
  weighted_split split(3);
  std::vector<route_part> parts = {{.service = "a", .weight = 1},
                                   {.service = "b", .weight = 1}};
  for (int i = 0; i < 10; ++i) {
    split.Next(parts);
  }
  parts[0].weight = 0;
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(split.Next(parts), "b");
  }
}

}  // namespace
}  // namespace pistachioweir
