// peer_server: takes calls from other daemons and hands them to the executor,
// each once.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "include/base/ids.h"
#include "include/base/time.h"
#include "include/config/settings.h"
#include "include/forward/told_view.h"
#include "include/once/attempt_table.h"
#include "src/peer/frame_stream.h"
#include "src/peer/peer_frame.h"

namespace pistachioweir {

class executor;

struct peer_server_options {
  endpoint address;
  incarnation_id self{};
  // Called with what another daemon told of requests that crash targets.
  // Returns what that one doesn't know.
  std::function<suspects_frame(const suspects_frame&)> on_suspects;
  // Called with another daemon's view that AskForView() asked for.
  std::function<void(const told_view&)> on_view;
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
  // Tells all senders of requests that may have crashed a target.
  void Tell(const suspects_frame& suspects);
  // Asks some of the daemons that are connected, others each time, for a view
  // that is newer than `revision`. Those that have none don't answer.
  void AskForView(std::uint64_t revision);
  // Once a second.
  void Tick(time_point now);

  // Where it listens; with port 0 in the options, the port that was given.
  [[nodiscard]] endpoint address() const;
  [[nodiscard]] std::size_t sessions() const { return by_sender_.size(); }
  // Calls that were taken since the start, each attempt once.
  [[nodiscard]] std::uint64_t calls_read() const { return calls_read_; }

 private:
  class session;

  void Accept();
  void OnHello(const std::shared_ptr<session>& from, const hello_frame& hello);
  void OnCall(session& from, call_frame call);
  void OnAsk(session& from, std::uint64_t number);
  void OnCancel(const session& from, std::uint64_t number);
  void OnEnd(const std::shared_ptr<session>& ended);
  void OnAnswer(const attempt_key& attempt, const answer_frame& answer);
  [[nodiscard]] pong_frame Pong() const;
  void SendRefusal(session& to, std::uint64_t number);
  [[nodiscard]] session* Find(incarnation_id sender);

  const peer_server_options options_;
  executor& calls_;
  boost::asio::ip::tcp::acceptor acceptor_;
  attempt_table attempts_;
  std::uint64_t calls_read_ = 0;
  std::uint64_t last_asked_ = 0;            // For a view; a sender.
  std::set<std::shared_ptr<session>> all_;  // Connections that are open.
  // The newest connection of each sender.
  std::map<std::uint64_t, std::shared_ptr<session>> by_sender_;
  // Names at the executor of attempts in progress, by sender and number.
  std::unordered_map<std::uint64_t,
                     std::unordered_map<std::uint64_t, std::uint64_t>>
      running_;
};

}  // namespace pistachioweir
