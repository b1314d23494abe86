// Views from what the store holds, among them documents that can't be used.
#include "platform/view_builder.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "platform/document_decoder.h"

namespace pistachioweir::platform {
namespace {

const time_point kStart{seconds(1000)};

std::string Config(const std::string& version,
                   const std::string& service = "registry") {
  return R"({"version":")" + version + R"(","routes":{"columns":["name","host",
"prefix","kind","timeout","target-latency","priority","traffic-split",
"max-attempts","service"],"rows":[["look","a.example","/look/","safe","1000ms",
"1.5s",2,null,2,")" +
         service + R"("],["sign","a.example","/sign/","non_idempotent","1200ms",
"1500ms",0,[{"service":"registry","weight":90},{"service":"archive",
"weight":10}],1]]},"services":{"columns":["name","max-connections"],
"rows":[["registry",358],["archive",null]]},"limits":{"max-header-bytes":8192,
"max-body-bytes":1000000,"header-timeout":"3000ms","idle-timeout":"15s"}})";
}

std::string Target(const std::string& address,
                   const std::string& state = "ready") {
  return R"({"address":")" + address +
         R"(","info":{"service":"registry","version":"v1","zone":"waw-a",
"slots":43},"status":{"state":")" +
         state + R"(","sequence":4,"warmup-left":"500ms"}})";
}

TEST(DocumentDecoderTest, ReadsAConfiguration) {
  std::string problem;
  const auto config = DecodeConfig(Config("r12"), &problem);
  ASSERT_TRUE(config.has_value()) << problem;
  EXPECT_EQ(config->version, 12U);
  const route* const look = config->routes.Find("a.example", "/look/x?y");
  ASSERT_NE(look, nullptr);
  EXPECT_EQ(look->repeats, repeat_policy::kIdempotent);
  EXPECT_EQ(look->timeout, milliseconds(1000));
  EXPECT_EQ(look->latency_objective, milliseconds(1500));
  EXPECT_EQ(look->max_targets, 2U);
  EXPECT_EQ(look->rank, 2U);
  const route* const sign = config->routes.Find("a.example", "/sign/x");
  ASSERT_NE(sign, nullptr);
  EXPECT_EQ(sign->repeats, repeat_policy::kAtMostOnce);
  ASSERT_EQ(sign->parts.size(), 2U);
  EXPECT_EQ(sign->parts[1].weight, 10U);
  EXPECT_EQ(config->limits.max_head_bytes, 8192U);
  EXPECT_EQ(config->limits.idle_timeout, seconds(15));
}

std::string WithOrganisations(const std::string& rows) {
  std::string text = Config("r12");
  text.pop_back();
  return text + R"(,"tenants":{"columns":["name","api-keys","priority",
"rate-per-s","burst"],"rows":[)" +
         rows + "]}}";
}

TEST(DocumentDecoderTest, ReadsOrganisations) {
  std::string problem;
  EXPECT_EQ(DecodeConfig(Config("r12"), &problem)->organisations, nullptr);
  const auto config = DecodeConfig(
      WithOrganisations(R"(["north",["a","b"],1,391.5,390],["south",["c"]])"),
      &problem);
  ASSERT_TRUE(config.has_value()) << problem;
  ASSERT_NE(config->organisations, nullptr);
  const organisation* const north = config->organisations->Find("b");
  ASSERT_NE(north, nullptr);
  EXPECT_EQ(north->name, "north");
  EXPECT_EQ(north->rank, 1U);
  EXPECT_DOUBLE_EQ(north->rate, 391.5);
  EXPECT_DOUBLE_EQ(north->burst, 390);
  const organisation* const south = config->organisations->Find("c");
  ASSERT_NE(south, nullptr);
  EXPECT_EQ(south->rank, std::nullopt);
  EXPECT_DOUBLE_EQ(south->rate, 0);
}

