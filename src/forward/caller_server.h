// caller_server: the port for callers.
#pragma once

#include <cstddef>
#include <list>
#include <memory>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "include/config/settings.h"
#include "include/forward/service_view.h"
#include "src/forward/caller_session.h"
#include "src/forward/origin.h"
#include "src/net/tcp_listener.h"

namespace pistachioweir {

struct caller_server_options {
  endpoint address;
  std::size_t max_connections = 4096;
  std::size_t max_held_bytes = 64 << 20;
};

// Owns the listening socket; sessions own themselves. Used on its context's
// thread only.
template <caller_protocol Protocol>
class caller_server {
 public:
  // Binds and listens. Throws boost::system::system_error if it can't.
  caller_server(boost::asio::io_context& context,
                const caller_server_options& options,
                origin& calls)
      : options_(options),
        acceptor_(Listen(context, options.address)),
        state_(std::make_shared<caller_port_state>(
            caller_port_state{.calls = calls,
                              .max_held_bytes = options.max_held_bytes,
                              .max_write_time = recent_maximum()})) {
    Accept();
  }

  void SetLimits(const caller_limits& limits) { state_->limits = limits; }

  // Each connection ends behind its next answer; new ones are still taken.
  void Drain() { state_->draining = true; }

  // Requests are refused from now on; those in progress go on. A connection
  // without one ends: what its caller sent next could only be refused.
  void RefuseNew() {
    state_->refusing = true;
    CloseIdle();
  }

  // Takes no more connections: callers that come are refused by the kernel and
  // know that nothing of theirs was read. Those that are open go on.
  void StopListening() {
    listening_ = false;
    boost::system::error_code ignored;
    acceptor_.close(ignored);
  }

  // Most that an answer took lately to be written.
  [[nodiscard]] duration MaxWriteTime(time_point now) {
    return state_->max_write_time.Get(now).value_or(duration(0));
  }

  // Takes no more connections and ends those that are idle.
  void Close() {
    StopListening();
    CloseIdle();
  }

  // Where it listens; with port 0 in the options, the port that was given.
  [[nodiscard]] endpoint address() const { return LocalEndpoint(acceptor_); }

  [[nodiscard]] const caller_port_state& state() const { return *state_; }

 private:
  using tcp = boost::asio::ip::tcp;
  using session = caller_session<Protocol>;

  void CloseIdle() {
    for (const auto& weak : sessions_) {
      if (const auto open = weak.lock()) {
        open->CloseIfIdle();
      }
    }
  }

  void Accept() {
    acceptor_.async_accept(
        [this](boost::system::error_code error, tcp::socket socket) {
          // A connection may have been taken before the port was closed and
          // only turn up here behind it, since several are taken at a time.
          // Served, its request would be in progress when the daemon ends.
          if (error == boost::asio::error::operation_aborted || !listening_) {
            return;
          }
          if (!error && state_->sessions < options_.max_connections) {
            auto opened = std::make_shared<session>(state_, std::move(socket));
            TrackSession(opened);
            opened->Start();
          }
          Accept();
        });
  }

  void TrackSession(const std::shared_ptr<session>& opened) {
    // Ended ones are cleared once they may be half of all.
    if (sessions_.size() > 2 * state_->sessions + kPruneSlack) {
      std::erase_if(sessions_, [](const auto& weak) { return weak.expired(); });
    }
    sessions_.push_back(opened);
  }

  static constexpr std::size_t kPruneSlack = 64;

  const caller_server_options options_;
  tcp::acceptor acceptor_;
  bool listening_ = true;
  std::shared_ptr<caller_port_state> state_;
  std::list<std::weak_ptr<session>> sessions_;
};

}  // namespace pistachioweir
