// request_pipeline: the requests of one connection that are not yet answered,
// the order of their responses, and when the connection closes.
//
// A caller takes each request behind the response that closes its connection as
// unread, and sends it again. So the connection closes behind the last request
// that was begun, and only the response to that one announces it.
//
// Pure logic.
#pragma once

#include <cassert>
#include <cstddef>
#include <deque>
#include <memory>
#include <utility>

namespace pistachioweir {

struct pipelined_request {
  bool safe = false;  // Further requests may be served concurrently.
  bool last = false;  // No further request can be begun.
};

// Each request that is begun is answered and its response written, unless the
// connection ends before. `Exchange` is the owner's state of a request.
//
// `draining` is whether the daemon closes connections as soon as it may. It is
// asked for at each step and applies from the next response on.
template <typename Exchange>
class request_pipeline {
 public:
  // Maximum of requests that are served concurrently.
  static constexpr std::size_t kMaxOpen = 32;

  struct entry {
    Exchange exchange;
    bool safe = false;
    bool answered = false;
  };
  using entry_ptr = std::shared_ptr<entry>;

  // Whether a request may be begun now. One that may run only once waits until
  // those before it are answered. While the daemon drains, nothing is begun
  // behind others, so that the connection gets to its end.
  [[nodiscard]] bool CanBegin(bool safe, bool draining) const {
    if (last_begun_ || open_.size() >= kMaxOpen) {
      return false;
    }
    return open_.empty() || (safe && open_.back()->safe && !draining);
  }

  entry_ptr Begin(Exchange exchange, const pipelined_request& how) {
    assert(!last_begun_);
    last_begun_ = how.last;
    open_.push_back(std::make_shared<entry>(
        entry{.exchange = std::move(exchange), .safe = how.safe}));
    return open_.back();
  }

  // The next response to write, once it is known and the one before it has been
  // written; else nullptr. closes() is final for it.
  entry_ptr StartWriting(bool draining) {
    if (writing_ || open_.empty() || !open_.front()->answered) {
      return nullptr;
    }
    writing_ = true;
    last_begun_ |= draining && open_.size() == 1;
    return open_.front();
  }

  // The response that StartWriting() returned has been written. Returns whether
  // the connection closes behind it.
  [[nodiscard]] bool FinishWriting() {
    assert(writing_);
    const bool closed = closes();
    writing_ = false;
    open_.pop_front();
    return closed;
  }

  // Whether the connection closes behind the next response.
  [[nodiscard]] bool closes() const { return last_begun_ && open_.size() == 1; }

  // The connection has ended: removes the requests that remain.
  [[nodiscard]] std::deque<entry_ptr> TakeOpen() {
    last_begun_ = true;
    return std::exchange(open_, {});
  }

  [[nodiscard]] const std::deque<entry_ptr>& open() const { return open_; }
  [[nodiscard]] bool empty() const { return open_.empty(); }
  [[nodiscard]] bool writing() const { return writing_; }

 private:
  std::deque<entry_ptr> open_;  // In the order of the requests.
  // The response to the first is being written.
  bool writing_ = false;
  // Nothing is begun any more; the connection closes behind the last of open_.
  bool last_begun_ = false;
};

}  // namespace pistachioweir