// Guards against a mistake of the operator's that takes keys from some
// organisations, or their limits, with the rest of a configuration.
TEST(DocumentDecoderTest, RefusesAConfigurationWithBrokenOrganisations) {
  for (const char* rows :
       {R"(["north",["a"]],["south",["a"]])", R"(["north","a"])",
        R"(["north",[7]])", R"(["north",["a"],-1])",
        R"(["north",["a"],1,"many"])", R"(["north",["a"],1,-5])", "7"}) {
    std::string problem;
    EXPECT_FALSE(DecodeConfig(WithOrganisations(rows), &problem).has_value())
        << rows;
    EXPECT_FALSE(problem.empty());
  }
}

TEST(DocumentDecoderTest, RefusesWhatNamesAMissingService) {
  std::string problem;
  EXPECT_FALSE(DecodeConfig(Config("r12", "nowhere"), &problem).has_value());
  EXPECT_NE(problem.find("nowhere"), problem.npos) << problem;
}

TEST(DocumentDecoderTest, RefusesCutShortAndNonsense) {
  const std::string whole = Config("r12");
  for (std::size_t length = 0; length < whole.size(); length += 7) {
    std::string problem;
    EXPECT_FALSE(DecodeConfig(whole.substr(0, length), &problem).has_value());
    EXPECT_FALSE(problem.empty());
  }
  for (const char* text : {"[]", "7", "null", "{}", R"({"version":"r1"})",
                           R"({"version":"12","routes":{},"services":{}})",
                           R"({"version":"r1","routes":[],"services":[]})"}) {
    std::string problem;
    EXPECT_FALSE(DecodeConfig(text, &problem).has_value()) << text;
  }
}

TEST(DocumentDecoderTest, ReadsATarget) {
  std::string problem;
  const auto entry = DecodeTarget("i-1", Target("10.0.0.1:80"), &problem);
  ASSERT_TRUE(entry.has_value()) << problem;
  EXPECT_EQ(entry->service, "registry");
  EXPECT_EQ(entry->data_centre, "waw-a");
  EXPECT_EQ(entry->slots, 43U);
  EXPECT_EQ(entry->warm_up_left, milliseconds(500));
  EXPECT_EQ(entry->state, target_state::kReady);
}

TEST(DocumentDecoderTest, RefusesATargetWithoutAddressOrSlots) {
  std::string problem;
  EXPECT_FALSE(DecodeTarget("i-1", Target("somewhere"), &problem).has_value());
  EXPECT_FALSE(DecodeTarget("i-1",
                            R"({"address":"10.0.0.1:80","info":{"service":"a",
"slots":null},"status":{}})",
                            &problem)
                   .has_value());
  EXPECT_FALSE(DecodeTarget("i-1", R"({"address":"10.0.0.1:80"})", &problem)
                   .has_value());
}

// Somebody else writes among the targets' entries. Fields are missing or of
// another type, the state is unknown. Taken for a target, such an entry would
// get callers' requests.
TEST(DocumentDecoderTest, RefusesEntriesOfOtherWriters) {
  const std::string good = Target("10.0.0.1:80");
  const auto with = [&](const std::string& from, const std::string& to) {
    std::string text = good;
    const std::size_t at = text.find(from);
    EXPECT_NE(at, text.npos) << from;
    return text.replace(at, from.size(), to);
  };
  const std::string bad[] = {
      with("\"ready\"", "\"resting\""),
      with("\"ready\"", "7"),
      with("\"500ms\"", "500"),
      with(",\"warmup-left\":\"500ms\"", ""),
      with("\"zone\":\"waw-a\",", ""),
      with("\"waw-a\"", "[]"),
      with("43", "\"43\""),
      with("43", "-1"),
      with("\"registry\"", "{}"),
      with("\"10.0.0.1:80\"", "80"),
      with("{\"address\"", "{\"born\":1.5,\"address\""),
      with("{\"address\"", "{\"born\":\"1764729600000\",\"address\""),
      std::string("\xff\xfe\0", 3),
      std::string(5000, '['),
  };
  for (const std::string& text : bad) {
    std::string problem;
    EXPECT_FALSE(DecodeTarget("i-1", text, &problem).has_value()) << text;
    EXPECT_FALSE(problem.empty()) << text;
  }
}

