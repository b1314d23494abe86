// Links whose owners close them from within their events.
#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "include/base/call_log.h"
#include "include/base/enum_table.h"
#include "include/forward/lapsed_targets.h"
#include "include/forward/service_view.h"
#include "src/forward/executor.h"
#include "src/forward/origin.h"
#include "src/peer/changes_frame.h"
#include "src/peer/peer_link.h"
#include "src/peer/quota_frame.h"
#include "src/peer/repeat_frame.h"
#include "tests/support/run_until.h"
#include "tests/support/scripted_peer.h"

namespace pistachioweir {
namespace {

enum class link_event : std::uint8_t {
  kReachable,
  kUnreachable,
  kConnected,
  kLeaving,
  kLoad,
  kReport,
  kNotice,
  kChanges,
  kProof,
  kQuota,
  kRepeatGrant,
  kAnswer,
  kUnsentCallGivenUp,
};

constexpr enum_table<link_event, 13> kLinkEventNames(
    {"Reachable", "Unreachable", "Connected", "Leaving", "Load", "Report",
     "Notice", "Changes", "Proof", "Quota", "RepeatGrant", "Answer",
     "UnsentCallGivenUp"});

// Answers each frame with one of every kind that a link hears.
std::string EveryFrame(const frame_view& frame) {
  if (frame.kind == frame_kind::kHello) {
    return Encode(welcome_frame{.receiver = incarnation_id{9}});
  }
  if (frame.kind == frame_kind::kCall) {
    answer_frame answer;
    answer.number =
        DecodeCallFrame(frame.payload).value_or(call_frame()).number;
    answer.kind = outcome_kind::kNotExecuted;
    return Encode(answer);
  }
  if (frame.kind == frame_kind::kAskProof) {
    return Encode(proof_frame{.number = *DecodeNumber(frame.payload)});
  }
  if (frame.kind != frame_kind::kPing) {
    return {};
  }
  const known_notice notice{.start = "target-1", .leaving = true};
  const view_changes changes{.after = 0, .revision = 1};
  return EncodeReturnedPing(milliseconds(0)) + Encode(notice) +
         Encode(changes) + Encode(quota_frame{}) +
         Encode(repeat_frame{}, frame_kind::kRepeatGrant) +
         EncodeEmpty(frame_kind::kLeaving) + Encode(pong_frame{});
}

class peer_link_close_test : public testing::TestWithParam<link_event> {
 protected:
  // Makes a link that is closed and dropped at its first event of the kind.
  void MakeLink(const endpoint& address) {
    const auto listener = [this](link_event event) {
      return [this, event](const auto&...) { OnEvent(event); };
    };
    link_ = std::make_shared<peer_link>(
        context_,
        peer_link_options{.address = address,
                          .self = incarnation_id{7},
                          .vm = "vm-1",
                          .last_number = std::make_shared<std::uint64_t>(0)},
        peer_link_events{
            .on_reachable =
                [this](bool reachable, std::string_view) {
                  OnEvent(reachable ? link_event::kReachable
                                    : link_event::kUnreachable);
                },
            .on_connected = listener(link_event::kConnected),
            .on_leaving = listener(link_event::kLeaving),
            .on_load = listener(link_event::kLoad),
            .on_report = listener(link_event::kReport),
            .on_notice = listener(link_event::kNotice),
            .known_notice_of_peer =
                [] { return known_notice{.start = "t", .leaving = true}; },
            .on_suspects =
                [](const suspects_frame&) { return suspects_frame{}; },
            .known_suspects =
                [] {
                  suspects_frame known;
                  known.cleared.push_back({.high = 1, .low = 1});
                  return known;
                },
            .revision = [] { return std::uint64_t{0}; },
            .on_changes = listener(link_event::kChanges),
            .on_proof = listener(link_event::kProof),
            .on_quota = listener(link_event::kQuota),
            .on_repeat_grant = listener(link_event::kRepeatGrant)});
  }

  void Send() {
    link_->Send({.target_id = "target-1",
                 .route = "look",
                 .repeats = repeat_policy::kIdempotent,
                 .remaining = milliseconds(15000)},
                [this](const peer_answer& answer) {
                  OnEvent(answer.heard ? link_event::kAnswer
                                       : link_event::kUnsentCallGivenUp);
                });
  }

  void OnEvent(link_event event) {
    if (closed_) {
      ++events_after_close_;
    } else if (event == GetParam()) {
      closed_ = true;
      link_->Close();
      link_.reset();
    }
  }

  // Asks for what the peer only sends on request, until the link is closed.
  void RunUntilClosed() {
    EXPECT_TRUE(RunUntil(context_, [&] {
      if (link_ != nullptr && link_->state() == link_state::kUp) {
        link_->AskProof();
      }
      return closed_;
    }));
    const time_point end = monotonic_clock::now() + milliseconds(60);
    EXPECT_TRUE(
        RunUntil(context_, [&] { return monotonic_clock::now() >= end; }));
  }

