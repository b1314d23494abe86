// peer_server: takes calls from other daemons and hands them to the executor,
// each once.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "include/base/ids.h"
#include "include/base/time.h"
#include "include/config/settings.h"
#include "include/forward/view_changes.h"
#include "include/forward/view_freshness.h"
#include "include/memory/memory_budget.h"
#include "include/once/attempt_table.h"
#include "src/peer/frame_stream.h"
#include "src/peer/peer_frame.h"
#include "src/peer/quota_frame.h"
#include "src/peer/repeat_frame.h"
#include "src/peer/stream_load.h"
#include "src/peer/transit_time.h"

namespace pistachioweir {

class executor;

struct peer_server_options {
  endpoint address;
  incarnation_id self{};
  // For large frames, bodies and answers; nullptr if they aren't bounded.
  std::shared_ptr<memory_budget> memory;
  // Called with what another daemon told of requests that crash targets.
  // Returns what that one doesn't know.
  std::function<suspects_frame(const suspects_frame&)> on_suspects;
  // The newest change of the store that this daemon knows of.
  std::function<std::uint64_t()> revision;
  // What changed in the store behind `revision` as a frame, if anything did.
  std::function<std::shared_ptr<const std::string>(std::uint64_t revision)>
      changes_since;
  // A daemon told what it used of quotas. Returns what is left of them.
  std::function<quota_report(incarnation_id sender, const usage_report&)>
      on_usage;
  // A daemon reported repeats in a frame that waited for `transit`; nothing if
  // it can't be read. Returns the grant, if there is an answer.
  std::function<std::optional<repeat_entries>(
      incarnation_id sender,
      const std::optional<repeat_frame>& report,
      milliseconds transit)>
      on_repeat_report;
  // How new the view is proven to be; nothing if it isn't.
  std::function<std::optional<freshness_proof>()> proof;
  // Another daemon told what has changed, since AskForChanges() asked it.
  std::function<void(const view_changes&)> on_changes;
};

struct follower_counters {
  std::uint64_t told = 0;     // Frames of changes.
  std::uint64_t put_off = 0;  // To followers that were slow to read.
};

// Owns the listening socket, the connections, and the record of attempts. An
// answer goes out over whichever connection its sender has then. Used on its
// context's thread only.
class peer_server {
 public:
  // Binds and listens. Throws boost::system::system_error if it can't.
  peer_server(boost::asio::io_context& context,
              peer_server_options options,
              executor& calls);
  ~peer_server();

  // Tells all senders that this daemon is stopping.
  void Drain();
  // Sends a frame of suspects to those of `to` that are connected.
  void SendSuspects(const std::shared_ptr<const std::string>& frame,
                    const std::set<incarnation_id>& to);
  // Asks some of the daemons that are connected, others each time, what has
  // changed behind `revision`. Those that know of nothing don't answer.
  void AskForChanges(std::uint64_t revision);
  // Tells all followers what they don't know, but for `except`, the daemon that
  // told it.
  void TellFollowers(const std::string& except);
  // Tells the daemons that call here what the target says about itself now.
  void PublishNotice();
  // Tells them that this daemon is there, and how old its view is. Call several
  // times a second.
  void Heartbeat();
  // Once a second.
  void Tick(time_point now);

  // Where it listens; with port 0 in the options, the port that was given.
  [[nodiscard]] endpoint address() const;
  [[nodiscard]] std::size_t sessions() const { return by_sender_.size(); }
  // Daemons that are connected.
  [[nodiscard]] std::set<incarnation_id> senders() const;
  // Of all connections.
  [[nodiscard]] stream_load load() const;
  // Of answers that are kept until their senders have them.
  [[nodiscard]] std::size_t answer_bytes() const { return attempts_.bytes(); }
  [[nodiscard]] std::size_t followers() const;
  [[nodiscard]] const follower_counters& counters() const { return counters_; }
  // Calls that were taken since the start, each attempt once.
  [[nodiscard]] std::uint64_t calls_read() const { return calls_read_; }

 private:
  class session;

  void Accept();
  void OnHello(const std::shared_ptr<session>& from, const hello_frame& hello);
  void OnCall(session& from, call_frame call);
  // There was no room for the frame of a call, or for its body.
  void OnDropped(session& from, std::uint64_t number);
  void RefuseForRoom(const attempt_key& attempt);
  [[nodiscard]] bool ReserveBody(call_frame* call) const;
  void OnAsk(session& from, std::uint64_t number);
  void OnCancel(const session& from, std::uint64_t number);
  // Returns how long a message of `sender` waited that was sent at `sent`.
  milliseconds Transit(incarnation_id sender, milliseconds sent);
  void OnEnd(const std::shared_ptr<session>& ended);
  void OnAnswer(const attempt_key& attempt, const answer_frame& answer);
  // The answer's bytes, or those of one without a body if it doesn't fit.
  [[nodiscard]] std::shared_ptr<const std::string> EncodeToKeep(
      const answer_frame& answer,
      bool reads_notices) const;
  [[nodiscard]] pong_frame Pong() const;
  void SendRefusal(session& to, std::uint64_t number);
  bool TellChanges(session& to, std::uint64_t revision);
  void OnAskProof(session& from, std::uint64_t number);
  void OnNotice(session& from, const known_notice& notice);
  void OnFollow(session& from, std::optional<std::uint64_t> revision);
  [[nodiscard]] session* Find(incarnation_id sender);

  const peer_server_options options_;
  executor& calls_;
  boost::asio::ip::tcp::acceptor acceptor_;
  attempt_table attempts_;
  std::uint64_t calls_read_ = 0;
  // By sender; kept for as long as its attempts.
  std::unordered_map<std::uint64_t, transit_time> transit_;
  follower_counters counters_;
  std::uint64_t last_asked_ = 0;            // For changes; a sender.
  std::set<std::shared_ptr<session>> all_;  // Connections that are open.
  // The newest connection of each sender.
  std::map<std::uint64_t, std::shared_ptr<session>> by_sender_;
  // Names at the executor of attempts in progress, by sender and number.
  std::unordered_map<std::uint64_t,
                     std::unordered_map<std::uint64_t, std::uint64_t>>
      running_;
};

}  // namespace pistachioweir