TEST(DocumentDecoderTest, ReadsTheStartOfATarget) {
  std::string problem;
  std::string text = Target("10.0.0.1:80");
  text.insert(1, "\"born\":1764729600123,");
  const auto entry = DecodeTarget("i-1", text, &problem);
  ASSERT_TRUE(entry.has_value()) << problem;
  EXPECT_EQ(entry->start, incarnation_id{1764729600123});
  EXPECT_EQ(StartName(*entry), "i-1@1764729600123");
}

TEST(DocumentDecoderTest, ReadsBase64) {
  EXPECT_EQ(DecodeBase64("bm9kZS0x"), "node-1");
  EXPECT_EQ(DecodeBase64("bm9kZQ=="), "node");
  EXPECT_EQ(DecodeBase64(""), "");
  EXPECT_FALSE(DecodeBase64("bm9").has_value());
  EXPECT_FALSE(DecodeBase64("b?9k").has_value());
}

class view_builder_test : public testing::Test {
 protected:
  void PutConfig(const std::string& version, std::uint64_t revision) {
    builder_.Put("op/config", Config(version), 1, revision);
  }
  void PutTarget(const std::string& id,
                 const std::string& address,
                 std::uint64_t created) {
    builder_.Put("servers/" + id, Target(address), created, created);
  }

  view_builder builder_;
};

TEST_F(view_builder_test, ChangesOnlyWhenSomethingChanges) {
  EXPECT_EQ(builder_.TakeChanged(), nullptr);
  PutConfig("r1", 5);
  PutTarget("i-1", "10.0.0.1:80", 6);
  const auto view = builder_.TakeChanged();
  ASSERT_NE(view, nullptr);
  EXPECT_EQ(view->config->version, 1U);
  EXPECT_EQ(view->targets.size(), 1U);
  PutTarget("i-1", "10.0.0.1:80", 6);
  EXPECT_EQ(builder_.TakeChanged(), nullptr);
}

// The operator writes a configuration that can't be used, or an older one comes
// late: the last good one stays in force, and callers notice nothing.
TEST_F(view_builder_test, KeepsTheLastGoodConfiguration) {
  PutConfig("r7", 5);
  ASSERT_NE(builder_.TakeChanged(), nullptr);
  builder_.Put("op/config", "{\"version\":\"r8\"", 1, 6);
  PutConfig("r6", 7);
  EXPECT_EQ(builder_.TakeChanged(), nullptr);
  PutConfig("r9", 8);
  EXPECT_EQ(builder_.TakeChanged()->config->version, 9U);
}

TEST_F(view_builder_test, ARemovedTargetIsGoneAtOnce) {
  builder_.NoteAnswer(kStart);
  PutTarget("i-1", "10.0.0.1:80", 6);
  builder_.TakeChanged();
  builder_.Remove("servers/i-1", 7, kStart);
  EXPECT_TRUE(builder_.TakeChanged()->targets.empty());
}

// Guards against work that grows with the square of the fleet, which ends this
// test by its time limit: each removal took a comparison of all addresses with
// all targets.
TEST_F(view_builder_test, AFleetThatLeavesOneByOneIsLinearWork) {
  constexpr std::uint64_t kFleet = 14000;
  builder_.NoteAnswer(kStart);
  PutConfig("r1", 5);
  const auto id_of = [](std::uint64_t i) { return "i-" + std::to_string(i); };
  for (std::uint64_t i = 0; i < kFleet; ++i) {
    PutTarget(id_of(i),
              "10.0." + std::to_string(i / 250) + "." +
                  std::to_string(i % 250) + ":80",
              6 + i);
  }
  for (std::uint64_t i = 0; i < kFleet / 2; ++i) {
    builder_.Remove("servers/" + id_of(i), 6 + kFleet + i, kStart);
  }
  EXPECT_EQ(builder_.TakeChanged()->targets.size(), kFleet / 2);
}

