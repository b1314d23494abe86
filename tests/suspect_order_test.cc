// Termination of forwarding suspects, in orders of events that the test
// controls. Daemons are modelled by their crash_suspects, with the handling of
// its results as in executor.cc, peer_server.cc and peer_link.cc; connections
// preserve order, and the test chooses which connection delivers its next
// frame.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <iostream>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "include/quarantine/crash_suspects.h"

namespace pistachioweir {
namespace {

constexpr std::size_t kDaemons = 12;
// Number of frames after which a test assumes that forwarding is endless.
constexpr std::size_t kMaxFrames = 100000;
// Likewise for pending frames. Cases that end have fewer pending at any time.
constexpr std::size_t kMaxPending = 100000;
// As crash_suspects::kCompletedSlots, which is private.
constexpr std::size_t kSlots = 4096;

request_fingerprint Request(const std::string& path) {
  return Fingerprint(
      {.service = "contracts", .method = path, .body = {}, .label = {}});
}

// Returns `count` different requests that share one slot.
std::vector<request_fingerprint> InOneSlot(std::size_t count) {
  const std::size_t slot = Request("/alike/0").low % kSlots;
  std::vector<request_fingerprint> requests;
  for (std::size_t i = 0; requests.size() < count; ++i) {
    const request_fingerprint each = Request("/alike/" + std::to_string(i));
    if (each.low % kSlots == slot) {
      requests.push_back(each);
    }
  }
  return requests;
}

// Returns `count` different requests with a slot each.
std::vector<request_fingerprint> InOwnSlots(std::size_t count) {
  std::map<std::size_t, request_fingerprint> requests_by_slot;
  for (std::size_t i = 0; requests_by_slot.size() < count; ++i) {
    const request_fingerprint each = Request("/own/" + std::to_string(i));
    requests_by_slot.emplace(each.low % kSlots, each);
  }
  std::vector<request_fingerprint> requests;
  requests.reserve(requests_by_slot.size());
  for (const auto& [slot, request] : requests_by_slot) {
    requests.push_back(request);
  }
  return requests;
}

struct frame {
  std::vector<quarantine_entry> entries;
  std::vector<request_fingerprint> cleared;
};

struct result {
  bool ended = false;
  std::size_t delivered = 0;
  std::size_t updates = 0;      // Frames forwarded.
  std::size_t max_pending = 0;  // Frames on all connections at once.
  // Frames delivered, by their effect on the receiver.
  std::map<std::string, std::size_t> kinds;
};

std::ostream& operator<<(std::ostream& out, const result& value) {
  out << (value.ended ? "ended" : "NOT ENDED") << " delivered "
      << value.delivered << " forwarded " << value.updates << " max pending "
      << value.max_pending;
  for (const auto& [kind, count] : value.kinds) {
    out << ", " << kind << " " << count;
  }
  return out;
}

// A fleet with `links` connections between each pair of daemons.
class fleet {
 public:
  using chooser = std::function<std::size_t(std::size_t pending)>;

  explicit fleet(std::size_t size, std::size_t links = 2) : links_(links) {
    for (std::size_t i = 0; i < size; ++i) {
      daemons_.emplace_back(incarnation_id{i + 1});
    }
    connections_.resize(size * size * links);
  }

  void Crash(std::size_t at, const std::vector<request_fingerprint>& requests) {
    for (const request_fingerprint& request : requests) {
      daemons_[at].OnInterrupted(request, now_ - milliseconds(10), now_);
    }
    Publish(at, {.entries = daemons_[at].OnTargetCrash(now_)});
  }

  void Complete(std::size_t at, const request_fingerprint& request) {
    if (daemons_[at].OnCompleted(request, now_)) {
      Publish(at, {.cleared = {request}});
    }
  }

