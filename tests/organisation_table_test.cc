// Organisations by API key, and the rank and verdict of a request with a key.
#include "include/organisation/organisation_table.h"

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "include/organisation/key_check.h"
#include "include/organisation/precedence.h"

namespace pistachioweir {
namespace {

std::vector<organisation> TwoOrganisations() {
  return {{.name = "north", .api_keys = {"key-1", "key-2"}, .rank = 1},
          {.name = "south", .api_keys = {"key-3"}}};
}

organisation_table Table() {
  std::string problem;
  return *organisation_table::Make(TwoOrganisations(), &problem);
}

TEST(OrganisationTableTest, FindsTheHolderOfEachKey) {
  const organisation_table table = Table();
  ASSERT_NE(table.Find("key-2"), nullptr);
  EXPECT_EQ(table.Find("key-2")->name, "north");
  EXPECT_EQ(table.Find("key-3")->name, "south");
  EXPECT_EQ(table.Find("key-3")->id, IdOfOrganisation("south"));
  for (const char* other : {"", "key", "key-4", "key-11", "KEY-1", "north"}) {
    EXPECT_EQ(table.Find(other), nullptr) << other;
  }
}

// Guards against a request that is counted for the wrong one of two holders of
// a key.
TEST(OrganisationTableTest, ASharedKeyIsRefusedWithoutPrintingIt) {
  std::vector<organisation> shared = TwoOrganisations();
  shared[1].api_keys = {"key-3", "key-1"};
  std::string problem;
  EXPECT_FALSE(organisation_table::Make(shared, &problem).has_value());
  EXPECT_NE(problem.find("north"), problem.npos);
  EXPECT_NE(problem.find("south"), problem.npos);
  EXPECT_EQ(problem.find("key-1"), problem.npos) << problem;
}

TEST(OrganisationTableTest, RefusesInvalidOrganisations) {
  const std::vector<organisation> broken = {
      {.name = ""},
      {.name = "south"},
      {.name = "east", .api_keys = {""}},
      {.name = "east", .rate = -1},
      {.name = "east", .burst = -0.5},
  };
  for (const organisation& each : broken) {
    std::vector<organisation> all = TwoOrganisations();
    all.push_back(each);
    std::string problem;
    EXPECT_FALSE(organisation_table::Make(all, &problem).has_value());
    EXPECT_FALSE(problem.empty());
  }
}

std::uint32_t RankOf(const precedence& ranks,
                     std::optional<std::uint32_t> organisation_rank,
                     std::uint32_t route_rank) {
  const organisation holder{.rank = organisation_rank};
  return ranks.RankOf(&holder, {.rank = route_rank});
}

TEST(PrecedenceTest, TheOrganisationComesFirstAndThenTheRoute) {
  std::string problem;
  const auto organisations = *organisation_table::Make(
      {{.name = "north", .rank = 0}, {.name = "south", .rank = 1}}, &problem);
  const auto add = [](const char* name, std::uint32_t rank, bool is_public) {
    return route{.name = name,
                 .host = "a",
                 .prefix = std::string("/") + name + "/",
                 .rank = rank,
                 .is_public = is_public,
                 .parts = {{.service = "s"}}};
  };
  const auto routes = *route_table::Make(
      {add("sign", 0, false), add("look", 2, false), add("call", 1, true)},
      &problem);
  const precedence ranks = precedence::Make(organisations, routes);
  EXPECT_EQ(RankOf(ranks, 0, 0), 0U);
  EXPECT_EQ(RankOf(ranks, 0, 2), 1U);
  EXPECT_EQ(RankOf(ranks, 1, 0), 2U);
  EXPECT_EQ(RankOf(ranks, 1, 2), 3U);
  EXPECT_EQ(ranks.RankOf(nullptr, add("call", 1, true)), 1U);
  const organisation north{.rank = 0};
  const organisation south{.rank = 1};
  EXPECT_TRUE(ranks.TakesPrecedence(&north));
  EXPECT_FALSE(ranks.TakesPrecedence(&south));
  EXPECT_EQ(RankOf(precedence(), 1, 2), 2U);
}

// Guards against an overload in which the most important route of nearly all
// organisations waits like their other requests, since both share a priority.
TEST(PrecedenceTest, RoutesOfMostOrganisationsAreToldApart) {
  std::string problem;
  const auto organisations = *organisation_table::Make(
      {{.name = "north", .rank = 0}, {.name = "south", .rank = 1}}, &problem);
  std::vector<route> routes;
  for (std::uint32_t rank = 0; rank < 3; ++rank) {
    const std::string name = "r" + std::to_string(rank);
    routes.push_back({.name = name,
                      .host = "a",
                      .prefix = "/" + name + "/",
                      .rank = rank,
                      .parts = {{.service = "s"}}});
  }
  const precedence ranks =
      precedence::Make(organisations, *route_table::Make(routes, &problem));
  EXPECT_EQ(RankOf(ranks, 0, 0), 0U);
  EXPECT_EQ(RankOf(ranks, 0, 2), 0U);
  EXPECT_EQ(RankOf(ranks, 1, 0), 1U);
  EXPECT_EQ(RankOf(ranks, 1, 1), 2U);
  EXPECT_EQ(RankOf(ranks, 1, 2), 3U);
}

TEST(KeyCheckTest, ARouteDeterminesWhetherAKeyIsNeeded) {
  const organisation_table table = Table();
  const auto check = [&](bool is_public, const char* key) {
    return CheckKey(
        {.organisations = &table, .is_public = is_public, .api_key = key});
  };
  EXPECT_EQ(check(false, "key-1").verdict, key_verdict::kHeld);
  EXPECT_EQ(check(false, "key-1").holder->name, "north");
  EXPECT_EQ(check(false, "").verdict, key_verdict::kNotHeld);
  EXPECT_EQ(check(false, "key-9").verdict, key_verdict::kNotHeld);
  EXPECT_EQ(check(true, "").verdict, key_verdict::kNotNeeded);
  EXPECT_EQ(check(true, "key-9").verdict, key_verdict::kNotNeeded);
  EXPECT_EQ(check(true, "key-1").holder->name, "north");
  EXPECT_EQ(CheckKey({.api_key = "key-9"}).verdict, key_verdict::kNotNeeded);
}

// Guards against a withdrawn key that a daemon continues to accept while it
// cannot receive the withdrawal.
TEST(KeyCheckTest, AnOutdatedConfigurationConfirmsNoKeys) {
  const organisation_table table = Table();
  const auto check = [&](std::optional<milliseconds> age, bool is_public) {
    return CheckKey({.organisations = &table,
                     .is_public = is_public,
                     .api_key = "key-1",
                     .proven_age = age,
                     .max_age = milliseconds(4000)})
        .verdict;
  };
  EXPECT_EQ(check(milliseconds(4000), false), key_verdict::kHeld);
  EXPECT_EQ(check(milliseconds(4001), false), key_verdict::kUnconfirmed);
  EXPECT_EQ(check(std::nullopt, false), key_verdict::kUnconfirmed);
  EXPECT_EQ(check(std::nullopt, true), key_verdict::kNotNeeded);
}

}  // namespace
}  // namespace pistachioweir