// The store was away for long, so that all targets' entries ran out although
// the targets live. They are back within two seconds; would the daemon drop
// them at once, it would refuse everything in that time.
TEST_F(view_builder_test, EntriesThatRanOutWithTheStoreAwayMayComeBack) {
  builder_.NoteAnswer(kStart);
  PutTarget("i-1", "10.0.0.1:80", 6);
  PutTarget("i-2", "10.0.0.2:80", 7);
  builder_.TakeChanged();
  const time_point back = kStart + seconds(9);
  builder_.NoteAnswer(back, kStart + seconds(2));
  builder_.Apply({.revision = 19}, back);
  EXPECT_EQ(builder_.TakeChanged(), nullptr);
  ASSERT_TRUE(builder_.next_removal().has_value());
  builder_.Put("servers/i-2", Target("10.0.0.2:80"), 20, 20);
  builder_.Advance(back + milliseconds(1900));
  EXPECT_EQ(builder_.TakeChanged(), nullptr);
  builder_.Advance(back + view_builder::kReturnTime);
  const auto view = builder_.TakeChanged();
  ASSERT_NE(view, nullptr);
  ASSERT_EQ(view->targets.size(), 1U);
  EXPECT_EQ(view->targets[0].id, "i-2");
}

// A watch without changes takes longer than a usual answer. It is no absence of
// the store, and must not delay removals.
TEST_F(view_builder_test, AQuietWatchIsNoAbsence) {
  builder_.NoteAnswer(kStart);
  PutTarget("i-1", "10.0.0.1:80", 6);
  builder_.TakeChanged();
  builder_.NoteAnswer(kStart + milliseconds(1600));
  builder_.Remove("servers/i-1", 7, kStart + milliseconds(1600));
  EXPECT_NE(builder_.TakeChanged(), nullptr);
}

// A watch has waited for long without a change when its connection is reset.
// The store was there all the time, and the target that the next answer shows
// as gone has left: it must get nothing more.
TEST_F(view_builder_test, AResetBehindALongWatchIsNoAbsence) {
  builder_.NoteAnswer(kStart);
  PutTarget("i-1", "10.0.0.1:80", 6);
  builder_.TakeChanged();
  const time_point reset = kStart + seconds(7);
  const time_point again = reset + milliseconds(150);
  builder_.NoteAnswer(again, reset);
  builder_.Remove("servers/i-1", 7, again);
  EXPECT_NE(builder_.TakeChanged(), nullptr);
  EXPECT_EQ(builder_.returned_at(), std::nullopt);
}

// All machines lose power and come back. Their targets register anew, under new
// ids at the same addresses, while the old entries stay until they run out
// seconds later. Half of all calls were sent to the old ids, which nobody has
// any more, and after three such tries their callers were refused.
TEST_F(view_builder_test, ANewEntryAtAnAddressReplacesTheOldOne) {
  PutTarget("i-old", "10.0.0.1:80", 6);
  PutTarget("i-other", "10.0.0.2:80", 7);
  builder_.TakeChanged();
  PutTarget("i-new", "10.0.0.1:80", 20);
  auto view = builder_.TakeChanged();
  ASSERT_NE(view, nullptr);
  ASSERT_EQ(view->targets.size(), 2U);
  EXPECT_EQ(view->targets[0].id, "i-new");
  // The old one's entry changes once more before it runs out.
  builder_.Put("servers/i-old", Target("10.0.0.1:80", "draining"), 6, 21);
  view = builder_.TakeChanged();
  EXPECT_EQ(view->targets[0].id, "i-new");
  builder_.Remove("servers/i-old", 22, kStart);
  view = builder_.TakeChanged();
  ASSERT_EQ(view->targets.size(), 2U);
}

// Somebody registers a service that nobody configured at the address of a live
// target. The live one must go on getting its calls.
TEST_F(view_builder_test, AnUnnamedServiceTakesNobodysAddress) {
  PutConfig("r1", 5);
  PutTarget("i-1", "10.0.0.1:80", 6);
  std::string foreign = Target("10.0.0.1:80");
  foreign.replace(foreign.find("registry"), 8, "strangers");
  builder_.Put("servers/x-1", foreign, 7, 7);
  const auto view = builder_.TakeChanged();
  ASSERT_EQ(view->targets.size(), 1U);
  EXPECT_EQ(view->targets[0].id, "i-1");
}