  // Delivers the next frame of one connection; the reply is sent back over the
  // same.
  void Deliver(std::size_t connection) {
    std::deque<frame>& queue = connections_[connection];
    const frame received = std::move(queue.front());
    queue.pop_front();
    if (queue.empty()) {
      std::erase(busy_, connection);
    }
    --pending_;
    ++result_.delivered;
    now_ += std::chrono::microseconds(1);
    const std::size_t link = connection % links_;
    const std::size_t from = connection / links_ / daemons_.size();
    const std::size_t to = connection / links_ % daemons_.size();
    crash_suspects& daemon = daemons_[to];
    // In the order of executor::ImportSuspects().
    frame reply{.cleared = daemon.RecentlyCompleted(received.entries, now_)};
    frame updates{.entries = daemon.Import(received.entries, now_)};
    updates.cleared = daemon.OnCleared(received.cleared, now_);
    ++result_.kinds[!updates.entries.empty()    ? "news"
                    : !updates.cleared.empty()  ? "cleared_news"
                    : !reply.cleared.empty()    ? "innocent"
                    : !received.entries.empty() ? "known suspect"
                                                : "known cleared"];
    if (!updates.entries.empty() || !updates.cleared.empty()) {
      ++result_.updates;
      Publish(to, updates);
    }
    if (!reply.cleared.empty()) {
      Enqueue(to, from, link, std::move(reply));
    }
  }

  // Delivers until nothing is pending, or `max_frames` frames were delivered.
  result Run(std::size_t max_frames, const chooser& choose) {
    while (!busy_.empty() && result_.delivered < max_frames &&
           pending_ < kMaxPending) {
      Deliver(busy_[choose(busy_.size())]);
    }
    result_.ended = busy_.empty();
    return result_;
  }

  // Delivers the first frame between two daemons on the first of their
  // connections.
  void DeliverFrom(std::size_t from, std::size_t to) {
    Deliver(Index(from, to, 0));
  }
  [[nodiscard]] std::size_t PendingFrom(std::size_t from,
                                        std::size_t to) const {
    return connections_[Index(from, to, 0)].size();
  }
  // Daemons from index `first` on read nothing until Continue().
  void Pause(std::size_t first) {
    first_paused_ = first;
    std::erase_if(busy_, [this](std::size_t each) { return Paused(each); });
  }
  void Continue() {
    first_paused_ = daemons_.size();
    for (std::size_t i = 0; i < connections_.size(); ++i) {
      if (!connections_[i].empty() &&
          std::ranges::find(busy_, i) == busy_.end()) {
        busy_.push_back(i);
      }
    }
  }
  // Sends a snapshot, as a daemon does when it connects, on one connection.
  void SendSnapshot(std::size_t from,
                    std::size_t to,
                    const std::vector<quarantine_entry>& known) {
    Enqueue(from, to, 0, {.entries = known});
  }
  [[nodiscard]] std::size_t pending() const { return pending_; }
  [[nodiscard]] const result& so_far() const { return result_; }
  [[nodiscard]] crash_suspects& at(std::size_t i) { return daemons_[i]; }
  [[nodiscard]] time_point now() const { return now_; }

 private:
  [[nodiscard]] bool Paused(std::size_t connection) const {
    return connection / links_ % daemons_.size() >= first_paused_;
  }
  [[nodiscard]] std::size_t Index(std::size_t from,
                                  std::size_t to,
                                  std::size_t link) const {
    return (from * daemons_.size() + to) * links_ + link;
  }

  void Enqueue(std::size_t from,
               std::size_t to,
               std::size_t link,
               frame update) {
    const std::size_t connection = Index(from, to, link);
    if (connections_[connection].empty() && !Paused(connection)) {
      busy_.push_back(connection);
    }
    connections_[connection].push_back(std::move(update));
    result_.max_pending = std::max(result_.max_pending, ++pending_);
  }

  // Sends to all other daemons over all links, the one that an update came from
  // included, as the peer server and the origin do.
  void Publish(std::size_t from, const frame& update) {
    for (std::size_t link = 0; link < links_; ++link) {
      for (std::size_t to = 0; to < daemons_.size(); ++to) {
        if (to != from) {
          Enqueue(from, to, link, update);
        }
      }
    }
  }

