// peer_frame: the messages between daemons, and their bytes.
//
// A frame is five bytes, its length and kind, and a MessagePack array. Many
// calls share one connection; answers come in any order.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "include/admit/admission_controller.h"
#include "include/base/boot_clock.h"
#include "include/base/enum_table.h"
#include "include/base/ids.h"
#include "include/base/outcome.h"
#include "include/base/time.h"
#include "include/forward/target_notice.h"
#include "include/forward/view_freshness.h"
#include "include/lineage/call_lineage.h"
#include "include/quarantine/quarantine.h"
#include "include/route/route_table.h"
#include "src/net/relayed_message.h"

namespace pistachioweir {

enum class frame_kind : std::uint8_t {
  kHello,       // The sender's first frame on a connection.
  kWelcome,     // The answer to it.
  kCall,        // An attempt.
  kAnswer,      // Its end.
  kCancel,      // The caller of an attempt has gone.
  kAsk,         // What became of an attempt that was sent before?
  kPing,        // Is this connection alive? Carries the sender's clock, except
                // from older builds. The receiver returns the first one, which
                // tells the sender that it reads call_frame::sent, and what
                // else by its peer_features.
  kPong,        // It is; with the load of the target. Also an answer to kAsk
                // of an attempt in progress, and to kFollow.
  kLeaving,     // The receiver of calls is stopping: send it no new ones.
  kSuspects,    // Requests that may have crashed a target.
  kAskChanges,  // What has changed in the store that I don't know?
  kChanges,     // That has.
  kFollow,      // As kAskChanges, and tell me what changes from now on.
  kUnfollow,    // No more.
  kAskProof,    // How new is your view proven to be?
  kProof,       // That new.
  kUsage,       // What was let in here of organisations' quotas.
  kQuota,       // The answer: what is left of them.
  kHeartbeat,   // As kPong, but sent unasked: says nothing of the way there.
  kNotice,  // What the target beside the receiver of calls says about itself,
            // whenever that changes; and back, since that daemon loses it by
            // a restart. The first one, which may be empty, tells that its
            // sender reads them and reason::kRateLimited.
  kRepeatReport,  // Repeats that the sender lends, could lend and wants.
  kRepeatGrant,   // The answer: repeats lent to it, and what the fleet wants.
};

inline constexpr enum_table<frame_kind, 22> kFrameKindNames(
    {"hello",         "welcome",     "call",   "answer",    "cancel",
     "ask",           "ping",        "pong",   "leaving",   "suspects",
     "ask_changes",   "changes",     "follow", "unfollow",  "ask_proof",
     "proof",         "usage",       "quota",  "heartbeat", "notice",
     "repeat_report", "repeat_grant"});

// Frames of another version are refused: the connection ends.
inline constexpr std::uint32_t kPeerProtocolVersion = 7;
inline constexpr std::size_t kFrameHeadBytes = 5;

// What a daemon says of its view, on frames that flow anyway.
struct neighbour_report {
  // The newest change of the platform's store that it knows of.
  std::uint64_t revision = 0;
  // How long ago a daemon that reads the store confirmed that.
  milliseconds age{0};
  // The start of the target beside it that it vouches for, since it can't reach
  // the store and so can't the target; empty otherwise. See target_vouching.h.
  std::string vouched;
  // How long ago that target gave the answer that this rests on.
  milliseconds vouched_ago{0};
  // Since the store last answered this daemon, or one that it follows; nothing
  // if that isn't known.
  std::optional<milliseconds> store_answered_ago;
};

struct hello_frame {
  incarnation_id sender{};
  std::string vm;
};

struct welcome_frame {
  incarnation_id receiver{};
  bool leaving = false;
  load_report load;
  neighbour_report report;
};

struct call_frame {
  std::uint64_t number = 0;
  // The sender has answers to all its attempts below this number.
  std::uint64_t settled_below = 0;
  std::string target_id;         // The start of the target that is meant.
  std::string route;             // Names the kind of work.
  std::uint32_t rank = 0;        // 0 matters most.
  std::uint32_t route_rank = 0;  // Of its kind, whoever it is for.
  // Requests of its kind for other organisations are to give way to it.
  bool ahead = false;
  std::uint8_t ticket = 0;
  repeat_policy repeats = repeat_policy::kAtMostOnce;
  milliseconds remaining{0};
  milliseconds objective_left{0};  // Of the latency objective.
  // The target must have begun within this time; zero if only the deadline
  // bounds that.
  milliseconds start_within{0};
  // SendTime() at which the times above were true; zero unless the receiver is
  // known to read it.
  milliseconds sent{0};
  // How long the frame waited on its way, as far as the receiver can tell. Not
  // transmitted.
  milliseconds transit{0};
  std::string caller_service;
  std::string organisation;  // Whose key the caller gave; may be empty.
  std::string request_id;
  relayed_request request;
  // Transmitted only to receivers that are known to read it.
  std::optional<call_lineage> lineage;
  bool lineage_unreadable = false;  // Received, but ignored.
};

// The sender's clock, for transit_time.
[[nodiscard]] milliseconds SendTime(boot_time now);
// Subtracts `waited` from the times of a call.
void Elapse(milliseconds waited, call_frame* call);

// Additional result of a call with a lineage.
struct lineage_result {
  // Share of requests of the root's kind that the services from here on have
  // capacity for; from 0 to 1.
  double entrance_share = 1;
  // Runs of this kind make calls, as far as the target's daemon knows.
  bool makes_calls = false;
};

struct answer_frame {
  std::uint64_t number = 0;
  outcome_kind kind = outcome_kind::kUnknown;
  reason why = reason::kNone;
  milliseconds retry_after{0};
  // Something of the request has reached the target, which may have turned it
  // away. It then counts as a send of the retry budget.
  bool reached_target = false;
  relayed_response response;  // Only with kCompleted.
  load_report load;
  neighbour_report report;
  // Calls on this route are made by targets, not by callers outside.
  bool by_targets = false;
  // The target failed, and calls that it makes fail often: another target would
  // fail alike.
  bool failed_below = false;
  microseconds queued{0};                 // Time in the queue.
  microseconds served{0};                 // Time at the target.
  std::optional<lineage_result> lineage;  // Only if the call had a lineage.
  bool lineage_unreadable = false;        // Received, but ignored.
};

struct pong_frame {
  bool leaving = false;
  load_report load;
  neighbour_report report;
};

struct proof_frame {
  std::uint64_t number = 0;  // Of the question.
  freshness_proof proof;     // Revision zero if there is none.
};

// Frames that a daemon reads besides those of kPeerProtocolVersion, as bits.
enum class peer_features : std::uint32_t {
  kNone = 0,
  kNotices = 1,
  kLineage = 2,  // call_frame::lineage.
  kRepeatSharing = 4,
};

[[nodiscard]] constexpr bool Has(peer_features features, peer_features wanted) {
  return (static_cast<std::uint32_t>(features) &
          static_cast<std::uint32_t>(wanted)) != 0;
}

struct suspects_frame {
  std::vector<quarantine_entry> entries;
  // Requests that were suspected and crash nothing.
  std::vector<request_fingerprint> cleared;