// What was a target's entry is overwritten with something that names none. Sent
// on by the old entry, requests would reach whoever is there now.
TEST_F(view_builder_test, AnEntryThatTurnsUnusableNamesNoTarget) {
  PutConfig("r1", 5);
  PutTarget("i-1", "10.0.0.1:80", 6);
  PutTarget("i-2", "10.0.0.2:80", 7);
  builder_.TakeChanged();
  builder_.Put("servers/i-1", "\xff", 6, 8);
  const auto view = builder_.TakeChanged();
  ASSERT_NE(view, nullptr);
  ASSERT_EQ(view->targets.size(), 1U);
  EXPECT_EQ(view->targets[0].id, "i-2");
}

// A target starts again and keeps its id. The view must change with it, or
// daemons would go on with what they knew of the earlier start.
TEST_F(view_builder_test, AnotherStartUnderTheSameIdIsAChange) {
  PutConfig("r1", 5);
  const auto put = [&](const std::string& born, std::uint64_t revision) {
    std::string text = Target("10.0.0.1:80");
    builder_.Put("servers/i-1", text.insert(1, "\"born\":" + born + ","), 6,
                 revision);
  };
  put("1000", 6);
  const auto before = builder_.TakeChanged();
  put("2000", 9);
  const auto after = builder_.TakeChanged();
  ASSERT_NE(after, nullptr);
  EXPECT_NE(StartName(before->targets[0]), StartName(after->targets[0]));
}

// What another daemon knows, with the target `id` at `address`.
view_changes Neighbours(const std::string& version,
                        const std::string& id,
                        const std::string& address) {
  view_builder other;
  other.Apply({.revision = 2,
               .entries = {{.key = "op/config",
                            .value = Config(version),
                            .created = 1,
                            .revision = 1},
                           {.key = "servers/" + id,
                            .value = Target(address),
                            .created = 2,
                            .revision = 2}}},
              kStart);
  return other.Since(0);
}

view_changes Whole(std::uint64_t revision, std::vector<stored_entry> entries) {
  return {.revision = revision, .entries = std::move(entries)};
}

stored_entry ConfigEntry(const std::string& version, std::uint64_t revision) {
  return {.key = "op/config",
          .value = Config(version),
          .created = 1,
          .revision = revision};
}

stored_entry TargetEntry(const std::string& id,
                         const std::string& address,
                         std::uint64_t revision) {
  return {.key = "servers/" + id,
          .value = Target(address),
          .created = revision,
          .revision = revision};
}

// A daemon starts while the store is away and goes on with its neighbour's
// view. When the store is back, one of the targets has left meanwhile, and the
// configuration is a newer one.
TEST(ViewBuilderTest, TheStoreReplacesWhatANeighbourTold) {
  view_builder builder;
  builder.Apply(Neighbours("r5", "i-1", "10.0.0.1:80"), kStart);
  const auto told = builder.TakeChanged();
  ASSERT_NE(told, nullptr);
  EXPECT_EQ(told->config->version, 5U);
  ASSERT_EQ(told->targets.size(), 1U);
  builder.Apply(
      Whole(30, {ConfigEntry("r9", 30), TargetEntry("i-2", "10.0.0.2:80", 20)}),
      kStart + seconds(1));
  const auto read = builder.TakeChanged();
  ASSERT_NE(read, nullptr);
  EXPECT_EQ(read->config->version, 9U);
  ASSERT_EQ(read->targets.size(), 1U);
  EXPECT_EQ(read->targets[0].id, "i-2");
}

// The store was away when the daemon started, and entries ran out. They are
// back within two seconds of its return: until then the targets that the
// neighbour told of stay, as they do at the neighbour.
TEST(ViewBuilderTest, ToldTargetsHaveTimeToComeBackAfterTheStore) {
  view_builder builder;
  builder.NoteAnswer(kStart);
  builder.Apply(Neighbours("r5", "i-1", "10.0.0.1:80"), kStart);
  const time_point back = kStart + seconds(6);
  builder.NoteAnswer(back, kStart + seconds(2));
  builder.Apply(Whole(3, {ConfigEntry("r5", 1)}), back);
  const auto early = builder.TakeChanged();
  ASSERT_NE(early, nullptr);
  EXPECT_EQ(early->targets.size(), 1U);
  builder.Advance(back + milliseconds(2100));
  EXPECT_TRUE(builder.TakeChanged()->targets.empty());
}

