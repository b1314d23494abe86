// peer_link: sends calls to the daemon beside one target, and finds out what
// became of each, also when connections are reset or go silent on the way.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "include/base/boot_clock.h"
#include "include/base/ids.h"
#include "include/base/time.h"
#include "include/config/settings.h"
#include "include/forward/view_changes.h"
#include "src/peer/frame_stream.h"
#include "src/peer/peer_frame.h"
#include "src/peer/quota_frame.h"
#include "src/peer/repeat_frame.h"
#include "src/peer/stream_load.h"

namespace pistachioweir {

struct peer_link_options {
  endpoint address;
  incarnation_id self{};
  vm_id vm;  // This daemon's.
  // A connection on which nothing came for this long, although something was
  // asked, is doubted and a second one opened. Short against the shortest usual
  // latency objective (300 ms), and longer than a machine that shares its
  // processor is held up (100 ms).
  milliseconds silence{150};
  // A peer that can't be reached for this long is given up for calls that may
  // go elsewhere.
  milliseconds patience{250};
  milliseconds connect_timeout{300};
  // The last number given to a call by this incarnation of the daemon, shared
  // by all its links. A link that is closed and made anew for the same peer
  // must not count from the beginning again: the peer would take its calls for
  // those of before, and answer them with what it had kept for those (guard
  // SHARED_NUMBERS in spec/peer_attempts.pml).
  std::shared_ptr<std::uint64_t> last_number;
  // For large frames; nullptr if they aren't bounded.
  std::shared_ptr<memory_budget> memory;
};

enum class link_state : std::uint8_t { kDown, kConnecting, kUp };

inline constexpr enum_table<link_state, 3> kLinkStateNames({"down",
                                                            "connecting",
                                                            "up"});

// Hears what a link learns of its peer. The functions that return a value must
// not close the link.
struct peer_link_events {
  // The peer can be reached, or can't; why.
  std::function<void(bool reachable, std::string_view why)> on_reachable;
  // A new connection is welcomed, whether or not the peer was reachable.
  std::function<void()> on_connected;
  std::function<void(bool leaving)> on_leaving;
  std::function<void(const load_report&)> on_load;
  std::function<void(const neighbour_report&)> on_report;
  // The peer told what its target says about itself.
  std::function<void(const known_notice&)> on_notice;
  // What a peer is told that has restarted; see frame_kind::kNotice.
  std::function<known_notice()> known_notice_of_peer;
  // Returns what the peer doesn't know.
  std::function<suspects_frame(const suspects_frame&)> on_suspects;
  // What a peer is told that has just been connected to.
  std::function<suspects_frame()> known_suspects;
  // The newest change of the store that this daemon knows of.
  std::function<std::uint64_t()> revision;
  // What changed behind `revision` as a frame, if anything did.
  std::function<std::shared_ptr<const std::string>(std::uint64_t revision)>
      changes_since;
  // The peer told what has changed.
  std::function<void(const view_changes&)> on_changes;
  // The peer proved how new its view is; it was asked at `asked`.
  std::function<void(const freshness_proof&, boot_time asked)> on_proof;
  // The peer answered a report of use.
  std::function<void(const quota_frame&)> on_quota;
  // The peer answered a report of repeats; nothing if it can't be read.
  std::function<void(const std::optional<repeat_frame>&)> on_repeat_grant;
};

// A call that was sent. `heard` tells whether the answer came from the peer;
// if not, the link made it up: not executed if no byte of the call left, else
// unknown.
struct peer_answer {
  answer_frame answer;
  bool heard = false;
};

// Numbers the calls of one peer and keeps each until it has an answer. After a
// reconnection it asks for those that were sent: the same incarnation of the
// peer tells what became of them, another one can't.
//
// Used on its context's thread only. Events and callbacks run in the link's own
// handlers, never within a call of a public method. Each handler holds a
// reference to the link, and Close() doesn't reset what a handler uses, so an
// event or a callback may close the link and drop the last other reference.
class peer_link : public std::enable_shared_from_this<peer_link> {
 public:
  using callback = std::function<void(peer_answer)>;

  peer_link(boost::asio::io_context& context,
            peer_link_options options,
            peer_link_events events);

  // Sends the call and calls `done` once, later. Returns its number, which the
  // link fills in. On a closed link the call ends as not executed.
  std::uint64_t Send(call_frame call, callback done);
  // The caller has gone: `done` is not called any more. True if nothing of the
  // call had been sent.
  bool Cancel(std::uint64_t number);
  // A peer that is slow to read is told what is known once it has read.
  void SendSuspects(std::shared_ptr<const std::string> frame);
  // Call once a second.
  void SendMissedSuspects();
  // Tells what was used of quotas; connects if need be, for the next time.
  void SendUsage(const usage_frame& usage);
  // Whether SendRepeatReport() reaches a peer that reads such reports; connects
  // if need be, for the next time.
  [[nodiscard]] bool ReadsRepeatReports();
  void SendRepeatReport(const repeat_frame& report);
  // Tries to reach the peer although there is nothing to send.
  void Probe();
  // Has the peer tell what changes in the store, from now on and over each
  // further connection, until Unfollow().
  void Follow();
  void Unfollow();
  // Asks once, if there is a connection.
  void AskChanges();
  // Likewise, how new the peer's view is.
  void AskProof();
  // Closes the connections. No event and no callback of a call that was sent
  // before runs after this, also if it's called from within one.
  void Close();

