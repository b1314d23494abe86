// Which requests are held responsible for the crashes of a target.
#include "include/quarantine/crash_suspects.h"

#include <gtest/gtest.h>

#include <cstddef>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "include/quarantine/suspect_spread.h"

namespace pistachioweir {
namespace {

const time_point kStart{seconds(1000)};

request_fingerprint Request(const std::string& path) {
  return Fingerprint(
      {.service = "contracts", .method = path, .body = {}, .label = {}});
}

const request_fingerprint kBad = Request("/sign/bad");

class crash_suspects_test : public testing::Test {
 protected:
  // `request` is in progress when the target dies; found 5 ms later.
  void Crash(crash_suspects& suspects, const request_fingerprint& request) {
    now_ += seconds(5);
    suspects.OnCut(request, now_ - milliseconds(10), now_);
    told_ = suspects.OnDied(now_ + milliseconds(5));
  }

  // Targets crash that run other requests each time.
  void CrashWithout(crash_suspects& suspects) {
    for (std::size_t i = 0; i < quarantine_options::kManyOthers; ++i) {
      Crash(suspects, Request("/look/" + std::to_string(i)));
    }
  }

  [[nodiscard]] bool Refuses(const crash_suspects& suspects,
                             const request_fingerprint& request) const {
    return suspects.Refused(request, now_ + milliseconds(5)) > milliseconds(0);
  }