// The same, but this daemon hears of the store's return, and of the entries
// that ran out, from a neighbour.
TEST(ViewBuilderTest, AToldReturnOfTheStoreDelaysRemovalsToo) {
  view_builder builder;
  builder.Apply(Neighbours("r5", "i-1", "10.0.0.1:80"), kStart);
  builder.TakeChanged();
  const time_point back = kStart + seconds(6);
  builder.NoteReturn(back, "10.0.0.7", back);
  builder.Apply(
      {.after = 2,
       .revision = 3,
       .entries = {{.key = "servers/i-1", .revision = 3, .removed = true}}},
      back + milliseconds(100));
  EXPECT_EQ(builder.TakeChanged(), nullptr);
  builder.Advance(back + view_builder::kReturnTime);
  EXPECT_TRUE(builder.TakeChanged()->targets.empty());
}

// A daemon starts beside a store that loses answers. A neighbour tells its view
// while the store is being read; turned down, as it was, the daemon refused its
// callers for a second (lines: told_view verdict=store_answering). The reading,
// which is older, ends behind it and takes nothing back.
TEST(ViewBuilderTest, WhatIsToldMeetsAnOlderReading) {
  view_builder builder;
  builder.Apply(
      Whole(40, {ConfigEntry("r9", 30), TargetEntry("i-2", "10.0.0.2:80", 40)}),
      kStart);
  ASSERT_NE(builder.TakeChanged(), nullptr);
  builder.Apply(
      Whole(20, {ConfigEntry("r5", 10), TargetEntry("i-1", "10.0.0.1:80", 12)}),
      kStart);
  EXPECT_EQ(builder.revision(), 40U);
  EXPECT_EQ(builder.TakeChanged(), nullptr);
}

// A target that is told of restarts at its address under another id.
TEST(ViewBuilderTest, ANewEntryReplacesAToldOneAtItsAddress) {
  view_builder builder;
  builder.Apply(Neighbours("r5", "i-1", "10.0.0.1:80"), kStart);
  builder.Put("servers/i-2", Target("10.0.0.1:80"), 20, 20);
  const auto view = builder.TakeChanged();
  ASSERT_EQ(view->targets.size(), 1U);
  EXPECT_EQ(view->targets[0].id, "i-2");
}

// The removal of a target and an older word of it come by different ways, and
// the older one comes last. The target must not get calls again.
TEST(ViewBuilderTest, AnOldWordBringsNoRemovedTargetBack) {
  view_builder builder;
  builder.Apply(
      Whole(10, {ConfigEntry("r5", 1), TargetEntry("i-1", "10.0.0.1:80", 9)}),
      kStart);
  builder.Apply(
      {.after = 10,
       .revision = 12,
       .entries = {{.key = "servers/i-1", .revision = 12, .removed = true}}},
      kStart);
  EXPECT_TRUE(builder.TakeChanged()->targets.empty());
  builder.Apply({.after = 8,
                 .revision = 11,
                 .entries = {TargetEntry("i-1", "10.0.0.1:80", 11)}},
                kStart);
  EXPECT_EQ(builder.TakeChanged(), nullptr);
  EXPECT_EQ(builder.revision(), 12U);
}

// A daemon was away for longer than removals are remembered. Only all that
// there is can tell it what has gone.
TEST(ViewBuilderTest, WhoeverWasAwayForLongIsToldEverything) {
  view_builder reader;
  reader.Apply(
      Whole(50, {ConfigEntry("r5", 1), TargetEntry("i-2", "10.0.0.2:80", 45)}),
      kStart);
  EXPECT_EQ(reader.Since(50).entries.size(), 0U);
  EXPECT_EQ(reader.Since(49).after, 0U);
  view_builder follower;
  follower.Apply(Neighbours("r5", "i-1", "10.0.0.1:80"), kStart);
  follower.Apply(reader.Since(follower.revision()), kStart);
  const auto view = follower.TakeChanged();
  ASSERT_EQ(view->targets.size(), 1U);
  EXPECT_EQ(view->targets[0].id, "i-2");
}

