// caller_session: one connection of a caller.
//
// Requests may be pipelined: they are served concurrently and answered in the
// order of their arrival.
#pragma once

#include <algorithm>
#include <array>
#include <cassert>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "include/base/enum_table.h"
#include "include/base/log.h"
#include "include/base/recent_extreme.h"
#include "include/base/time.h"
#include "include/forward/service_view.h"
#include "include/memory/memory_budget.h"
#include "src/forward/caller_protocol_concept.h"
#include "src/forward/origin.h"
#include "src/forward/request_pipeline.h"
#include "src/net/connection_end.h"
#include "src/net/http_reader.h"

namespace pistachioweir {

// Why a connection of a caller ended.
enum class caller_end : std::uint8_t {
  kCallerLeft,   // It closed its side, or the connection was reset.
  kReadTooLate,  // It had left before its request was read.
  kWriteFailed,
  kTimeout,     // Nothing was read from it, or written to it, for too long.
  kLastAnswer,  // The daemon closed it behind a response.
  kStop,        // Idle when the daemon stopped.
  kGaveWay,     // It made no progress and held bytes that others need.
};

inline constexpr enum_table<caller_end, 7> kCallerEndNames(
    {"caller_left", "read_too_late", "write_failed", "timeout", "last_answer",
     "stop", "gave_way"});

// State shared by all sessions of one port.
struct caller_port_state {
  origin& calls;
  caller_limits limits;
  // Of all callers; requests whose bodies don't fit are refused unread.
  std::shared_ptr<memory_budget> memory;
  std::size_t sessions = 0;
  // Requests that were read and are not yet answered.
  std::size_t open_requests = 0;
  std::uint64_t requests = 0;
  std::uint64_t malformed = 0;
  // Requests read only after their callers had disconnected; not forwarded.
  std::uint64_t read_too_late = 0;
  // Responses of targets that were withheld; see WithholdFalsePromise().
  std::uint64_t promises_withheld = 0;
  // Requests without a written response when their connection ended.
  std::array<std::uint64_t, kCallerEndNames.size()> dropped{};
  // Connections that have had their last response, and that their callers
  // haven't closed yet.
  std::size_t lingering = 0;
  recent_maximum max_write_time;  // Of responses.
  bool draining = false;          // Connections close as soon as they may.
  bool refusing = false;          // Requests are refused without being run.
};

// Retry delay if there is no room for a body: requests end within about that
// time.
inline constexpr milliseconds kBodyLimitRetryAfter{1000};
// A caller that reads nothing of its response for this long is disconnected.
inline constexpr milliseconds kWriteTimeout{15000};

// Kept alive by its pending operations.
template <caller_protocol Protocol>
class caller_session
    : public std::enable_shared_from_this<caller_session<Protocol>> {
 public:
  using tcp = boost::asio::ip::tcp;
  using state_ptr = std::shared_ptr<caller_port_state>;

  caller_session(state_ptr state, tcp::socket socket)
      : state_(std::move(state)),
        socket_(std::move(socket)),
        timer_(socket_.get_executor()) {
    ++state_->sessions;
  }

  ~caller_session() {
    --state_->sessions;
    state_->lingering -= lingering_ ? 1 : 0;
  }
  caller_session(const caller_session&) = delete;
  caller_session& operator=(const caller_session&) = delete;

  void Start() {
    boost::system::error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    RecordProgress();
    ArmTimer();
    Read();
  }

  // What it holds that it could give back: answers that its caller doesn't
  // read, or a body that is being read, if no other request is open, so that it
  // hasn't run.
  [[nodiscard]] memory_holder Holder() const {
    if (closed_) {
      return {};
    }
    if (pipeline_.writing()) {
      memory_holder holder{.last_progress = write_progress_};
      for (const entry_ptr& each : pipeline_.open()) {
        holder.Add(each->exchange.answer);
      }
      return holder;
    }
    memory_holder holder{.last_progress = last_progress_};
    if (reader_ && pipeline_.empty()) {
      holder.Add(incoming_);
    }
    return holder;
  }

  // Gives back what Holder() tells.
  void GiveWay() {
    if (pipeline_.writing()) {
      Close(caller_end::kGaveWay);
    } else if (!closed_ && reader_ && pipeline_.empty()) {
      RefuseUnread();
    }
  }

  // Since when nothing of a request has come, if none is in progress: an
  // unfinished head is none yet.
  [[nodiscard]] std::optional<time_point> IdleSince() const {
    const bool idle = !closed_ && !lingering_ && !deferred_ &&
                      pipeline_.empty() && !(reader_ && reader_->has_head());
    return idle ? std::optional(last_progress_) : std::nullopt;
  }
  void CloseToMakeRoom() { Close(caller_end::kGaveWay); }

  // Closes the connection if nothing is in progress on it, which includes
  // waiting for the caller's end behind the last response.
  void CloseIfIdle() {
    if (pipeline_.empty() && !lingering_ && !reader_ && received_.empty()) {
      Close(caller_end::kStop);
    }
  }

 private:
  using error_code = boost::system::error_code;

  // One request and its response.
  struct exchange {
    std::string id;
    origin::call_id call = 0;
    bool open = true;  // Counted in open_requests.
    // The response has no body: its bytes would be read as the next response.
    bool to_head = false;
    relayed_response response;
    memory_reservation answer;  // For the body of `response`.
    std::string head;           // Of the response.
  };

  using pipeline = request_pipeline<exchange>;
  using entry_ptr = typename pipeline::entry_ptr;

  void Read() {
    if (reading_ || closed_) {
      return;
    }
    reading_ = true;
    socket_.async_read_some(
        boost::asio::buffer(chunk_),
        [self = this->shared_from_this()](error_code error, std::size_t bytes) {
          self->reading_ = false;
          self->OnRead(error, bytes);
        });
  }

  void OnRead(error_code error, std::size_t bytes) {
    if (closed_) {
      return;
    }
    if (error) {
      // The caller disconnected or shut down its sending side: responses
      // that it still waits for can't be delivered.
      Close(caller_end::kCallerLeft);
      return;
    }
    if (lingering_) {
      Read();  // Requests that cross the end of the connection are unread.
      return;
    }
    if (received_.empty() || (reader_ && reader_->has_head())) {
      RecordProgress();
    }
    received_.append(chunk_.data(), bytes);
    ProcessReceived();
  }

  [[nodiscard]] bool CanBegin(bool safe) const {
    return pipeline_.CanBegin(safe, state_->draining);
  }

  // Parses as many requests from the received bytes as may be served now. A
  // read stays pending in any case, to detect that the caller disconnects.
  void ProcessReceived() {
    if (deferred_ && CanBegin(IsSafe(*deferred_))) {
      Begin(*std::exchange(deferred_, std::nullopt));
    }
    while (!closed_ && !received_.empty() && !deferred_ && CanBegin(true)) {
      if (!reader_) {
        reader_.emplace(
            read_limits{.max_head_bytes = state_->limits.max_head_bytes,
                        .max_body_bytes = state_->limits.max_body_bytes});
        head_begun_ = monotonic_clock::now();
      }
      std::size_t taken = 0;
      const read_state state = reader_->Feed(received_, &taken);
      received_.erase(0, taken);
      if (state == read_state::kFailed) {
        RefuseUnreadable(reader_->problem());
        return;
      }
      if (!ReserveIncoming()) {
        RefuseUnread();
        return;
      }
      if (state == read_state::kMore) {
        SendContinueIfExpected();
        break;
      }
      read_request request = reader_->Take();
      reader_.reset();
      continue_sent_ = false;
      if (!CanBegin(IsSafe(request))) {
        deferred_ = std::move(request);
        break;
      }
      Begin(std::move(request));
    }
    const std::size_t max_ahead =
        CanBegin(true) ? kMaxUnfinished : kMaxReadAhead;
    if (!closed_ && received_.size() < max_ahead) {
      Read();
    }
  }

  [[nodiscard]] bool ReserveIncoming() {
    const std::size_t bytes = reader_->body_bytes();
    if (incoming_.bytes() == 0 && bytes > 0) {
      incoming_ = state_->memory->Open(memory_use::kRequests);
    }
    return incoming_.Resize(bytes);
  }

  void SendContinueIfExpected() {
    if (continue_sent_ || !reader_->expects_continue() || !pipeline_.empty()) {
      return;
    }
    continue_sent_ = true;
    const auto text =
        std::make_shared<std::string>("HTTP/1.1 100 Continue\r\n\r\n");
    boost::asio::async_write(
        socket_, boost::asio::buffer(*text),
        [self = this->shared_from_this(), text](error_code, std::size_t) {});
  }

  [[nodiscard]] static bool IsSafe(const read_request& request) {
    return request.verb == "GET" || request.verb == "HEAD";
  }

  void Begin(read_request request) {
    const pipelined_request how{.safe = IsSafe(request),
                                .last = !request.keep_alive};
    std::string body = std::exchange(request.body, {});
    ++state_->requests;
    RecordProgress();
    relayed_call call =
        Protocol::Decode(std::move(request), monotonic_clock::now());
    call.request.body = shared_bytes::Reserved(
        std::move(body), std::exchange(incoming_, memory_reservation()));
    const entry_ptr begun =
        Open({.id = call.id, .to_head = call.request.verb == "HEAD"}, how);
    // If the event loop is late, the caller may have given up before its
    // request is read. The end of its connection would be read only after the
    // request has been sent to a target.
    if (HasPeerClosed(socket_)) {
      ++state_->read_too_late;
      LogEvent("caller_gone",
               {{.name = "why", .value = "its request was read too late"},
                {.name = "request", .value = call.id}});
      Close(caller_end::kReadTooLate);
      return;
    }
    if (state_->refusing) {
      Refuse(begun, call.id, reason::kDraining, kDrainingRetryAfter);
      return;
    }
    const auto id = state_->calls.Submit(
        std::move(call),
        [self = this->shared_from_this(), begun](relayed_result result) {
          self->Answer(begun, std::move(result));
        });
    begun->exchange.call = id;
  }

  entry_ptr Open(exchange opened, const pipelined_request& how) {
    ++state_->open_requests;
    return pipeline_.Begin(std::move(opened), how);
  }

  // Refuses the request without forwarding anything of it.
  void Refuse(const entry_ptr& refused,
              std::string_view id,
              reason why,
              milliseconds after) {
    LogEvent(
        "refused_at_entrance",
        {{.name = "why", .value = std::string(kReasonNames.Name(why))},
         {.name = "retry_after_ms", .value = std::to_string(after.count())},
         {.name = "held_bytes",
          .value = std::to_string(state_->memory->held())},
         {.name = "request", .value = std::string(id)}});
    Answer(
        refused,
        {.kind = outcome_kind::kNotExecuted, .why = why, .retry_after = after});
  }

  // Refuses the request that is being read; what still comes of it is dropped.
  void RefuseUnread() {
    reader_.reset();
    received_.clear();
    incoming_.Release();
    Refuse(Open({}, {.last = true}), {}, reason::kTableFull,
           kBodyLimitRetryAfter);
  }

  void RefuseUnreadable(read_problem problem) {
    ++state_->malformed;
    LogWarning("caller_unreadable",
               {{.name = "problem",
                 .value = std::string(kReadProblemNames.Name(problem))}});
    const entry_ptr refused = Open({}, {.last = true});
    received_.clear();
    incoming_.Release();
    const reason why = problem == read_problem::kMalformed ? reason::kBadRequest
                                                           : reason::kTooLarge;
    relayed_response response =
        Protocol::Encode({.kind = outcome_kind::kNotExecuted, .why = why});
    constexpr int kHeadTooLargeStatus = 431;
    if (problem == read_problem::kHeadTooLarge) {
      response.status = kHeadTooLargeStatus;
    }
    SetAnswer(refused, std::move(response));
  }

  void Answer(const entry_ptr& answered, relayed_result result) {
    if (closed_) {
      Release(answered->exchange);
      return;
    }
    WithholdFalsePromise(answered->exchange.id, &result);
    if (!ReserveAnswer(result.response.body.size(), &answered->exchange)) {
      LogWarning("answer_dropped",
                 {{.name = "why", .value = "no room"},
                  {.name = "bytes",
                   .value = std::to_string(result.response.body.size())},
                  {.name = "request", .value = answered->exchange.id}});
      result = {.kind = outcome_kind::kUnknown, .why = reason::kTableFull};
    }
    SetAnswer(answered, result.kind == outcome_kind::kCompleted
                            ? std::move(result.response)
                            : Protocol::Encode(result));
  }

  // A completed request may have run, whatever status its target gave it. A
  // caller that takes the status as the promise that it hasn't sends it again.
  void WithholdFalsePromise(std::string_view id, relayed_result* result) {
    if (result->kind != outcome_kind::kCompleted || !result->at_most_once ||
        !Protocol::PromisesNotExecuted(result->response.status)) {
      return;
    }
    ++state_->promises_withheld;
    LogEvent(
        "promise_withheld",
        {{.name = "status", .value = std::to_string(result->response.status)},
         {.name = "request", .value = std::string(id)}});
    *result = {.kind = outcome_kind::kUnknown, .why = reason::kTargetFailed};
  }

  [[nodiscard]] bool ReserveAnswer(std::size_t bytes, exchange* answered) {
    answered->answer = state_->memory->Open(memory_use::kAnswers);
    return answered->answer.Resize(bytes);
  }

  void SetAnswer(const entry_ptr& answered, relayed_response&& response) {
    answered->exchange.response = std::move(response);
    answered->answered = true;
    WriteNext();
  }

  void WriteNext() {
    const entry_ptr next =
        closed_ ? nullptr : pipeline_.StartWriting(state_->draining);
    if (next == nullptr) {
      return;
    }
    RecordProgress();
    write_begun_ = last_progress_;
    exchange& written = next->exchange;
    const boost::asio::const_buffer body =
        written.to_head ? boost::asio::const_buffer()
                        : boost::asio::buffer(written.response.body);
    written.head = ResponseHead(
        written.response.status, written.response.header_block,
        written.to_head ? std::nullopt : std::optional(body.size()),
        !pipeline_.closes());
    const std::array<boost::asio::const_buffer, 2> parts{
        boost::asio::buffer(written.head), body};
    boost::asio::async_write(
        socket_, parts,
        [self = this->shared_from_this()](error_code error, std::size_t) {
          self->write_progress_ = monotonic_clock::now();
          return error ? 0 : kMaxWriteBytes;
        },
        [self = this->shared_from_this(), next](error_code error, std::size_t) {
          self->OnWritten(next, error);
        });
  }

  void OnWritten(const entry_ptr& written, error_code error) {
    if (closed_) {
      return;
    }
    if (error) {
      Close(caller_end::kWriteFailed);
      return;
    }
    RecordProgress();
    state_->max_write_time.Add(last_progress_ - write_begun_, last_progress_);
    const bool closes = pipeline_.FinishWriting();
    Release(written->exchange);
    if (closes) {
      CloseGracefully();
      return;
    }
    WriteNext();
    ProcessReceived();
  }

  void Release(exchange& ended) {
    if (std::exchange(ended.open, false)) {
      --state_->open_requests;
    }
    ended.answer.Release();
  }

  // Closes without losing the response if the caller has sent more: closing a
  // socket with unread bytes resets it, and the reset overtakes the response.
  void CloseGracefully() {
    assert(pipeline_.empty());
    LogDropped(caller_end::kLastAnswer);
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    lingering_ = true;
    ++state_->lingering;
    deferred_.reset();
    reader_.reset();
    received_.clear();
    incoming_.Release();
    RecordProgress();
    Read();
  }

  // Tells who ended the connection, and what that left without a response.
  void LogDropped(caller_end why) {
    const auto& open = pipeline_.open();
    if (open.empty() && !deferred_) {
      return;
    }
    state_->dropped[static_cast<std::size_t>(why)] += open.size();
    const auto unwritten = std::ranges::count_if(
        open, [](const entry_ptr& each) { return each->answered; });
    LogEvent("caller_requests_dropped",
             {{.name = "why", .value = std::string(kCallerEndNames.Name(why))},
              {.name = "open", .value = std::to_string(open.size())},
              {.name = "answered", .value = std::to_string(unwritten)},
              {.name = "deferred", .value = deferred_ ? "yes" : "no"},
              {.name = "draining", .value = state_->draining ? "yes" : "no"},
              {.name = "request",
               .value = open.empty() ? "" : open.front()->exchange.id}});
  }

  void Close(caller_end why) {
    if (std::exchange(closed_, true)) {
      return;
    }
    LogDropped(why);
    for (const entry_ptr& open : pipeline_.TakeOpen()) {
      if (!open->answered && open->exchange.call != 0) {
        state_->calls.Abandon(open->exchange.call);
      }
      Release(open->exchange);
    }
    error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
  }

  void RecordProgress() { last_progress_ = monotonic_clock::now(); }

  // When to end the connection if nothing more happens on it.
  [[nodiscard]] time_point Deadline() const {
    if (lingering_) {
      return last_progress_ + kLingerTimeout;
    }
    if (pipeline_.writing()) {
      return last_progress_ + kWriteTimeout;
    }
    if (!pipeline_.empty()) {
      return time_point::max();  // Its calls have deadlines of their own.
    }
    if (reader_ && !reader_->has_head()) {
      return head_begun_ + state_->limits.head_timeout;
    }
    return last_progress_ + state_->limits.idle_timeout;
  }

  // Polls the deadline, since it rarely expires: re-arming a timer at each step
  // of each request would cost more.
  void ArmTimer() {
    timer_.expires_after(kTimerInterval);
    timer_.async_wait([self = std::weak_ptr<caller_session>(
                           this->shared_from_this())](error_code error) {
      const auto session = self.lock();
      if (error || session == nullptr || session->closed_) {
        return;
      }
      if (monotonic_clock::now() >= session->Deadline()) {
        session->OnTimeout();
      } else {
        session->ArmTimer();
      }
    });
  }

  void OnTimeout() {
    const bool unfinished = reader_.has_value() && pipeline_.empty();
    if (!unfinished) {
      Close(caller_end::kTimeout);
      return;
    }
    // An incomplete request has not run.
    const entry_ptr refused = Open({}, {.last = true});
    relayed_response response = Protocol::Encode(
        {.kind = outcome_kind::kNotExecuted, .why = reason::kTimeout});
    SetAnswer(refused, std::move(response));
    ArmTimer();
  }

  // Bytes that are read ahead while no request may be begun.
  static constexpr std::size_t kMaxReadAhead = 16 << 10;
  // Bytes of an unfinished head, which the reader bounds.
  static constexpr std::size_t kMaxUnfinished = 64 << 10;
  // Bytes of a response that are handed to the kernel at a time.
  static constexpr std::size_t kMaxWriteBytes = 256 << 10;
  static constexpr milliseconds kTimerInterval{500};
  static constexpr milliseconds kLingerTimeout{1000};

  const state_ptr state_;
  tcp::socket socket_;
  boost::asio::steady_timer timer_;
  std::array<char, 8192> chunk_{};
  std::string received_;                  // Not consumed by the reader yet.
  std::optional<request_reader> reader_;  // Of an incomplete request.
  // For the body of the request in `reader_` or `deferred_`.
  memory_reservation incoming_;
  // A complete request that is begun once those before it are answered.
  std::optional<read_request> deferred_;
  pipeline pipeline_;
  time_point last_progress_;
  time_point write_begun_;     // Of the last response.
  time_point write_progress_;  // When the caller last took bytes of it.
  time_point head_begun_;
  bool reading_ = false;
  bool continue_sent_ = false;  // "100 Continue" was sent for this request.
  // The last response has been written; what the caller still sends is dropped
  // until it closes.
  bool lingering_ = false;
  bool closed_ = false;
};

}  // namespace pistachioweir
