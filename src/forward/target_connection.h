// target_connection: one connection to the target beside the daemon.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "include/base/log.h"
#include "include/base/time.h"
#include "include/config/settings.h"
#include "include/memory/memory_budget.h"
#include "src/forward/carried_ids.h"
#include "src/forward/target_run.h"
#include "src/net/http_message.h"
#include "src/net/http_reader.h"
#include "src/net/tcp_options.h"

namespace pistachioweir {

// How long the kernel waits for a target on the same machine to acknowledge
// bytes before it ends the connection. Loopback acknowledges within
// microseconds; the margin is for a machine that is short of processor time.
inline constexpr milliseconds kTargetAckTimeout{1000};
inline constexpr milliseconds kTargetConnectTimeout{500};
// An idle connection is not used again from this long before the target would
// close it: a request that crosses the close would be lost.
inline constexpr milliseconds kIdleMargin{1000};
// Used if the target doesn't announce how long it keeps idle connections.
inline constexpr milliseconds kDefaultIdleTimeout{4000};

// Owns the socket. Kept alive by its pending operations, and by the pool while
// it is idle. Carries each id once: a late second copy of an answer could not
// be told from the answer to a second request with that id (guards MATCH_ID and
// FRESH_FOR_ID in spec/answer_ids.pml). The pool chooses by MayCarry().
template <target_protocol Protocol>
class target_connection
    : public std::enable_shared_from_this<target_connection<Protocol>> {
 public:
  using self_ptr = std::shared_ptr<target_connection>;
  using callback = std::function<void(run_result)>;
  using listener = std::function<void(const self_ptr&)>;

  // Without `memory`, answers are bounded by the limits alone. `number` names
  // the connection in logs; `seed` is that of carried_ids.
  target_connection(boost::asio::io_context& context,
                    const endpoint& target,
                    const read_limits& limits,
                    std::shared_ptr<memory_budget> memory,
                    std::uint64_t number,
                    std::uint64_t seed)
      : socket_(context),
        timer_(context),
        target_(target),
        limits_(limits),
        memory_(std::move(memory)),
        number_(number),
        carried_(seed) {}

  // Sends `run`. `on_reusable` is called if the connection may be used again.
  void Run(target_run run, callback done, listener on_reusable) {
    run_ = std::move(run);
    first_run_ = carried_.empty();
    carried_.Add(run_.request_id);
    stray_answers_ = 0;
    done_ = std::move(done);
    on_reusable_ = std::move(on_reusable);
    on_closed_ = nullptr;
    response_begun_ = false;
    written_ = false;
    head_.clear();
    reader_.emplace(limits_, run_.request.verb == "HEAD");
    ArmDeadline();
    if (connected_) {
      Write();
    } else {
      Connect();
    }
  }

  // Marks the connection idle. `on_closed` is called if the target closes it or
  // sends unsolicited bytes.
  void WaitIdle(listener on_closed) {
    idle_since_ = monotonic_clock::now();
    on_closed_ = std::move(on_closed);
  }

  [[nodiscard]] bool IsUsable(time_point now) const {
    return socket_.is_open() && now - idle_since_ < max_idle_;
  }
  // Whether no request with this id was sent on the connection.
  [[nodiscard]] bool MayCarry(std::string_view id) const {
    return !carried_.MayContain(id);
  }

  void Cancel() {
    if (done_) {
      FinishAndClose({.end = run_end::kCancelled});
    }
  }

  void Close() {
    boost::system::error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
  }

 private:
  using error_code = boost::system::error_code;
  using tcp = boost::asio::ip::tcp;

  void ArmDeadline() {
    timer_.expires_at(run_.deadline);
    timer_.async_wait([self = this->shared_from_this(),
                       deadline = run_.deadline](error_code error) {
      if (!error && self->done_ && self->run_.deadline == deadline) {
        self->FinishAndClose({.end = run_end::kTimedOut});
      }
    });
  }

  void Connect() {
    const tcp::endpoint remote(boost::asio::ip::make_address(target_.ip),
                               target_.port);
    error_code ignored;
    socket_.open(remote.protocol(), ignored);
    auto timeout =
        std::make_shared<boost::asio::steady_timer>(socket_.get_executor());
    timeout->expires_after(kTargetConnectTimeout);
    timeout->async_wait([self = this->shared_from_this()](error_code error) {
      if (!error && !self->connected_ && self->done_) {
        self->FinishAndClose({.end = run_end::kNotSent});
      }
    });
    socket_.async_connect(
        remote, [self = this->shared_from_this(), timeout](error_code error) {
          timeout->cancel();
          self->OnConnected(error);
        });
  }

  void OnConnected(error_code error) {
    if (!done_) {
      return;
    }
    if (error) {
      FinishAndClose({.end = run_end::kNotSent,
                      .connection_refused =
                          error == boost::asio::error::connection_refused});
      return;
    }
    connected_ = true;
    SetUpConnection(socket_, kTargetAckTimeout);
    Write();
    Read();
  }

  void Write() {
    const auto left = std::chrono::duration_cast<milliseconds>(
        run_.deadline - monotonic_clock::now());
    if (left.count() <= 0) {
      // Posted, since `done` must never be called from within Run().
      boost::asio::post(socket_.get_executor(),
                        [self = this->shared_from_this()] {
                          if (self->done_ && self->head_.empty()) {
                            self->FinishAndClose({.end = run_end::kNotSent});
                          }
                        });
      return;
    }
    head_ = RequestHead(run_.request, Protocol::Headers(run_, left));
    const std::array<boost::asio::const_buffer, 2> parts{
        boost::asio::buffer(head_),
        boost::asio::buffer(run_.request.body.str())};
    boost::asio::async_write(
        socket_, parts,
        [self = this->shared_from_this(), body = run_.request.body](
            error_code error, std::size_t) {
          // A write error shows on the read as well, where a response may
          // still precede it.
          self->written_ = !error;
        });
  }

  // One read is always pending, also while the connection is idle, so that a
  // close by the target is detected before a request is sent on it.
  void Read() {
    socket_.async_read_some(
        boost::asio::buffer(chunk_),
        [self = this->shared_from_this()](error_code error, std::size_t bytes) {
          self->OnRead(error, bytes);
        });
  }

  void OnRead(error_code error, std::size_t bytes) {
    if (!done_) {
      // The target closed the idle connection or sent unsolicited bytes.
      if (!error) {
        LogEvent("target_bytes_unsolicited",
                 {{.name = "connection", .value = std::to_string(number_)},
                  {.name = "last_request", .value = run_.request_id},
                  {.name = "bytes", .value = std::to_string(bytes)}});
      }
      CloseWhileIdle();
      return;
    }
    if (error) {
      OnReadError(error);
      return;
    }
    response_begun_ = true;
    buffer_.append(chunk_.data(), bytes);
    if (ProcessReceived()) {
      Read();
    }
  }

  // Returns whether to continue reading.
  bool ProcessReceived() {
    for (;;) {
      std::size_t taken = 0;
      const read_state state = reader_->Feed(buffer_, &taken);
      buffer_.erase(0, taken);
      if (state == read_state::kFailed) {
        FinishAndClose({.end = run_end::kLost, .problem = reader_->problem()});
        return false;
      }
      if (!ReserveIncoming()) {
        FinishAndClose(
            {.end = run_end::kLost, .problem = read_problem::kNoRoom});
        return false;
      }
      if (state == read_state::kMore) {
        return true;
      }
      if (OnMessage(reader_->Take())) {
        return connected_ && socket_.is_open();
      }
      reader_.emplace(limits_, run_.request.verb == "HEAD");
      if (buffer_.empty()) {
        return true;
      }
    }
  }

  [[nodiscard]] bool ReserveIncoming() {
    const std::size_t bytes = reader_->body_bytes();
    if (memory_ != nullptr && incoming_.bytes() == 0 &&
        bytes > kMaxSmallReservation) {
      incoming_ = memory_->Open(memory_use::kRuns);
    }
    return bytes <= kMaxSmallReservation || incoming_.Resize(bytes);
  }

  void OnReadError(error_code error) {
    // A response without a length ends with its connection, if that is closed
    // in order; after a reset it is unknown how much is missing. A write under
    // way is told of the reset instead of the read, which then ends in order.
    if (error == boost::asio::error::eof && written_ &&
        reader_->FeedEnd() == read_state::kDone && OnMessage(reader_->Take())) {
      return;
    }
    if (done_) {
      FinishAndClose({.end = run_end::kLost, .interrupted = !response_begun_});
    }
  }

  // Returns whether the request has been answered.
  bool OnMessage(read_response response) {
    constexpr int kFirstFinalStatus = 200;
    if (response.status < kFirstFinalStatus) {
      return false;
    }
    const target_answer answer = Protocol::Classify(run_, response, first_run_);
    if (answer == target_answer::kOtherRequest) {
      ++stray_answers_;
      return false;
    }
    if (answer == target_answer::kUnattributable) {
      FinishAndClose({.end = run_end::kLost});
      return true;
    }
    if (answer == target_answer::kUnproven) {
      FinishAndClose(
          {.end = run_end::kLost, .problem = read_problem::kUnproven});
      return true;
    }
    run_result result{.end = EndOf(answer), .closing = !response.keep_alive};
    if (answer != target_answer::kWrongTarget) {
      result.notice = Protocol::Notice(response);
    }
    result.response = {.status = response.status,
                       .header_block = ToBlock(response.headers),
                       .body = std::move(response.body)};
    if (written_ && stray_answers_ == 0 && buffer_.empty() &&
        response.keep_alive && !carried_.full() && socket_.is_open()) {
      max_idle_ = IdleTime(response.keep_alive_header);
      FinishAndKeep(std::move(result));
    } else {
      FinishAndClose(std::move(result));
    }
    return true;
  }

  static run_end EndOf(target_answer answer) {
    switch (answer) {
      case target_answer::kNotExecuted:
        return run_end::kNotExecuted;
      case target_answer::kWrongTarget:
        return run_end::kWrongTarget;
      default:
        return run_end::kAnswered;
    }
  }

  // Parses "timeout=N", in whole seconds.
  static milliseconds IdleTime(std::string_view keep_alive) {
    constexpr std::string_view kName = "timeout=";
    const std::size_t at = keep_alive.find(kName);
    if (at == keep_alive.npos) {
      return kDefaultIdleTimeout;
    }
    const std::string_view rest = keep_alive.substr(at + kName.size());
    const auto number =
        ParseNumber(rest.substr(0, rest.find_first_not_of("0123456789")));
    if (!number) {
      return kDefaultIdleTimeout;
    }
    const milliseconds announced = seconds(*number);
    return announced > 2 * kIdleMargin ? announced - kIdleMargin
                                       : announced / 2;
  }

  void FinishAndKeep(run_result result) {
    EndRun(&result);
    timer_.cancel();
    auto done = std::exchange(done_, nullptr);
    const auto on_reusable = std::exchange(on_reusable_, nullptr);
    on_reusable(this->shared_from_this());
    done(std::move(result));
  }

  void FinishAndClose(run_result result) {
    EndRun(&result);
    Close();
    connected_ = false;
    auto done = std::exchange(done_, nullptr);
    on_reusable_ = nullptr;
    done(std::move(result));
  }

  void EndRun(run_result* result) {
    incoming_.Release();     // Whoever takes the answer reserves its bytes.
    run_.request.body = {};  // Not kept while the connection is idle.
    result->connection = number_;
    result->stray_answers = stray_answers_;
  }

  void CloseWhileIdle() {
    Close();
    if (const auto on_closed = std::exchange(on_closed_, nullptr)) {
      on_closed(this->shared_from_this());
    }
  }

  tcp::socket socket_;
  boost::asio::steady_timer timer_;  // Expires at the run's deadline.
  const endpoint target_;
  const read_limits limits_;
  const std::shared_ptr<memory_budget> memory_;
  const std::uint64_t number_;
  carried_ids carried_;

  target_run run_;
  callback done_;         // Set only while a request is in progress.
  listener on_reusable_;  // Likewise.
  listener on_closed_;    // Set only while idle.
  std::optional<response_reader> reader_;
  memory_reservation incoming_;  // For a large body in reader_.
  std::string head_;
  std::string buffer_;  // Bytes that the reader has not consumed.
  std::array<char, 16384> chunk_{};
  time_point idle_since_;
  milliseconds max_idle_ = kDefaultIdleTimeout;
  std::uint32_t stray_answers_ = 0;  // Answers of other requests, in this run.
  bool first_run_ = true;            // No other request was sent before.
  bool connected_ = false;
  bool response_begun_ = false;  // Bytes were received for this request.
  bool written_ = false;         // The whole request was sent.
};

}  // namespace pistachioweir
