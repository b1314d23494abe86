// Attribution of target crashes to requests.
#include "include/quarantine/crash_suspects.h"

#include <gtest/gtest.h>

#include <cstddef>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "include/quarantine/suspect_fanout.h"

namespace pistachioweir {
namespace {

const time_point kStart{seconds(1000)};

request_fingerprint Request(const std::string& path) {
  return Fingerprint(
      {.service = "contracts", .method = path, .body = {}, .label = {}});
}

const request_fingerprint kCrashing = Request("/sign/bad");

class crash_suspects_test : public testing::Test {
 protected:
  // `request` is in progress when the target crashes; detected 5 ms later.
  void Crash(crash_suspects& suspects, const request_fingerprint& request) {
    now_ += seconds(5);
    suspects.OnInterrupted(request, now_ - milliseconds(10), now_);
    published_ = suspects.OnTargetCrash(now_ + milliseconds(5));
  }

  // Target crashes, each with a different request in progress.
  void CrashWithout(crash_suspects& suspects) {
    for (std::size_t i = 0; i < quarantine_options::kUnrelatedCrashThreshold;
         ++i) {
      Crash(suspects, Request("/look/" + std::to_string(i)));
    }
  }

  [[nodiscard]] bool Refuses(const crash_suspects& suspects,
                             const request_fingerprint& request) const {
    return suspects.RemainingQuarantine(request, now_ + milliseconds(5)) >
           milliseconds(0);
  }

