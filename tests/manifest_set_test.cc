// Tests of several manifests together: what is derived, and what clashes.
#include "include/config/manifest_set.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>
#include <string>
#include <utility>
#include <vector>

namespace pistachioweir {
namespace {

using testing::AllOf;
using testing::ElementsAre;
using testing::Field;
using testing::HasSubstr;
using testing::IsEmpty;
using testing::SizeIs;

service_manifest Service(const std::string& name,
                         std::vector<method_spec> methods) {
  return {.service = name,
          .version = 1,
          .slots = 10,
          .connections = 100,
          .methods = std::move(methods)};
}

auto Error(const std::string& place, const std::string& problem) {
  return AllOf(Field(&config_error::place, place),
               Field(&config_error::problem, HasSubstr(problem)));
}

// Services s0, s1, ... where method "m" of each calls that of the next.
std::vector<service_manifest> Chain(std::size_t length) {
  std::vector<service_manifest> chain;
  for (std::size_t i = 0; i < length; ++i) {
    method_spec method{.name = "m"};
    if (i + 1 < length) {
      method.calls = {{"s" + std::to_string(i + 1), "m"}};
    }
    chain.push_back(Service("s" + std::to_string(i), {method}));
  }
  return chain;
}

TEST(ManifestSetTest, FindsByName) {
  const manifest_set set(Chain(3));
  ASSERT_NE(set.Find("s1"), nullptr);
  EXPECT_EQ(set.Find("s1")->service, "s1");
  EXPECT_EQ(set.Find("s3"), nullptr);
  EXPECT_NE(set.FindMethod("s2", "m"), nullptr);
  EXPECT_EQ(set.FindMethod("s2", "n"), nullptr);
  EXPECT_THAT(set.Check(), IsEmpty());
  EXPECT_THAT(set.Warnings(), IsEmpty());
}

// An operator marks only the deepest method. A caller far above it repeats its
// request after a timeout, and the deep action runs twice.
TEST(ManifestSetTest, WhoeverReachesAnAtMostOnceMethodIsOne) {
  std::vector<service_manifest> chain = Chain(kMaxCallDepth);
  chain.back().methods[0].at_most_once = true;
  chain[0].methods.push_back({.name = "other"});
  const manifest_set set(std::move(chain));
  EXPECT_TRUE(set.IsAtMostOnce("s0", "m"));
  EXPECT_TRUE(set.IsAtMostOnce("s10", "m"));
  EXPECT_FALSE(set.IsAtMostOnce("s0", "other"));
}

TEST(ManifestSetTest, WhatIsNotKnownCountsAsAtMostOnce) {
  const manifest_set set(
      {Service("a", {{.name = "m", .calls = {{"gone", "m"}}}})});
  EXPECT_TRUE(set.IsAtMostOnce("a", "m"));
  EXPECT_TRUE(set.IsAtMostOnce("a", "gone"));
  EXPECT_TRUE(set.IsAtMostOnce("gone", "m"));
  EXPECT_TRUE(manifest_set().IsAtMostOnce("a", "m"));
}

// A release renames a method, and a caller's manifest still names the old one.
// Its calls would all be refused.
TEST(ManifestSetTest, MissingCalleesAreNamed) {
  const manifest_set set({Service(
      "a", {{.name = "m", .calls = {{"gone", "m"}, {"a", "renamed"}}}})});
  EXPECT_THAT(set.Check(), ElementsAre(Error("method a/m", "service gone"),
                                       Error("method a/m", "calls a/renamed")));
}

// Two services call each other. One request then breeds calls until every slot
// of both waits for the other.
TEST(ManifestSetTest, CyclesAreNamed) {
  std::vector<service_manifest> chain = Chain(3);
  chain[2].methods[0].calls = {{"s1", "m"}};
  EXPECT_THAT(manifest_set(chain).Check(),
              ElementsAre(Error("method s1/m", "s1/m -> s2/m -> s1/m")));
  chain[2].methods[0].calls = {{"s2", "m"}};
  EXPECT_THAT(manifest_set(chain).Check(),
              ElementsAre(Error("method s2/m", "s2/m -> s2/m")));
}

TEST(ManifestSetTest, DepthIsBounded) {
  EXPECT_THAT(manifest_set(Chain(kMaxCallDepth)).Check(), IsEmpty());
  EXPECT_THAT(manifest_set(Chain(kMaxCallDepth + 1)).Check(),
              ElementsAre(Error("method s0/m", "a chain of 12")));
}

TEST(ManifestSetTest, CalleeMayNotTakeLongerThanItsCallerWaits) {
  std::vector<service_manifest> chain = Chain(2);
  chain[0].methods[0].timeout = milliseconds(200);
  chain[1].methods[0].timeout = milliseconds(300);
  EXPECT_THAT(manifest_set(chain).Check(),
              ElementsAre(Error("method s1/m", "300 ms")));
}

// A protected action is called from a listing. In an overload it is refused
// together with the listings, before any lookup.
TEST(ManifestSetTest, PriorityInversionIsAWarning) {
  std::vector<service_manifest> chain = Chain(2);
  chain[0].methods[0].level = priority::kLow;
  chain[1].methods[0].level = priority::kCritical;
  EXPECT_THAT(manifest_set(chain).Warnings(), IsEmpty());
  chain[1].methods[0].at_most_once = true;
  const manifest_set set(std::move(chain));
  EXPECT_THAT(set.Check(), IsEmpty());
  EXPECT_THAT(set.Warnings(),
              ElementsAre(Error("method s0/m", "low method calls s1/m")));
}

TEST(ManifestSetTest, NewestOfAServiceCountsAndOthersAreNamed) {
  service_manifest old = Service("a", {{.name = "old"}});
  service_manifest next = Service("a", {{.name = "next"}});
  next.version = 2;
  const manifest_set set({old, next});
  EXPECT_EQ(set.Find("a")->version, 2U);
  EXPECT_THAT(set.Check(), ElementsAre(Error("service a", "version 1 stands")));
  next.version = 1;
  EXPECT_THAT(manifest_set({old, next}).Check(),
              ElementsAre(Error("service a", "other contents")));
  EXPECT_THAT(manifest_set({old, old}).Check(), IsEmpty());
}

// The platform is restored from an old copy and serves last week's manifest. A
// daemon that took it would undo an operator's change.
TEST(ManifestSetTest, VersionsOnlyRise) {
  service_manifest old = Service("a", {{.name = "m"}});
  old.version = 7;
  service_manifest next = old;
  EXPECT_THAT(CheckSuccessor(old, next), IsEmpty());
  next.slots = 11;
  EXPECT_THAT(CheckSuccessor(old, next),
              ElementsAre(Error("service a", "other contents")));
  next.version = 8;
  EXPECT_THAT(CheckSuccessor(old, next), IsEmpty());
  next.version = 6;
  EXPECT_THAT(CheckSuccessor(old, next),
              ElementsAre(Error("service a", "goes back")));
  next.service = "b";
  EXPECT_THAT(CheckSuccessor(old, next), SizeIs(1));
}

// Random graphs, cycles among them: a method is at-most-once exactly if the
// plain definition, followed step by step, says so.
RC_GTEST_PROP(ManifestSetTest, AtMostOnceIsReachability, ()) {
  const int count = *rc::gen::inRange(1, 9);
  std::vector<service_manifest> services;
  for (int i = 0; i < count; ++i) {
    method_spec method{.name = "m",
                       .at_most_once = *rc::gen::inRange(0, 5) == 0};
    for (int callee = 0; callee < count; ++callee) {
      if (*rc::gen::inRange(0, 4) == 0) {
        method.calls.push_back({"s" + std::to_string(callee), "m"});
      }
    }
    services.push_back(Service("s" + std::to_string(i), {method}));
  }
  const manifest_set set(services);
  for (int i = 0; i < count; ++i) {
    std::set<std::string> reached{"s" + std::to_string(i)};
    bool expected = false;
    for (int step = 0; step < count; ++step) {
      for (const std::string& name : std::set<std::string>(reached)) {
        const method_spec& method = set.Find(name)->methods[0];
        expected = expected || method.at_most_once;
        for (const downstream_call& call : method.calls) {
          reached.insert(call.service);
        }
      }
    }
    for (const std::string& name : reached) {
      expected = expected || set.Find(name)->methods[0].at_most_once;
    }
    RC_ASSERT(set.IsAtMostOnce("s" + std::to_string(i), "m") == expected);
  }
}

}  // namespace
}  // namespace pistachioweir