  const std::size_t links_;
  std::vector<crash_suspects> daemons_;
  std::vector<std::deque<frame>> connections_;
  // Connections with pending frames, oldest first.
  std::vector<std::size_t> busy_;
  std::size_t pending_ = 0;
  std::size_t first_paused_ = SIZE_MAX;
  time_point now_{seconds(1000)};
  result result_;
};

fleet::chooser Oldest() {
  return [](std::size_t) { return 0; };
}
// A random connection, which delays duplicates on some.
fleet::chooser AtRandom(std::uint32_t seed) {
  return [random = std::mt19937(seed)](std::size_t pending) mutable {
    return random() % pending;
  };
}
fleet::chooser Newest() {
  return [](std::size_t pending) { return pending - 1; };
}

// Upper bound of the frames that a fleet of this size needs for `suspects` that
// are forwarded once and cleared once by each daemon, over all links, each
// answered once.
constexpr std::size_t Bound(std::size_t suspects) {
  return 4 * kDaemons * kDaemons * 2 * (suspects + 1);
}

// One crash; each request completes elsewhere while the suspects are being
// forwarded.
result CrashAndComplete(const std::vector<request_fingerprint>& requests,
                        const fleet::chooser& choose,
                        std::size_t between) {
  fleet all(kDaemons);
  all.Crash(0, requests);
  // Some frames are delivered, then the daemons that run the repeated requests
  // clear them.
  std::size_t at = 1;
  for (const request_fingerprint& request : requests) {
    all.Run(all.so_far().delivered + between, choose);
    all.Complete(at, request);
    at = at % (kDaemons - 1) + 1;
  }
  return all.Run(kMaxFrames, choose);
}

TEST(suspect_order_test, SuspectsInOwnSlotsEnd) {
  for (const std::size_t between : {20U, 60U, 200U}) {
    const auto requests = InOwnSlots(8);
    for (std::uint32_t seed = 1; seed <= 5; ++seed) {
      const result got = CrashAndComplete(requests, AtRandom(seed), between);
      EXPECT_TRUE(got.ended) << got;
      EXPECT_LE(got.delivered, Bound(8)) << got;
    }
    const result oldest = CrashAndComplete(requests, Oldest(), between);
    EXPECT_TRUE(oldest.ended) << oldest;
    EXPECT_LE(oldest.delivered, Bound(8)) << oldest;
    const result newest = CrashAndComplete(requests, Newest(), between);
    EXPECT_TRUE(newest.ended) << newest;
    EXPECT_LE(newest.delivered, Bound(8)) << newest;
  }
}

TEST(suspect_order_test, TwoSuspectsInOneSlotEnd) {
  for (const std::size_t between : {20U, 60U, 200U}) {
    const auto requests = InOneSlot(2);
    for (std::uint32_t seed = 1; seed <= 5; ++seed) {
      const result got = CrashAndComplete(requests, AtRandom(seed), between);
      EXPECT_TRUE(got.ended) << "random " << seed << " " << between << got;
      EXPECT_LE(got.delivered, Bound(2)) << got;
    }
    const result oldest = CrashAndComplete(requests, Oldest(), between);
    EXPECT_TRUE(oldest.ended) << "oldest " << between << oldest;
    EXPECT_LE(oldest.delivered, Bound(2)) << oldest;
    const result newest = CrashAndComplete(requests, Newest(), between);
    EXPECT_TRUE(newest.ended) << "newest " << between << newest;
    EXPECT_LE(newest.delivered, Bound(2)) << newest;
  }
}

// One request in progress at many targets that crash at the same time; it never
// completes.
result ManyCrashes(std::size_t crashes, const fleet::chooser& choose) {
  fleet all(kDaemons);
  for (std::size_t i = 0; i < crashes; ++i) {
    all.Crash(i, {Request("/sign/bad")});
  }
  return all.Run(kMaxFrames, choose);
}

TEST(suspect_order_test, EightCrashesOfOneRequestEnd) {
  for (std::uint32_t seed = 1; seed <= 3; ++seed) {
    const result got = ManyCrashes(8, AtRandom(seed));
    EXPECT_TRUE(got.ended) << got;
    EXPECT_LE(got.delivered, Bound(8)) << got;
  }
  EXPECT_TRUE(ManyCrashes(8, Oldest()).ended);
}

TEST(suspect_order_test, NineCrashesOfOneRequestEnd) {
  for (std::uint32_t seed = 1; seed <= 3; ++seed) {
    const result got = ManyCrashes(9, AtRandom(seed));
    EXPECT_TRUE(got.ended) << got;
    EXPECT_LE(got.delivered, Bound(9)) << got;
  }
  EXPECT_TRUE(ManyCrashes(9, Oldest()).ended) << "oldest first";
}

// The shortest failing order: two daemons, one connection, two requests in one
// slot. One daemon has cleared both while a delayed duplicate of their
// suspicion is in transit.
TEST(suspect_order_test, TwoDaemonsEnd) {
  const auto requests = InOneSlot(2);
  fleet both(2, 1);
  both.Crash(0, requests);
  both.DeliverFrom(0, 1);  // Forwarded, also back to 0: the delayed duplicate.
  both.Complete(0, requests[0]);
  both.Complete(0, requests[1]);
  const result got = both.Run(10000, Oldest());
  EXPECT_TRUE(got.ended) << got;
}

// All daemons receive the suspects before the first is cleared, as in a fleet
// with idle capacity.
TEST(suspect_order_test, SuspectsInOneSlotClearedLaterEnd) {
  const auto requests = InOneSlot(2);
  fleet all(kDaemons);
  all.Crash(0, requests);
  EXPECT_TRUE(all.Run(kMaxFrames, AtRandom(1)).ended);
  all.Complete(1, requests[0]);
  all.Complete(2, requests[1]);
  EXPECT_TRUE(all.Run(kMaxFrames, AtRandom(1)).ended);
}

TEST(suspect_order_test, SuspectsInOneSlotSentAgainEnd) {
  const auto requests = InOneSlot(2);
  std::size_t endless = 0;
  for (std::uint32_t seed = 1; seed <= 10; ++seed) {
    fleet all(kDaemons);
    all.Crash(0, requests);
    EXPECT_TRUE(all.Run(kMaxFrames, AtRandom(seed)).ended);
    const std::vector<quarantine_entry> known = all.at(5).Snapshot(all.now());
    all.Complete(1, requests[0]);
    all.Complete(2, requests[1]);
    EXPECT_TRUE(all.Run(kMaxFrames, AtRandom(seed)).ended);
    all.SendSnapshot(5, 6, known);  // On a connection that was slow to open.
    endless += all.Run(kMaxFrames, AtRandom(seed)).ended ? 0 : 1;
  }
  EXPECT_EQ(endless, 0U);
}

// A realistic number of suspects, of which some share a slot by chance. All but
// `delayed` frames are delivered before the clearing begins.
TEST(suspect_order_test, ManySuspectsWithDelayedDuplicatesEnd) {
  for (const std::size_t suspects : {32U, 96U, 192U}) {
    std::vector<request_fingerprint> requests;
    std::map<std::size_t, std::size_t> slots;
    std::size_t sharing = 0;
    for (std::size_t i = 0; i < suspects; ++i) {
      requests.push_back(Request("/day/" + std::to_string(i)));
      sharing += slots[requests.back().low % kSlots]++;
    }
    for (const std::size_t delayed : {0U, 1U, 10U, 100U}) {
      fleet all(kDaemons);
      const fleet::chooser choose = AtRandom(3);
      for (std::size_t i = 0; i < suspects;
           i += crash_suspects::kMaxPublishedSuspects) {
        all.Crash((i / crash_suspects::kMaxPublishedSuspects) % kDaemons,
                  {requests.begin() + static_cast<std::ptrdiff_t>(i),
                   requests.begin() +
                       static_cast<std::ptrdiff_t>(
                           i + crash_suspects::kMaxPublishedSuspects)});
      }
      while (all.pending() > delayed) {
        all.Run(all.so_far().delivered + 1, choose);
      }
      for (std::size_t i = 0; i < suspects; ++i) {
        all.Complete((3 * i) % kDaemons, requests[i]);
        all.Run(all.so_far().delivered + 1, choose);
      }
      const result got = all.Run(kMaxFrames, choose);
      std::cout << "MANY suspects " << suspects << " sharing " << sharing
                << " late " << delayed << ": " << got << "\n";
      EXPECT_TRUE(got.ended);
    }
  }
}

// Some daemons are paused from the crash on until the others have exchanged all
// updates; then they read what is pending, in any order of connections. The
// requests complete after all running daemons have received the crash.
std::size_t EndlessWithPauses(std::size_t daemons,
                              std::size_t paused,
                              const std::vector<request_fingerprint>& requests,
                              bool received_before) {
  constexpr std::size_t kSeeds = 20;
  std::size_t endless = 0;
  std::size_t max_delivered = 0;
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    fleet all(daemons);
    const fleet::chooser choose = AtRandom(seed);
    if (!received_before) {
      all.Pause(daemons - paused);
    }
    for (std::size_t i = 0; i < requests.size(); i += 16) {
      all.Crash(i / 16 % 4,
                {requests.begin() + static_cast<std::ptrdiff_t>(i),
                 requests.begin() + static_cast<std::ptrdiff_t>(
                                        std::min(i + 16, requests.size()))});
    }
    all.Run(kMaxFrames, choose);
    all.Pause(daemons - paused);
    for (std::size_t i = 0; i < requests.size(); ++i) {
      all.Complete(i % 4, requests[i]);
    }
    all.Run(kMaxFrames, choose);
    all.Continue();
    const result got = all.Run(kMaxFrames, choose);
    endless += got.ended ? 0 : 1;
    if (got.ended) {
      max_delivered = std::max(max_delivered, got.delivered);
    }
  }
  std::cout << "PAUSE daemons " << daemons << " paused " << paused
            << " suspects " << requests.size()
            << (received_before ? " paused before the clearing"
                                : " paused before the crash")
            << ": endless " << endless << " of " << kSeeds
            << ", most delivered where it ended " << max_delivered << "\n";
  return endless;
}

TEST(suspect_order_test, PausedDaemonsWithSuspectsInOwnSlotsEnd) {
  for (const std::size_t paused : {1U, 4U, 8U}) {
    EXPECT_EQ(EndlessWithPauses(kDaemons, paused, InOwnSlots(2), false), 0U);
    EXPECT_EQ(EndlessWithPauses(kDaemons, paused, InOwnSlots(2), true), 0U);
  }
}

TEST(suspect_order_test, PausedDaemonsWithSuspectsInOneSlotEnd) {
  for (const std::size_t paused : {1U, 2U, 4U, 8U}) {
    EXPECT_EQ(EndlessWithPauses(kDaemons, paused, InOneSlot(2), false), 0U);
    EXPECT_EQ(EndlessWithPauses(kDaemons, paused, InOneSlot(2), true), 0U);
  }
  EXPECT_EQ(EndlessWithPauses(30, 1, InOneSlot(2), false), 0U);
  EXPECT_EQ(EndlessWithPauses(30, 4, InOneSlot(2), false), 0U);
}

// As many suspects as the crashes of one day left, not chosen: of 192, four
// pairs share a slot, of 96 none.
TEST(suspect_order_test, OnePausedDaemonWithManySuspectsEnds) {
  for (const std::size_t suspects : {96U, 192U}) {
    std::vector<request_fingerprint> requests;
    for (std::size_t i = 0; i < suspects; ++i) {
      requests.push_back(Request("/day/" + std::to_string(i)));
    }
    EXPECT_EQ(EndlessWithPauses(kDaemons, 1, requests, false), 0U);
  }
}

// `delayed` of the frames that publish the crash are still pending when the
// clearing begins; all others are delivered.
TEST(suspect_order_test, DelayedDuplicatesInOneSlotEnd) {
  for (const std::size_t delayed : {0U, 1U, 3U, 10U, 30U, 100U}) {
    std::size_t endless = 0;
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
      const auto requests = InOneSlot(2);
      fleet all(kDaemons);
      const fleet::chooser choose = AtRandom(seed);
      all.Crash(0, requests);
      do {
        all.Run(all.so_far().delivered + 1, choose);
      } while (all.pending() > delayed || all.so_far().updates < kDaemons - 1);
      all.Complete(1, requests[0]);
      all.Complete(2, requests[1]);
      endless += all.Run(kMaxFrames, choose).ended ? 0 : 1;
    }
    std::cout << "DELAYED duplicates " << delayed << ": endless " << endless
              << " of 20\n";
    EXPECT_EQ(endless, 0U);
  }
}

