// caller_server: accepts callers' connections.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <list>
#include <memory>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>

#include "include/base/log.h"
#include "include/config/settings.h"
#include "include/forward/service_view.h"
#include "include/memory/memory_budget.h"
#include "src/forward/caller_session.h"
#include "src/forward/origin.h"
#include "src/net/tcp_listener.h"

namespace pistachioweir {

struct caller_server_options {
  endpoint address;
  std::size_t max_connections = 4096;
  // What all parts of the daemon may hold together.
  std::shared_ptr<memory_budget> memory =
      std::make_shared<memory_budget>(memory_budget_options());
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
                              .memory = options.memory,
                              .max_write_time = recent_maximum()})) {
    state_->memory->OnShortage([this](memory_pool pool, std::size_t missing) {
      ScheduleMakingRoom(pool, missing);
    });
    Accept();
  }

  ~caller_server() { state_->memory->OnShortage(nullptr); }
  caller_server(const caller_server&) = delete;
  caller_server& operator=(const caller_server&) = delete;

  void SetLimits(const caller_limits& limits) { state_->limits = limits; }

  // Closes each connection after its next response; still accepts new ones.
  void Drain() { state_->draining = true; }

  // Refuses new requests; those in progress continue. Closes connections
  // without one, since their next request could only be refused.
  void RefuseNew() {
    state_->refusing = true;
    CloseIdle();
  }

  // Stops accepting connections: the kernel refuses new callers, which then
  // know that nothing of theirs was read. Open connections stay open.
  void StopListening() {
    listening_ = false;
    boost::system::error_code ignored;
    acceptor_.close(ignored);
  }

  // Recent maximum of the time that writing a response took.
  [[nodiscard]] duration MaxWriteTime(time_point now) {
    return state_->max_write_time.Get(now).value_or(duration(0));
  }

  // Stops accepting connections and closes those that are idle.
  void Close() {
    StopListening();
    CloseIdle();
  }

  // The address it listens on; with port 0 in the options, the assigned port.
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

  // At the limit, newcomers take the place of the connection that has been idle
  // longest. False if none is idle.
  bool CloseLongestIdle() {
    std::shared_ptr<session> longest;
    time_point since = time_point::max();
    for (const auto& weak : sessions_) {
      auto each = weak.lock();
      const auto idle = each ? each->IdleSince() : std::nullopt;
      if (idle && *idle < since) {
        since = *idle;
        longest = std::move(each);
      }
    }
    if (longest == nullptr) {
      return false;
    }
    LogEvent("caller_gives_way",
             {{.name = "why", .value = "connections"},
              {.name = "idle_ms",
               .value = std::to_string(
                   ToMilliseconds(monotonic_clock::now() - since).count())}});
    longest->CloseToMakeRoom();
    return true;
  }

  // Later: whoever needs the room may be in the middle of a session's work.
  void ScheduleMakingRoom(memory_pool pool, std::size_t missing) {
    std::size_t& most = missing_[static_cast<std::size_t>(pool)];
    most = std::max(most, missing);
    if (!std::exchange(making_room_, true)) {
      boost::asio::post(acceptor_.get_executor(), [this] {
        making_room_ = false;
        for (std::size_t i = 0; i < missing_.size(); ++i) {
          MakeRoom(static_cast<memory_pool>(i), std::exchange(missing_[i], 0));
        }
      });
    }
  }

  // Sessions that make no progress give way, so that the next bytes fit.
  void MakeRoom(memory_pool pool, std::size_t missing) {
    if (missing == 0) {
      return;
    }
    std::vector<std::shared_ptr<session>> open;
    std::vector<memory_holder> holders;
    for (const auto& weak : sessions_) {
      if (auto each = weak.lock()) {
        holders.push_back(each->Holder());
        open.push_back(std::move(each));
      }
    }
    const time_point now = monotonic_clock::now();
    std::size_t freed = 0;
    while (freed < missing) {
      const auto chosen = ChooseToGiveWay(holders, pool, now);
      if (!chosen) {
        break;
      }
      const std::size_t bytes = holders[*chosen].In(pool);
      LogEvent(
          "caller_gives_way",
          {{.name = "why", .value = "memory"},
           {.name = "pool", .value = std::string(kMemoryPoolNames.Name(pool))},
           {.name = "bytes", .value = std::to_string(bytes)},
           {.name = "missing", .value = std::to_string(missing)}});
      freed += bytes;
      holders[*chosen] = {};
      open[*chosen]->GiveWay();
    }
  }

  void Accept() {
    acceptor_.async_accept([this](boost::system::error_code error,
                                  tcp::socket socket) {
      // A connection that was accepted before the port was closed may be
      // delivered here only afterwards, since several are accepted at a
      // time. If served, its request would be in progress when the daemon
      // ends.
      if (error == boost::asio::error::operation_aborted || !listening_) {
        return;
      }
      if (!error &&
          (state_->sessions < options_.max_connections || CloseLongestIdle())) {
        auto opened = std::make_shared<session>(state_, std::move(socket));
        TrackSession(opened);
        opened->Start();
      }
      Accept();
    });
  }

  void TrackSession(const std::shared_ptr<session>& opened) {
    // Prunes ended sessions once they may be half of the list.
    if (sessions_.size() > 2 * state_->sessions + kPruneSlack) {
      std::erase_if(sessions_, [](const auto& weak) { return weak.expired(); });
    }
    sessions_.push_back(opened);
  }

  static constexpr std::size_t kPruneSlack = 64;

  const caller_server_options options_;
  tcp::acceptor acceptor_;
  bool listening_ = true;
  bool making_room_ = false;  // MakeRoom() is about to run.
  // Bytes for which it makes room, by pool.
  std::array<std::size_t, kMemoryPoolNames.size()> missing_{};
  std::shared_ptr<caller_port_state> state_;
  std::list<std::weak_ptr<session>> sessions_;
};

}  // namespace pistachioweir