  time_point now_ = kStart;
  std::vector<quarantine_entry> published_;
};

// Guards against one caller that keeps sending a request that crashes the
// target, again as soon as the target is restarted: each crash also loses all
// other requests in progress, until the request is refused.
TEST_F(crash_suspects_test, ASecondCrashQuarantinesTheRequest) {
  crash_suspects suspects(incarnation_id{1});
  Crash(suspects, kCrashing);
  EXPECT_FALSE(Refuses(suspects, kCrashing));
  Crash(suspects, kCrashing);
  EXPECT_TRUE(Refuses(suspects, kCrashing));
  EXPECT_FALSE(Refuses(suspects, Request("/sign/other")));
}

// Guards against daemons that count only the crashes of their own target, with
// which a request sent to target after target crashes each target of the
// service twice.
TEST_F(crash_suspects_test, CrashesOfTwoTargetsAddUp) {
  crash_suspects one(incarnation_id{1});
  crash_suspects other(incarnation_id{2});
  Crash(one, kCrashing);
  other.Import(published_, now_);
  Crash(other, kCrashing);
  EXPECT_TRUE(Refuses(other, kCrashing));
  one.Import(published_, now_);
  EXPECT_TRUE(Refuses(one, kCrashing));
}

// Guards against harmless requests that take seconds being refused where
// targets often crash for other reasons.
TEST_F(crash_suspects_test, ALongRequestAmongUnrelatedCrashesIsServed) {
  crash_suspects suspects(incarnation_id{1});
  CrashWithout(suspects);
  const request_fingerprint slow = Request("/sign/slow");
  for (int i = 0; i < 4; ++i) {
    now_ += seconds(2);
    suspects.OnInterrupted(slow, now_ - milliseconds(1500), now_);
    (void)suspects.OnTargetCrash(now_ + milliseconds(5));
    EXPECT_FALSE(Refuses(suspects, slow)) << i;
  }
}

// Guards against a request being refused for being in progress at two of many
// crashes.
TEST_F(crash_suspects_test, AmongUnrelatedCrashesTheThirdQuarantines) {
  crash_suspects one(incarnation_id{1});
  crash_suspects other(incarnation_id{2});
  CrashWithout(one);
  for (int crash = 1; crash <= 3; ++crash) {
    Crash(one, kCrashing);
    other.Import(published_, now_);
    EXPECT_EQ(Refuses(one, kCrashing), crash == 3) << crash;
  }
  // It received no other crashes.
  EXPECT_TRUE(Refuses(other, kCrashing));
}

// Guards against a quarantined request that is served again because other
// requests crash targets.
TEST_F(crash_suspects_test, AfterThreeCrashesUnrelatedOnesChangeNothing) {
  crash_suspects suspects(incarnation_id{1});
  for (int crash = 0; crash < 3; ++crash) {
    Crash(suspects, kCrashing);
  }
  CrashWithout(suspects);
  EXPECT_TRUE(Refuses(suspects, kCrashing));
}

// Guards against single lost answers counting as crashes: a live target loses
// some, callers rightly repeat those requests, and the repeats would be
// refused.
TEST_F(crash_suspects_test, LostAnswersOfALiveTargetAreNoCrash) {
  crash_suspects suspects(incarnation_id{1});
  for (int i = 0; i < 5; ++i) {
    now_ += seconds(1);
    suspects.OnInterrupted(kCrashing, now_ - milliseconds(10), now_);
    suspects.OnAnswered(Request("/look"), now_ + milliseconds(1),
                        now_ + milliseconds(20));
  }
  EXPECT_TRUE(suspects.OnTargetCrash(now_ + milliseconds(30)).empty());
  EXPECT_FALSE(Refuses(suspects, kCrashing));
}

// Guards against a whole kind of request being refused for a minute: callers
// that send identical requests share one fingerprint, and two crashes with
// other causes counted against it.
TEST_F(crash_suspects_test, ARequestThatAlsoCompletesIsNoSuspect) {
  crash_suspects suspects(incarnation_id{1});
  for (int i = 0; i < 4; ++i) {
    suspects.OnAnswered(kCrashing, now_ + seconds(3), now_ + seconds(4));
    Crash(suspects, kCrashing);
  }
  EXPECT_FALSE(Refuses(suspects, kCrashing));
  EXPECT_TRUE(published_.empty());
}

// Guards against every daemon refusing, for a minute, a lookup that many
// callers send: a target that has just started crashes repeatedly before it
// answers one, while other targets answer thousands.
TEST_F(crash_suspects_test, ARequestThatCompletesAtOtherTargetsIsNotRefused) {
  crash_suspects flapping(incarnation_id{1});
  crash_suspects beside_callers(incarnation_id{2});
  for (int i = 0; i < 2; ++i) {
    Crash(flapping, kCrashing);
    beside_callers.OnCompleted(kCrashing, now_ - milliseconds(20));
    beside_callers.Import(published_, now_);
  }
  EXPECT_TRUE(Refuses(flapping, kCrashing));
  EXPECT_FALSE(Refuses(beside_callers, kCrashing));
  // The first suspicion arrives before anything has completed, the second
  // after.
  crash_suspects newcomer(incarnation_id{3});
  newcomer.Import(published_, now_);
  newcomer.OnCompleted(kCrashing, now_ + milliseconds(1));
  EXPECT_FALSE(Refuses(newcomer, kCrashing));
}

// Hundreds of requests are in progress when a target crashes. Publishing all of
// them at each crash would be the larger part of the traffic between daemons.
TEST_F(crash_suspects_test, PublishesOnlyTheMostRecentlyStarted) {
  crash_suspects suspects(incarnation_id{1});
  for (int i = 0; i < 200; ++i) {
    suspects.OnInterrupted(Request("/old/" + std::to_string(i)),
                           now_ - milliseconds(100 + i), now_);
  }
  suspects.OnInterrupted(kCrashing, now_ - milliseconds(1), now_);
  const auto published = suspects.OnTargetCrash(now_);
  ASSERT_EQ(published.size(), crash_suspects::kMaxPublishedSuspects);
  EXPECT_EQ(published.front().fingerprint, kCrashing);
}

// Guards against crashes known only to the daemons with a connection to the
// originator: with 60 daemons each received 8 to 18 of 26 crashes, and one
// request crashed 13 targets. Updates are forwarded: here each of 300 daemons
// has connections to eight, and all refuse the request a few hops after its
// second crash. Then forwarding ends.
TEST_F(crash_suspects_test, ForwardingReachesAllDaemonsInAFewHops) {
  constexpr std::size_t kDaemons = 300;
  constexpr std::size_t kConnections = 8;
  constexpr std::size_t kHops = 12;
  std::vector<crash_suspects> daemons;
  for (std::size_t i = 0; i < kDaemons; ++i) {
    daemons.emplace_back(incarnation_id{i + 1});
  }
  std::size_t frames = 0;
  for (const std::size_t crashed : {7U, 201U}) {
    Crash(daemons[crashed], kCrashing);
    std::vector<std::pair<std::size_t, std::vector<quarantine_entry>>> pending{
        {crashed, published_}};
    std::size_t hops = 0;
    while (!pending.empty()) {
      ASSERT_LE(++hops, kHops);
      decltype(pending) next;
      for (const auto& [from, entries] : pending) {
        for (std::size_t i = 0; i < kConnections; ++i) {
          const std::size_t to = (from + 1 + i * i * i) % kDaemons;
          ++frames;
          auto updates = daemons[to].Import(entries, now_);
          if (!updates.empty()) {
            next.emplace_back(to, std::move(updates));
          }
        }
      }
      pending = std::move(next);
    }
  }
  std::size_t refusing = 0;
  for (const crash_suspects& each : daemons) {
    refusing += Refuses(each, kCrashing) ? 1 : 0;
  }
  EXPECT_GE(refusing, kDaemons * 95 / 100);
  EXPECT_LE(frames, 2 * kDaemons * kConnections);
}

// Guards against crashes unknown in other data centres. Calls and thus
// connections stay in their data centre: of 300 daemons in three, 200 never
// received the crashes in the third, and each data centre lost targets of its
// own to the same request (log: no suspects_heard at 40 of 60 daemons). With a
// few recipients chosen at random all daemons receive them, and forwarding
// ends.
TEST_F(crash_suspects_test, ForwardingReachesOtherDataCentres) {
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
    Crash(daemons[crashed], kCrashing);
    std::vector<std::pair<std::size_t, std::vector<quarantine_entry>>> pending{
        {crashed, published_}};
    for (int hops = 0; !pending.empty(); ++hops) {
      ASSERT_LE(hops, 16);
      decltype(pending) next;
      for (const auto& [from, entries] : pending) {
        std::vector<std::size_t> recipients;
        for (std::size_t i = 1; i <= kConnections; ++i) {
          recipients.push_back((from + kDataCentres * i * i) % kDaemons);
        }
        for (const std::string& name : ChooseUnconnected(names, random)) {
          recipients.push_back(std::stoul(name));
        }
        for (const std::size_t to : recipients) {
          auto updates = daemons[to].Import(entries, now_);
          if (!updates.empty()) {
            next.emplace_back(to, std::move(updates));
          }
        }
      }
      pending = std::move(next);
    }
  }
  for (std::size_t i = 0; i < kDaemons; ++i) {
    EXPECT_TRUE(Refuses(daemons[i], kCrashing)) << i;
  }
}

// Guards against a harmless slow lookup being refused for a minute because it
// was in progress at two machines that were lost. Daemons that had not seen it
// complete recently, such as one that had just started, refused all of that
// kind (log: refused as quarantined, 72 of some 300 such lookups in 20 s). A
// daemon that has seen it complete notifies the daemon that suspects it, which
// forwards the clearing.
TEST_F(crash_suspects_test, ADaemonThatSawItCompleteClearsIt) {
  crash_suspects one(incarnation_id{1});
  crash_suspects observer(incarnation_id{2});
  crash_suspects newcomer(incarnation_id{3});
  observer.OnCompleted(kCrashing, now_);
  for (int i = 0; i < 2; ++i) {
    Crash(one, kCrashing);
    newcomer.Import(published_, now_);
    EXPECT_TRUE(observer.Import(published_, now_).empty());
  }
  EXPECT_TRUE(Refuses(one, kCrashing));
  EXPECT_TRUE(Refuses(newcomer, kCrashing));
  const auto reply = observer.RecentlyCompleted(published_, now_);
  ASSERT_EQ(reply.size(), 1U);
  const auto updates = one.OnCleared(reply, now_);
  EXPECT_EQ(updates, reply);
  EXPECT_EQ(newcomer.OnCleared(updates, now_), reply);
  EXPECT_FALSE(Refuses(one, kCrashing));
  EXPECT_FALSE(Refuses(newcomer, kCrashing));
  // Forwarding ends: a repeated clearing is no update.
  EXPECT_TRUE(one.OnCleared(reply, now_).empty());
  // It is also not refused once the completion retention has passed.
  now_ += seconds(30);
  EXPECT_FALSE(Refuses(one, kCrashing));
}

// No daemon had seen the lookup complete when it was suspected; another run of
// it, in progress elsewhere, completes afterwards.
TEST_F(crash_suspects_test, ASuspectThatCompletesIsClearedEverywhere) {
  crash_suspects one(incarnation_id{1});
  crash_suspects other(incarnation_id{2});
  for (int i = 0; i < 2; ++i) {
    Crash(one, kCrashing);
    other.Import(published_, now_);
  }
  EXPECT_TRUE(Refuses(other, kCrashing));
  EXPECT_TRUE(other.OnAnswered(kCrashing, now_, now_ + milliseconds(5)));
  EXPECT_FALSE(other.OnAnswered(kCrashing, now_, now_ + milliseconds(6)));
  EXPECT_EQ(one.OnCleared({kCrashing}, now_).size(), 1U);
  EXPECT_FALSE(Refuses(one, kCrashing));
}

// A request that crashes every target never completes, and stays refused
// whatever other requests complete and are cleared.
TEST_F(crash_suspects_test, OtherCompletionsDoNotClearACrashingRequest) {
  crash_suspects suspects(incarnation_id{1});
  const request_fingerprint harmless = Request("/look/same");
  for (int i = 0; i < 2; ++i) {
    suspects.OnInterrupted(harmless, now_, now_ + seconds(5));
    Crash(suspects, kCrashing);
  }
  EXPECT_TRUE(Refuses(suspects, harmless));
  suspects.OnCleared({harmless}, now_);
  EXPECT_FALSE(Refuses(suspects, harmless));
  EXPECT_TRUE(Refuses(suspects, kCrashing));
}

// Guards against duplicates of a suspicion that count as new once other
// requests have taken the slot of its completion.
TEST_F(crash_suspects_test, ADelayedDuplicateIsNotForwarded) {
  crash_suspects one(incarnation_id{1});
  crash_suspects other(incarnation_id{2});
  Crash(one, kCrashing);
  EXPECT_EQ(other.Import(published_, now_).size(), 1U);
  EXPECT_EQ(other.OnCleared({kCrashing}, now_).size(), 1U);
  for (int i = 0; i < 40000; ++i) {
    other.OnCompleted(Request("/look/" + std::to_string(i)), now_);
  }
  EXPECT_TRUE(other.Import(published_, now_ + seconds(1)).empty());
  EXPECT_TRUE(other.OnCleared({kCrashing}, now_ + seconds(1)).empty());
}

// Guards against endless forwarding where daemons read with a delay: duplicates
// of what was cleared long ago were forwarded as new, by each daemon to all.
TEST_F(crash_suspects_test, ForwardingEndsWhenDaemonsReadLate) {
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
  std::vector<message> in_flight;
  const auto send_to_others = [&](std::size_t from, const message& sent) {
    for (std::size_t to = 0; to < kDaemons; ++to) {
      if (to != from) {
        in_flight.push_back(
            {.to = to, .entries = sent.entries, .cleared = sent.cleared});
      }
    }
  };
  std::vector<request_fingerprint> suspects;
  for (std::size_t i = 0; i < kSuspects; ++i) {
    suspects.push_back(Request("/mail/" + std::to_string(i)));
    daemons[0].OnInterrupted(suspects.back(), now_ - milliseconds(10), now_);
  }
  send_to_others(
      0, {.to = 0, .entries = daemons[0].OnTargetCrash(now_), .cleared = {}});
  std::size_t others = 0;
  std::size_t frames = 0;
  // Each daemon may send each other one every suspect once, and its clearing
  // once.
  constexpr std::size_t kMaxFrames = 2 * kSuspects * kDaemons * kDaemons;
  while (!in_flight.empty() && frames <= kMaxFrames) {
    ++frames;
    std::swap(in_flight[random() % in_flight.size()], in_flight.back());
    const message received = std::move(in_flight.back());
    in_flight.pop_back();
    crash_suspects& at = daemons[received.to];
    for (int i = 0; i < kCompletedBetween; ++i) {
      at.OnCompleted(Request("/look/" + std::to_string(++others)), now_);
    }
    message updates{.to = received.to,
                    .entries = at.Import(received.entries, now_),
                    .cleared = at.OnCleared(received.cleared, now_)};
    const request_fingerprint& completes = suspects[random() % kSuspects];
    if (at.OnCompleted(completes, now_)) {
      updates.cleared.push_back(completes);
    }
    if (!updates.entries.empty() || !updates.cleared.empty()) {
      send_to_others(received.to, updates);
    }
  }
  EXPECT_TRUE(in_flight.empty());
  EXPECT_LE(frames, kMaxFrames);
}

// Guards against a request that is not refused because the deduplication cache
// is full.
TEST_F(crash_suspects_test, AFullDedupCacheStillImports) {
  crash_suspects one(incarnation_id{1});
  crash_suspects other(incarnation_id{2});
  const std::size_t max_entries = crash_dedup_options{}.max_entries;
  for (std::uint64_t i = 0; i < max_entries; ++i) {
    (void)other.Import({{.fingerprint = {.high = i, .low = i},
                         .crashes = {crash_id{i + 1}},
                         .remaining = milliseconds(60000)}},
                       now_);
  }
  for (std::uint32_t i = 0; i < quarantine_options::kCrashThresholdWhenUnstable;
       ++i) {
    Crash(one, kCrashing);
    EXPECT_TRUE(other.Import(published_, now_).empty());
  }
  EXPECT_TRUE(Refuses(other, kCrashing));
}

// Guards against a crash that is ignored permanently because the request had
// completed shortly before the crash was first received.
TEST_F(crash_suspects_test, ASuspicionRejectedOnceMayBeImportedLater) {
  crash_suspects one(incarnation_id{1});
  crash_suspects other(incarnation_id{2});
  other.OnCompleted(kCrashing, now_);
  Crash(one, kCrashing);
  Crash(one, kCrashing);
  EXPECT_TRUE(other.Import(one.Snapshot(now_), now_ - seconds(5)).empty());
  now_ += seconds(20);
  EXPECT_EQ(other.Import(one.Snapshot(now_), now_).size(), 1U);
  EXPECT_TRUE(Refuses(other, kCrashing));
}

// Guards against a daemon that starts after both crashes and never receives
// them, so that the request crashes its target too.
TEST_F(crash_suspects_test, ADaemonThatConnectsLaterReceivesASnapshot) {
  crash_suspects one(incarnation_id{1});
  Crash(one, kCrashing);
  Crash(one, kCrashing);
  crash_suspects newcomer(incarnation_id{2});
  newcomer.Import(one.Snapshot(now_), now_);
  EXPECT_TRUE(Refuses(newcomer, kCrashing));
}

}  // namespace
}  // namespace pistachioweir