// Several daemons connect and send snapshots from before the clearing.
TEST(suspect_order_test, SeveralSnapshotsSentAgainEnd) {
  for (const std::size_t senders : {1U, 3U, 11U, 50U}) {
    std::size_t endless = 0;
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
      const auto requests = InOneSlot(2);
      fleet all(kDaemons);
      const fleet::chooser choose = AtRandom(seed);
      all.Crash(0, requests);
      all.Run(kMaxFrames, choose);
      const auto known = all.at(5).Snapshot(all.now());
      all.Complete(1, requests[0]);
      all.Complete(2, requests[1]);
      for (std::size_t i = 0; i < senders; ++i) {
        all.SendSnapshot(i % kDaemons, (i + 1 + i / kDaemons) % kDaemons,
                         known);
      }
      endless += all.Run(kMaxFrames, choose).ended ? 0 : 1;
    }
    std::cout << "SNAPSHOT senders " << senders << ": endless " << endless
              << " of 20\n";
    EXPECT_EQ(endless, 0U);
  }
}

// More suspects than a daemon retains: an evicted one counts as new again.
TEST(suspect_order_test, MoreSuspectsThanCapacityEnd) {
  for (const std::size_t crashes : {256U, 258U, 320U}) {
    fleet all(4, 1);
    std::size_t next = 0;
    for (std::size_t i = 0; i < crashes; ++i) {
      std::vector<request_fingerprint> requests;
      for (std::size_t j = 0; j < crash_suspects::kMaxPublishedSuspects; ++j) {
        requests.push_back(Request("/more/" + std::to_string(next++)));
      }
      all.Crash(i % 4, requests);
    }
    // Each crash is sent to 3 daemons and forwarded by each of those to 3.
    const std::size_t max_frames = 2 * crashes * 12;
    const result got = all.Run(max_frames, AtRandom(1));
    std::cout << "CAPACITY suspects " << next << ": " << got << "\n";
    EXPECT_TRUE(got.ended);
  }
}

// Ten seconds of a busy daemon: requests that complete there take the slot of
// the one that was cleared.
TEST(suspect_order_test, UnrelatedCompletionsDoNotPreventTheEnd) {
  const auto requests = InOneSlot(2);
  for (const bool everywhere : {false, true}) {
    fleet all(kDaemons);
    const fleet::chooser choose = AtRandom(7);
    all.Crash(0, {requests[0]});
    all.Run(60, choose);
    all.Complete(1, requests[0]);
    result got;
    for (std::size_t i = 0; i < 100; ++i) {
      // Harmless and never suspected; at one daemon, or at all in turn.
      all.Complete(everywhere ? i % kDaemons : 2, requests[1]);
      got = all.Run(all.so_far().delivered + 40, choose);
      if (got.ended) {
        break;
      }
    }
    got = all.Run(kMaxFrames, choose);
    EXPECT_TRUE(got.ended) << got;
    EXPECT_LE(got.delivered, Bound(1)) << got;
  }
}

}  // namespace
}  // namespace pistachioweir