  [[nodiscard]] link_state state() const;
  [[nodiscard]] const endpoint& address() const { return options_.address; }
  // Which incarnation of the peer is connected, if one is.
  [[nodiscard]] std::optional<incarnation_id> connected() const {
    return is_up() ? std::optional(welcomed_) : std::nullopt;
  }
  [[nodiscard]] std::size_t outstanding() const { return calls_.size(); }
  // Since when nothing was asked of the peer.
  [[nodiscard]] time_point last_used() const { return last_used_; }
  // False once the peer was found to be out of reach, until it answers again.
  [[nodiscard]] bool reachable() const { return reachable_; }
  [[nodiscard]] bool follows() const { return follows_; }
  // Whether there is a connection, and the peer has answered what was asked.
  [[nodiscard]] bool IsWell(time_point now) const;
  // Since when nothing came from the peer; nothing without a connection.
  [[nodiscard]] std::optional<time_point> last_heard() const;
  // Of all its connections.
  [[nodiscard]] stream_load load() const;
  // Whether a call was ever sent.
  [[nodiscard]] bool carries_calls() const { return carries_calls_; }

 private:
  using stream_ptr = std::shared_ptr<frame_stream>;
  using socket_ptr = std::shared_ptr<boost::asio::ip::tcp::socket>;

  struct call_record {
    call_frame call;
    time_point deadline;
    callback done;
    // The peer's incarnation that it was sent to; zero if it wasn't.
    incarnation_id sent_to{};
    time_point sent_at;
  };

  // Calls the event unless the link is closed or nobody listens for it.
  template <typename... Parameters, typename... Arguments>
  void Notify(const std::function<void(Parameters...)>& event,
              Arguments&&... arguments) const {
    if (!closed_ && event) {
      event(std::forward<Arguments>(arguments)...);
    }
  }

  [[nodiscard]] bool is_up() const { return current_ != nullptr && !closed_; }
  void Connect();
  void OnConnected(const socket_ptr& socket);
  void OnConnectFailed(std::uint64_t attempt, std::string_view why);
  void OnFrame(const stream_ptr& stream, const frame_view& frame);
  bool OnChanges(std::string_view payload);
  void OnProof(const proof_frame& frame);
  void OnAskChanges(const stream_ptr& stream, std::uint64_t revision);
  void OnWelcome(const stream_ptr& stream, const welcome_frame& welcome);
  void OnAnswer(answer_frame answer);
  void OnStreamEnd(const stream_ptr& stream, std::string_view why);
  void OnBroken(const stream_ptr& stream, frame_kind kind);
  void SendKnownSuspects();
  void ResumeOrWait();
  void SendNotice();
  [[nodiscard]] known_notice NoticeOfPeer() const;
  void Resume();
  [[nodiscard]] bool NeedsPing(time_point now) const;
  void Ping();
  void Confirm(time_point until);
  // When the connection is doubted, if nothing more comes.
  [[nodiscard]] time_point DoubtedSince() const;
  void Write(call_record& record);
  // Now, or once the same incarnation of the peer is connected again.
  void SendCancel(std::uint64_t number);
  void EndCall(std::uint64_t number, outcome_kind kind, reason why);
  void GiveUpMovable();
  void ArmTimer();
  void OnTimer();
  void SetReachable(bool reachable, std::string_view why);
  [[nodiscard]] std::uint64_t SettledBelow() const;

  boost::asio::io_context& context_;
  const peer_link_options options_;
  const peer_link_events events_;
  boost::asio::steady_timer timer_;
  boost::asio::steady_timer connect_timer_;

  std::map<std::uint64_t, call_record> calls_;  // Without an answer.
  // Calls at `receiver_` that were cancelled while there was no connection.
  std::deque<std::uint64_t> unsent_cancels_;
  // Welcomed, or nullptr. Reset when the stream ends or is given up, never by
  // Close(): a closed stream ignores what is sent.
  stream_ptr current_;
  bool reads_send_time_ = false;  // The peer of `current_` does.
  peer_features features_ = peer_features::kNone;  // Likewise.
  stream_ptr candidate_;  // Connected, not welcomed yet.
  socket_ptr connecting_;
  std::uint64_t connect_attempt_ = 0;
  incarnation_id welcomed_{};  // Of the last welcome.
  // Calls may be sent over `current_`, to `receiver_`.
  bool resumed_ = false;
  incarnation_id receiver_{};  // `welcomed_` as of the last Resume().
  time_point last_asked_;      // When a ping was sent.
  // The peer has heard what was sent until then, by its last pong, welcome or
  // answer.
  time_point confirmed_;
  // When the oldest ping behind that was sent.
  time_point unconfirmed_since_ = time_point::max();
  time_point last_used_;
  // Questions for a proof that have no answer yet, the oldest first.
  std::deque<std::pair<std::uint64_t, boot_time>> proofs_asked_;
  std::uint64_t last_proof_number_ = 0;
  bool carries_calls_ = false;
  bool missed_suspects_ = false;  // Some weren't sent.
  bool follows_ = false;
  time_point unreachable_since_ = time_point::max();
  bool reachable_ = true;
  time_point timer_due_;
  bool timer_armed_ = false;
  bool closed_ = false;
};

}  // namespace pistachioweir
