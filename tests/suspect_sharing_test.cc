// Number of frames that publish suspects.
#include "src/forward/suspect_sharing.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "include/quarantine/crash_suspects.h"
#include "tests/support/run_until.h"

namespace pistachioweir {
namespace {

constexpr std::size_t kAll = std::numeric_limits<std::size_t>::max();

request_fingerprint Request(std::uint64_t number) {
  return {.high = number, .low = number * 7919};
}

struct sent_frame {
  suspects_frame frame;
  std::size_t max_peers = 0;
};

class suspect_sharing_test : public testing::Test {
 protected:
  boost::asio::io_context context_;
  std::vector<sent_frame> sent_;
  suspect_sharing sharing_{
      context_, [this](const suspects_frame& frame, std::size_t max_peers) {
        sent_.push_back({.frame = frame, .max_peers = max_peers});
      }};
};

// Guards against a suspect that crashes the next target while its publication
// is delayed.
TEST_F(suspect_sharing_test, SuspectsArePublishedAtOnce) {
  sharing_.Publish({.entries = {{.fingerprint = Request(1)}}, .cleared = {}},
                   suspects_source::kLocal);
  sharing_.Publish({.entries = {{.fingerprint = Request(2)}}, .cleared = {}},
                   suspects_source::kRemote);
  ASSERT_EQ(sent_.size(), 2U);
  EXPECT_EQ(sent_[0].max_peers, kAll);
  EXPECT_EQ(sent_[1].max_peers, kForwardFanout);
}

// Guards against one frame per daemon for each suspect that completes.
TEST_F(suspect_sharing_test, ClearedRequestsAreBatched) {
  for (std::uint64_t i = 0; i < 50; ++i) {
    sharing_.Publish({.entries = {}, .cleared = {Request(i)}},
                     suspects_source::kLocal);
    sharing_.Publish({.entries = {}, .cleared = {Request(100 + i)}},
                     suspects_source::kRemote);
  }
  EXPECT_TRUE(sent_.empty());
  ASSERT_TRUE(RunUntil(context_, [this] { return sent_.size() == 2; }));
  EXPECT_EQ(sent_[0].frame.cleared.size(), 50U);
  EXPECT_EQ(sent_[0].max_peers, kAll);
  EXPECT_EQ(sent_[1].frame.cleared.size(), 50U);
  EXPECT_EQ(sent_[1].max_peers, kForwardFanout);
}

// A daemon without sockets: frames to others are posted.
struct simulated_daemon {
  simulated_daemon(boost::asio::io_context& context,
                   std::uint64_t number,
                   suspect_sharing::sender send)
      : suspects(incarnation_id{number}), sharing(context, std::move(send)) {}

  crash_suspects suspects;
  suspect_sharing sharing;
  std::size_t frames = 0;
  std::size_t updates = 0;
};

// Guards against a simultaneous crash of several targets after which each
// daemon receives some hundred times as many frames as updates.
TEST(SuspectSharingFleetTest, FramesPerUpdateAreBounded) {
  constexpr std::size_t kDaemons = 59;
  constexpr std::size_t kCrashes = 18;
  constexpr std::uint64_t kSuspects = 16;  // Of each crash.
  constexpr std::size_t kMaxFramesPerUpdate = 10;
  const time_point now{seconds(1000)};
  boost::asio::io_context context;
  std::mt19937_64 random(606);
  std::vector<std::unique_ptr<simulated_daemon>> daemons;
  const auto receive = [&](std::size_t at, const suspects_frame& frame) {
    simulated_daemon& to = *daemons[at];
    ++to.frames;
    const suspects_frame updates{
        .entries = to.suspects.Import(frame.entries, now),
        .cleared = to.suspects.OnCleared(frame.cleared, now)};
    to.updates += updates.entries.size() + updates.cleared.size();
    if (!updates.empty()) {
      to.sharing.Publish(updates, suspects_source::kRemote);
    }
  };
  for (std::size_t i = 0; i < kDaemons; ++i) {
    daemons.push_back(std::make_unique<simulated_daemon>(
        context, i + 1,
        [&, i](const suspects_frame& frame, std::size_t max_peers) {
          std::vector<std::size_t> others;
          for (std::size_t to = 0; to < kDaemons; ++to) {
            if (to != i) {
              others.push_back(to);
            }
          }
          std::ranges::shuffle(others, random);
          others.resize(std::min(others.size(), max_peers));
          for (const std::size_t to : others) {
            boost::asio::post(context,
                              [&receive, to, frame] { receive(to, frame); });
          }
        }));
  }
  std::uint64_t suspect = 0;
  for (std::size_t crash = 0; crash < kCrashes; ++crash) {
    for (std::uint64_t i = 0; i < kSuspects; ++i) {
      daemons[crash]->suspects.OnInterrupted(Request(++suspect), now, now);
    }
    daemons[crash]->sharing.Publish(
        {.entries = daemons[crash]->suspects.OnTargetCrash(now), .cleared = {}},
        suspects_source::kLocal);
  }
  context.poll();  // Delivers what is published at once.
  // Each request is retried by its caller, and completes.
  for (std::uint64_t each = 1; each <= suspect; ++each) {
    simulated_daemon& at = *daemons[random() % kDaemons];
    if (at.suspects.OnCompleted(Request(each), now)) {
      at.sharing.Publish({.entries = {}, .cleared = {Request(each)}},
                         suspects_source::kLocal);
    }
  }
  context.restart();
  context.run();  // Returns only if forwarding ends.
  for (const auto& daemon : daemons) {
    EXPECT_TRUE(daemon->suspects.empty());
    EXPECT_LE(daemon->frames, kMaxFramesPerUpdate * daemon->updates);
  }
}

}  // namespace
}  // namespace pistachioweir