  [[nodiscard]] bool empty() const {
    return entries.empty() && cleared.empty();
  }
};

// One frame; its bytes are those of the parts in a row.
struct frame_parts {
  std::string head;
  shared_bytes body;  // Empty unless the frame has a large one.
  std::string tail;   // Likewise.
};

[[nodiscard]] std::string Join(const frame_parts& parts);
// As Encode(), without a copy of a large body.
[[nodiscard]] frame_parts EncodeParts(const call_frame& frame);

[[nodiscard]] std::string Encode(const hello_frame& frame);
[[nodiscard]] std::string Encode(const welcome_frame& frame);
[[nodiscard]] std::string Encode(const call_frame& frame);
[[nodiscard]] std::string Encode(const answer_frame& frame);
// As kPong or kHeartbeat.
[[nodiscard]] std::string Encode(const pong_frame& frame,
                                 frame_kind kind = frame_kind::kPong);
[[nodiscard]] std::string Encode(const proof_frame& frame);
[[nodiscard]] std::string Encode(const suspects_frame& frame);
[[nodiscard]] std::string Encode(const known_notice& notice);
// kCancel and kAsk carry the number of the attempt, kAskChanges and kFollow the
// revision of the asker's view, kAskProof the number of the question, kPing its
// SendTime() (see EncodePing), kLeaving and kUnfollow nothing. For kChanges see
// changes_frame.h, for kUsage and kQuota quota_frame.h,
// for kRepeatReport and kRepeatGrant repeat_frame.h.
[[nodiscard]] std::string EncodeNumbered(frame_kind kind, std::uint64_t number);
[[nodiscard]] std::string EncodePing(milliseconds sent);
// A ping that is returned to its sender, with what this build reads.
[[nodiscard]] std::string EncodeReturnedPing(milliseconds sent);
[[nodiscard]] std::string EncodeEmpty(frame_kind kind);

// Nothing if `payload` isn't exactly one frame of that kind.
[[nodiscard]] std::optional<hello_frame> DecodeHello(std::string_view payload);
[[nodiscard]] std::optional<welcome_frame> DecodeWelcome(
    std::string_view payload);
[[nodiscard]] std::optional<call_frame> DecodeCallFrame(
    std::string_view payload);
[[nodiscard]] std::optional<answer_frame> DecodeAnswerFrame(
    std::string_view payload);
[[nodiscard]] std::optional<pong_frame> DecodePong(std::string_view payload);
[[nodiscard]] std::optional<proof_frame> DecodeProof(std::string_view payload);
[[nodiscard]] std::optional<suspects_frame> DecodeSuspectsFrame(
    std::string_view payload);
[[nodiscard]] std::optional<std::uint64_t> DecodeNumber(
    std::string_view payload);
// Nothing for a ping of an older build, which carries no time.
[[nodiscard]] std::optional<milliseconds> DecodePing(std::string_view payload);

// What the peer reads that returned a ping; kNone for an older build.
[[nodiscard]] peer_features DecodeReturnedPing(std::string_view payload);
[[nodiscard]] std::optional<known_notice> DecodeNotice(
    std::string_view payload);

// The frame in front of a stream of bytes.
struct frame_view {
  frame_kind kind = frame_kind::kPing;
  std::string_view payload;
  std::size_t bytes = 0;  // Head and payload.
};

enum class frame_state : std::uint8_t { kMore, kWhole, kBroken };

// Length of the frame that `bytes` begin with; zero before its head is whole.
[[nodiscard]] std::size_t FrameLength(std::string_view bytes);

// Of a call or an answer whose first bytes are here: its kind and number.
[[nodiscard]] std::optional<std::pair<frame_kind, std::uint64_t>> LeadingNumber(
    std::string_view bytes);

// kBroken for an unknown kind or more than `max_bytes`: whatever follows can't
// be told apart any more.
[[nodiscard]] frame_state NextFrame(std::string_view bytes,
                                    std::size_t max_bytes,
                                    frame_view* frame);

}  // namespace pistachioweir