  boost::asio::io_context context_;
  std::shared_ptr<peer_link> link_;
  bool closed_ = false;
  int events_after_close_ = 0;
};

// Guards against a link that goes on with a connection that one of its own
// events has closed: the daemon ended with SIGSEGV.
TEST_P(peer_link_close_test, AnEventMayCloseTheLink) {
  auto peer = std::make_unique<scripted_peer>(
      context_, endpoint{.ip = "127.0.0.1", .port = 0}, EveryFrame);
  const endpoint address = peer->address();
  const bool begins_unreachable = GetParam() == link_event::kReachable ||
                                  GetParam() == link_event::kUnreachable ||
                                  GetParam() == link_event::kUnsentCallGivenUp;
  if (begins_unreachable) {
    peer.reset();
  }
  MakeLink(address);
  // Several, so that the end of one is followed by that of another.
  for (int i = 0; i < 3; ++i) {
    Send();
  }
  if (begins_unreachable && GetParam() != link_event::kUnsentCallGivenUp) {
    ASSERT_TRUE(RunUntil(context_, [&] {
      return closed_ || (link_ != nullptr && !link_->reachable());
    }));
    peer = std::make_unique<scripted_peer>(context_, address, EveryFrame);
  }
  RunUntilClosed();
  EXPECT_EQ(events_after_close_, 0);
}

std::vector<link_event> AllEvents() {
  std::vector<link_event> all;
  for (std::size_t i = 0; i < kLinkEventNames.size(); ++i) {
    all.push_back(static_cast<link_event>(i));
  }
  return all;
}

INSTANTIATE_TEST_SUITE_P(EachEvent,
                         peer_link_close_test,
                         testing::ValuesIn(AllEvents()),
                         [](const auto& info) {
                           return std::string(kLinkEventNames.Name(info.param));
                         });

// Guards against a call on a closed link that is never answered.
TEST(ClosedLinkTest, ACallOnAClosedLinkIsNotExecuted) {
  boost::asio::io_context context;
  const auto link = std::make_shared<peer_link>(
      context,
      peer_link_options{.address = {.ip = "127.0.0.1", .port = 1},
                        .last_number = std::make_shared<std::uint64_t>(0)},
      peer_link_events{});
  link->Close();
  std::optional<peer_answer> answer;
  link->Send({.remaining = milliseconds(1000)},
             [&](peer_answer given) { answer = std::move(given); });
  EXPECT_FALSE(answer.has_value());
  ASSERT_TRUE(RunUntil(context, [&] { return answer.has_value(); }));
  EXPECT_EQ(answer->answer.kind, outcome_kind::kNotExecuted);
  EXPECT_FALSE(answer->heard);
}

// Guards against a crash of all daemons when a daemon that had vouched for its
// target's expired entry is back after a restart and no longer vouches for it:
// its welcome makes the origin close the link that the welcome arrived on.
TEST(OriginLinkCloseTest, ADaemonThatNoLongerVouchesForItsTargetIsLeft) {
  const std::string ip = "127.0.0.9";
  boost::asio::io_context context;
  call_log log{{}};
  executor local(
      context,
      [](const target_run&, const std::function<void(run_result)>&) {
        return [] {};
      },
      log);
  auto view = std::make_shared<service_view>();
  view->config = std::make_shared<service_config>();
  view->targets = {{.id = "target-1",
                    .service = "registry",
                    .address = {.ip = ip, .port = 1},
                    .slots = 8}};
  std::string vouched = StartName(view->targets.front());
  int pings = 0;
  scripted_peer peer(
      context, {.ip = ip, .port = 0}, [&](const frame_view& frame) {
        const neighbour_report report{.vouched = vouched};
        pings += frame.kind == frame_kind::kPing ? 1 : 0;
        if (frame.kind == frame_kind::kHello) {
          return Encode(welcome_frame{
              .receiver = incarnation_id{vouched.empty() ? 10U : 9U},
              .report = report});
        }
        return frame.kind == frame_kind::kPing
                   ? Encode(pong_frame{.report = report})
                   : std::string();
      });
  origin calls(context,
               {.vm = "vm-1",
                .service = "registry",
                .peer_port = peer.address().port,
                .self = incarnation_id{7},
                .revision = [] { return std::uint64_t{0}; }},
               local, log);
  calls.SetView(view);
  calls.PushSuspectsToUnlinked();
  ASSERT_TRUE(RunUntil(context, [&] { return calls.linked().size() == 1; }));

  const auto without_target = std::make_shared<service_view>(*view);
  without_target->targets.clear();
  calls.SetView(without_target);
  ASSERT_EQ(calls.view()->targets.size(), 1U);

  // The connection ends, and the daemon is another incarnation afterwards.
  ASSERT_TRUE(RunUntil(context, [&] { return pings > 0; }));
  vouched.clear();
  peer.Send("not a frame");
  ASSERT_TRUE(RunUntil(context, [&] { return peer.connections() == 2; }));
  ASSERT_TRUE(RunUntil(context, [&] { return calls.view()->targets.empty(); }));
  EXPECT_TRUE(calls.linked().empty());
}

}  // namespace
}  // namespace pistachioweir