  time_point now_ = kStart;
  std::vector<quarantine_entry> told_;
};

// One caller sends a request that crashes what runs it, again as soon as the
// target is back. Everybody else's requests in progress are lost with it each
// time, until the request is refused.
TEST_F(crash_suspects_test, ASecondCrashRefusesTheRequest) {
  crash_suspects suspects(incarnation_id{1});
  Crash(suspects, kBad);
  EXPECT_FALSE(Refuses(suspects, kBad));
  Crash(suspects, kBad);
  EXPECT_TRUE(Refuses(suspects, kBad));
  EXPECT_FALSE(Refuses(suspects, Request("/sign/other")));
}

// The request comes again beside another target. A daemon that is not told
// starts to count from the beginning, and each target of the service dies
// twice.
TEST_F(crash_suspects_test, CrashesOfTwoTargetsAddUp) {
  crash_suspects one(incarnation_id{1});
  crash_suspects other(incarnation_id{2});
  Crash(one, kBad);
  other.Import(told_, now_);
  Crash(other, kBad);
  EXPECT_TRUE(Refuses(other, kBad));
  one.Import(told_, now_);
  EXPECT_TRUE(Refuses(one, kBad));
}

// Guards against harmless requests that take seconds being refused where
// targets crash often.
TEST_F(crash_suspects_test, ALongRequestAmongManyCrashesIsServed) {
  crash_suspects suspects(incarnation_id{1});
  CrashWithout(suspects);
  const request_fingerprint slow = Request("/sign/slow");
  for (int i = 0; i < 4; ++i) {
    now_ += seconds(2);
    suspects.OnCut(slow, now_ - milliseconds(1500), now_);
    (void)suspects.OnDied(now_ + milliseconds(5));
    EXPECT_FALSE(Refuses(suspects, slow)) << i;
  }
}

// Guards against a request being refused for two crashes that it was there at.
TEST_F(crash_suspects_test, AmongManyCrashesTheThirdRefusesTheRequest) {
  crash_suspects one(incarnation_id{1});
  crash_suspects other(incarnation_id{2});
  CrashWithout(one);
  for (int crash = 1; crash <= 3; ++crash) {
    Crash(one, kBad);
    other.Import(told_, now_);
    EXPECT_EQ(Refuses(one, kBad), crash == 3) << crash;
  }
  // It heard of no other crashes.
  EXPECT_TRUE(Refuses(other, kBad));
}

// Guards against a request that is served again since others crash targets.
TEST_F(crash_suspects_test, AfterThreeCrashesOthersChangeNothing) {
  crash_suspects suspects(incarnation_id{1});
  for (int crash = 0; crash < 3; ++crash) {
    Crash(suspects, kBad);
  }
  CrashWithout(suspects);
  EXPECT_TRUE(Refuses(suspects, kBad));
}

// A target that lives loses single answers. Callers repeat those requests, as
// they should, and would be refused if each lost answer counted as a crash.
TEST_F(crash_suspects_test, LostAnswersOfATargetThatLivesAreNoCrash) {
  crash_suspects suspects(incarnation_id{1});
  for (int i = 0; i < 5; ++i) {
    now_ += seconds(1);
    suspects.OnCut(kBad, now_ - milliseconds(10), now_);
    suspects.OnAnswered(Request("/look"), now_ + milliseconds(1),
                        now_ + milliseconds(20));
  }
  EXPECT_TRUE(suspects.OnDied(now_ + milliseconds(30)).empty());
  EXPECT_FALSE(Refuses(suspects, kBad));
}

// Callers that all ask for the same thing share one fingerprint. If two crashes
// that have other causes counted against it, a whole kind of work would be
// refused for a minute.
TEST_F(crash_suspects_test, WhatCompletesTooIsNoSuspect) {
  crash_suspects suspects(incarnation_id{1});
  for (int i = 0; i < 4; ++i) {
    suspects.OnAnswered(kBad, now_ + seconds(3), now_ + seconds(4));
    Crash(suspects, kBad);
  }
  EXPECT_FALSE(Refuses(suspects, kBad));
  EXPECT_TRUE(told_.empty());
}

// A target that has just started goes down and up by turns, and never gets to
// answer one of the lookups that all ask for the same thing. Other targets
// answer thousands of them. If two such deaths counted, every daemon would
// refuse that lookup for a minute.
TEST_F(crash_suspects_test, WhatCompletesAtOtherTargetsIsNotRefused) {
  crash_suspects flapping(incarnation_id{1});
  crash_suspects beside_callers(incarnation_id{2});
  for (int i = 0; i < 2; ++i) {
    Crash(flapping, kBad);
    beside_callers.OnCompleted(kBad, now_ - milliseconds(20));
    beside_callers.Import(told_, now_);
  }
  EXPECT_TRUE(Refuses(flapping, kBad));
  EXPECT_FALSE(Refuses(beside_callers, kBad));
  // The first one is told before anything has completed, the second after.
  crash_suspects fresh(incarnation_id{3});
  fresh.Import(told_, now_);
  fresh.OnCompleted(kBad, now_ + milliseconds(1));
  EXPECT_FALSE(Refuses(fresh, kBad));
}

// Hundreds of requests are in progress when a target dies. Telling of all of
// them at each crash would be the larger part of what daemons send.
TEST_F(crash_suspects_test, TellsOfTheNewestOnly) {
  crash_suspects suspects(incarnation_id{1});
  for (int i = 0; i < 200; ++i) {
    suspects.OnCut(Request("/old/" + std::to_string(i)),
                   now_ - milliseconds(100 + i), now_);
  }
  suspects.OnCut(kBad, now_ - milliseconds(1), now_);
  const auto told = suspects.OnDied(now_);
  ASSERT_EQ(told.size(), crash_suspects::kMostTold);
  EXPECT_EQ(told.front().fingerprint, kBad);
}

// A daemon is told by those only that have a connection to it. With 60 daemons
// each heard of 8 to 18 of 26 crashes, and one request crashed 13 targets. What
// is news is passed on: here each of 300 daemons has connections to eight, and
// all refuse the request a few hops after its second crash. Then nobody tells
// any more.
TEST_F(crash_suspects_test, EverybodyHearsOverAFewHops) {
  constexpr std::size_t kDaemons = 300;
  constexpr std::size_t kConnections = 8;
  constexpr std::size_t kHops = 12;
  std::vector<crash_suspects> daemons;
  for (std::size_t i = 0; i < kDaemons; ++i) {
    daemons.emplace_back(incarnation_id{i + 1});
  }
  std::size_t frames = 0;
  for (const std::size_t crashed : {7U, 201U}) {
    Crash(daemons[crashed], kBad);
    std::vector<std::pair<std::size_t, std::vector<quarantine_entry>>> telling{
        {crashed, told_}};
    std::size_t hops = 0;
    while (!telling.empty()) {
      ASSERT_LE(++hops, kHops);
      decltype(telling) next;
      for (const auto& [from, entries] : telling) {
        for (std::size_t i = 0; i < kConnections; ++i) {
          const std::size_t to = (from + 1 + i * i * i) % kDaemons;
          ++frames;
          auto news = daemons[to].Import(entries, now_);
          if (!news.empty()) {
            next.emplace_back(to, std::move(news));
          }
        }
      }
      telling = std::move(next);
    }
  }
  std::size_t refusing = 0;
  for (const crash_suspects& each : daemons) {
    refusing += Refuses(each, kBad) ? 1 : 0;
  }
  EXPECT_GE(refusing, kDaemons * 95 / 100);
  EXPECT_LE(frames, 2 * kDaemons * kConnections);
}

// Calls stay in their data centre, and so do connections: of 300 daemons in
// three, 200 never heard of the crashes in the third, and each data centre lost
// targets of its own to the same request (log: no suspects_heard at 40 of 60
// daemons). With a few told at random all hear, and it ends.
TEST_F(crash_suspects_test, OtherDataCentresHearToo) {
  constexpr std::size_t kDaemons = 300;
  constexpr std::size_t kDataCentres = 3;
  constexpr std::size_t kConnections = 8;
  std::mt19937_64 random(7);
  std::vector<crash_suspects> daemons;
  std::vector<std::string> names;
  for (std::size_t i = 0; i < kDaemons; ++i) {
    daemons.emplace_back(incarnation_id{i + 1});
    names.push_back(std::to_string(i));
  }
  for (const std::size_t crashed : {7U, 10U}) {
    Crash(daemons[crashed], kBad);
    std::vector<std::pair<std::size_t, std::vector<quarantine_entry>>> telling{
        {crashed, told_}};
    for (int hops = 0; !telling.empty(); ++hops) {
      ASSERT_LE(hops, 16);
      decltype(telling) next;
      for (const auto& [from, entries] : telling) {
        std::vector<std::size_t> told;
        for (std::size_t i = 1; i <= kConnections; ++i) {
          told.push_back((from + kDataCentres * i * i) % kDaemons);
        }
        for (const std::string& name : FurtherDaemons(names, random)) {
          told.push_back(std::stoul(name));
        }
        for (const std::size_t to : told) {
          auto news = daemons[to].Import(entries, now_);
          if (!news.empty()) {
            next.emplace_back(to, std::move(news));
          }
        }
      }
      telling = std::move(next);
    }
  }
  for (std::size_t i = 0; i < kDaemons; ++i) {
    EXPECT_TRUE(Refuses(daemons[i], kBad)) << i;
  }
}

// Two machines are lost, and at both the same slow lookup was in progress, as
// many callers send it. Daemons that have not seen it complete lately, such as
// one that has just started, refused all of that kind for a minute (log:
// refused as quarantined, 72 of some 300 such lookups in 20 s). Whoever has
// seen it complete tells the daemon that suspects it, and the word goes on from
// there.
TEST_F(crash_suspects_test, WhoeverKnowsBetterClearsIt) {
  crash_suspects one(incarnation_id{1});
  crash_suspects knows(incarnation_id{2});
  crash_suspects fresh(incarnation_id{3});
  knows.OnCompleted(kBad, now_);
  for (int i = 0; i < 2; ++i) {
    Crash(one, kBad);
    fresh.Import(told_, now_);
    EXPECT_TRUE(knows.Import(told_, now_).empty());
  }
  EXPECT_TRUE(Refuses(one, kBad));
  EXPECT_TRUE(Refuses(fresh, kBad));
  const auto reply = knows.Innocent(told_, now_);
  ASSERT_EQ(reply.size(), 1U);
  const auto news = one.OnCleared(reply, now_);
  EXPECT_EQ(news, reply);
  EXPECT_EQ(fresh.OnCleared(news, now_), reply);
  EXPECT_FALSE(Refuses(one, kBad));
  EXPECT_FALSE(Refuses(fresh, kBad));
  // It ends: what is known to be cleared is no news.
  EXPECT_TRUE(one.OnCleared(reply, now_).empty());
  // And the memory of completion has passed without it being refused again.
  now_ += seconds(30);
  EXPECT_FALSE(Refuses(one, kBad));
}

// Nobody had seen the lookup complete when it was suspected. One that was in
// progress elsewhere then completes.
TEST_F(crash_suspects_test, ASuspectThatCompletesIsClearedForAll) {
  crash_suspects one(incarnation_id{1});
  crash_suspects other(incarnation_id{2});
  for (int i = 0; i < 2; ++i) {
    Crash(one, kBad);
    other.Import(told_, now_);
  }
  EXPECT_TRUE(Refuses(other, kBad));
  EXPECT_TRUE(other.OnAnswered(kBad, now_, now_ + milliseconds(5)));
  EXPECT_FALSE(other.OnAnswered(kBad, now_, now_ + milliseconds(6)));
  EXPECT_EQ(one.OnCleared({kBad}, now_).size(), 1U);
  EXPECT_FALSE(Refuses(one, kBad));
}

// A request that crashes each target never completes, and stays refused
// whatever else completes and is cleared.
TEST_F(crash_suspects_test, NothingElseClearsARequestThatCrashes) {
  crash_suspects suspects(incarnation_id{1});
  const request_fingerprint harmless = Request("/look/same");
  for (int i = 0; i < 2; ++i) {
    suspects.OnCut(harmless, now_, now_ + seconds(5));
    Crash(suspects, kBad);
  }
  EXPECT_TRUE(Refuses(suspects, harmless));
  suspects.OnCleared({harmless}, now_);
  EXPECT_FALSE(Refuses(suspects, harmless));
  EXPECT_TRUE(Refuses(suspects, kBad));
}

// Guards against old copies of a suspect that are news again once the memory of
// its completion has been taken by other requests.
TEST_F(crash_suspects_test, ACopyThatComesLateIsNoNews) {
  crash_suspects one(incarnation_id{1});
  crash_suspects other(incarnation_id{2});
  Crash(one, kBad);
  EXPECT_EQ(other.Import(told_, now_).size(), 1U);
  EXPECT_EQ(other.OnCleared({kBad}, now_).size(), 1U);
  for (int i = 0; i < 40000; ++i) {
    other.OnCompleted(Request("/look/" + std::to_string(i)), now_);
  }
  EXPECT_TRUE(other.Import(told_, now_ + seconds(1)).empty());
  EXPECT_TRUE(other.OnCleared({kBad}, now_ + seconds(1)).empty());
}

// Guards against telling without end where daemons read late: copies of what
// was cleared long ago were passed on as news, by each to all.
TEST_F(crash_suspects_test, TellingEndsWhereDaemonsReadLate) {
  constexpr std::size_t kDaemons = 20;
  constexpr std::size_t kSuspects = 16;
  constexpr int kCompletedBetween = 40;
  struct message {
    std::size_t to;
    std::vector<quarantine_entry> entries;
    std::vector<request_fingerprint> cleared;
  };
  std::mt19937_64 random(7);
  std::vector<crash_suspects> daemons;
  for (std::size_t i = 0; i < kDaemons; ++i) {
    daemons.emplace_back(incarnation_id{i + 1});
  }
  std::vector<message> under_way;
  const auto tell_all = [&](std::size_t from, const message& told) {
    for (std::size_t to = 0; to < kDaemons; ++to) {
      if (to != from) {
        under_way.push_back(
            {.to = to, .entries = told.entries, .cleared = told.cleared});
      }
    }
  };
  std::vector<request_fingerprint> suspects;
  for (std::size_t i = 0; i < kSuspects; ++i) {
    suspects.push_back(Request("/mail/" + std::to_string(i)));
    daemons[0].OnCut(suspects.back(), now_ - milliseconds(10), now_);
  }
  tell_all(0, {.to = 0, .entries = daemons[0].OnDied(now_), .cleared = {}});
  std::size_t others = 0;
  std::size_t frames = 0;
  // Each may be told once by each other of each suspect, and that it is
  // cleared.
  constexpr std::size_t kMost = 2 * kSuspects * kDaemons * kDaemons;
  while (!under_way.empty() && frames <= kMost) {
    ++frames;
    std::swap(under_way[random() % under_way.size()], under_way.back());
    const message told = std::move(under_way.back());
    under_way.pop_back();
    crash_suspects& at = daemons[told.to];
    for (int i = 0; i < kCompletedBetween; ++i) {
      at.OnCompleted(Request("/look/" + std::to_string(++others)), now_);
    }
    message news{.to = told.to,
                 .entries = at.Import(told.entries, now_),
                 .cleared = at.OnCleared(told.cleared, now_)};
    const request_fingerprint& completes = suspects[random() % kSuspects];
    if (at.OnCompleted(completes, now_)) {
      news.cleared.push_back(completes);
    }
    if (!news.entries.empty() || !news.cleared.empty()) {
      tell_all(told.to, news);
    }
  }
  EXPECT_TRUE(under_way.empty());
  EXPECT_LE(frames, kMost);
}

// Guards against a request that isn't refused since many others were told of
// before it.
TEST_F(crash_suspects_test, ADaemonThatRemembersNoMoreStillLearns) {
  crash_suspects one(incarnation_id{1});
  crash_suspects other(incarnation_id{2});
  const std::size_t most = told_crashes_options{}.most;
  for (std::uint64_t i = 0; i < most; ++i) {
    (void)other.Import({{.fingerprint = {.high = i, .low = i},
                         .crashes = {crash_id{i + 1}},
                         .remaining = milliseconds(60000)}},
                       now_);
  }
  for (std::uint32_t i = 0; i < quarantine_options::kCrashesAmongOthers; ++i) {
    Crash(one, kBad);
    EXPECT_TRUE(other.Import(told_, now_).empty());
  }
  EXPECT_TRUE(Refuses(other, kBad));
}

// Guards against a crash that is ignored for good since the request had
// completed shortly before it was told first.
TEST_F(crash_suspects_test, WhatWasInnocentMayBeToldAgain) {
  crash_suspects one(incarnation_id{1});
  crash_suspects other(incarnation_id{2});
  other.OnCompleted(kBad, now_);
  Crash(one, kBad);
  Crash(one, kBad);
  EXPECT_TRUE(other.Import(one.Known(now_), now_ - seconds(5)).empty());
  now_ += seconds(20);
  EXPECT_EQ(other.Import(one.Known(now_), now_).size(), 1U);
  EXPECT_TRUE(Refuses(other, kBad));
}

// A daemon starts after both crashes. Nobody tells it of them again, and the
// request would crash its target too.
TEST_F(crash_suspects_test, OneThatConnectsLaterIsToldWhatIsKnown) {
  crash_suspects one(incarnation_id{1});
  Crash(one, kBad);
  Crash(one, kBad);
  crash_suspects late(incarnation_id{2});
  late.Import(one.Known(now_), now_);
  EXPECT_TRUE(Refuses(late, kBad));
}

}  // namespace
}  // namespace pistachioweir