// What the store does, and what one daemon has of it.
struct shared_store {
  std::uint64_t revision = 0;
  std::map<std::string, stored_entry> entries;  // Removals too.

  void Put(const std::string& key, const std::string& value) {
    ++revision;
    const auto known = entries.find(key);
    const bool lives = known != entries.end() && !known->second.removed;
    entries[key] = {.key = key,
                    .value = value,
                    .created = lives ? known->second.created : revision,
                    .revision = revision};
  }
  void Remove(const std::string& key) {
    ++revision;
    entries[key] = {.key = key, .revision = revision, .removed = true};
  }
  [[nodiscard]] view_changes Since(std::uint64_t after) const {
    view_changes changes{.after = after, .revision = revision};
    for (const auto& [key, entry] : entries) {
      if (entry.revision > after && (after != 0 || !entry.removed)) {
        changes.entries.push_back(entry);
      }
    }
    return changes;
  }
  [[nodiscard]] std::set<std::string> Targets() const {
    std::set<std::string> ids;
    for (const auto& [key, entry] : entries) {
      if (!entry.removed && key.starts_with("servers/")) {
        ids.insert(key.substr(std::string("servers/").size()));
      }
    }
    return ids;
  }
};

// Four daemons read the store and tell each other, in any order, what they
// know, and what was told may come late. No daemon ever goes back, and whoever
// has heard of everything has exactly what the store has.
RC_GTEST_PROP(ViewBuilderTest, DaemonsThatTellEachOtherAgreeWithTheStore, ()) {
  constexpr std::size_t kDaemons = 4;
  shared_store store;
  store.Put("op/config", Config("r1"));
  std::vector<view_builder> daemons(kDaemons);
  std::vector<view_changes> on_the_way;
  const auto take = [](view_builder& daemon, const view_changes& told) {
    const std::uint64_t before = daemon.revision();
    if (told.revision <= before || told.after > before) {
      return;
    }
    daemon.Apply(told, kStart);
    RC_ASSERT(daemon.revision() == told.revision);
  };
  const int steps = *rc::gen::inRange(10, 60);
  for (int i = 0; i < steps; ++i) {
    const auto one = *rc::gen::inRange<std::size_t>(0, kDaemons);
    const auto other = *rc::gen::inRange<std::size_t>(0, kDaemons);
    const int id = *rc::gen::inRange(0, 5);
    const std::string key = "servers/i-" + std::to_string(id);
    switch (*rc::gen::inRange(0, 5)) {
      case 0:
        store.Put(key, Target("10.0.0." + std::to_string(id) + ":80"));
        break;
      case 1:
        store.Remove(key);
        break;
      case 2:
        take(daemons[one], store.Since(daemons[one].revision()));
        break;
      case 3:
        if (daemons[one].revision() > daemons[other].revision()) {
          on_the_way.push_back(daemons[one].Since(daemons[other].revision()));
        }
        break;
      default:
        if (!on_the_way.empty()) {
          const auto at = *rc::gen::inRange<std::size_t>(0, on_the_way.size());
          take(daemons[one], on_the_way[at]);
        }
        break;
    }
  }
  take(daemons[0], store.Since(daemons[0].revision()));
  for (view_builder& daemon : daemons) {
    if (daemon.revision() < daemons[0].revision()) {
      take(daemon, daemons[0].Since(daemon.revision()));
    }
    std::set<std::string> ids;
    for (const stored_entry& entry : daemon.Since(0).entries) {
      if (!entry.removed && entry.key.starts_with("servers/")) {
        ids.insert(entry.key.substr(std::string("servers/").size()));
      }
    }
    RC_ASSERT(daemon.revision() == store.revision);
    RC_ASSERT(ids == store.Targets());
  }
}

}  // namespace
}  // namespace pistachioweir::platform
