// target_pool: the connections to the target beside the daemon.
//
// A connection carries one request at a time. One on which anything unexpected
// came is closed and never used again: bytes left over from one answer would be
// taken for the beginning of the next.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <utility>

#include <boost/asio/io_context.hpp>

#include "include/base/time.h"
#include "include/config/settings.h"
#include "src/forward/target_connection.h"
#include "src/forward/target_run.h"

namespace pistachioweir {

struct target_pool_counters {
  std::uint64_t opened = 0;
  std::uint64_t reused = 0;
};

// Used on its context's thread only. Owns the idle connections; a busy one is
// owned by its pending operations.
template <target_protocol Protocol>
class target_pool {
 public:
  using connection = target_connection<Protocol>;
  using handle = std::weak_ptr<connection>;
  using callback = std::function<void(run_result)>;

  target_pool(boost::asio::io_context& context,
              const endpoint& target,
              const read_limits& limits)
      : shared_(std::make_shared<shared>(context, target, limits)) {}

  ~target_pool() { CloseIdle(); }
  target_pool(const target_pool&) = delete;
  target_pool& operator=(const target_pool&) = delete;

  // Calls `done` once, later.
  handle Run(target_run run, callback done) {
    auto chosen = TakeIdle();
    const bool reused = chosen != nullptr;
    if (!reused) {
      chosen = std::make_shared<connection>(shared_->context, shared_->target,
                                            shared_->limits);
    }
    ++(reused ? shared_->counters.reused : shared_->counters.opened);
    chosen->Run(std::move(run), std::move(done),
                [pool = std::weak_ptr<shared>(shared_)](
                    const std::shared_ptr<connection>& free) {
                  ReturnToPool(pool, free);
                });
    return chosen;
  }

  // Gives the run up: its connection is closed and `done` hears kCancelled,
  // unless it has ended.
  static void Cancel(const handle& run) {
    if (const auto found = run.lock()) {
      found->Cancel();
    }
  }

  void CloseIdle() {
    for (const auto& each : std::exchange(shared_->idle, {})) {
      each->Close();
    }
  }

  [[nodiscard]] const target_pool_counters& counters() const {
    return shared_->counters;
  }

 private:
  struct shared {
    shared(boost::asio::io_context& c, const endpoint& t, const read_limits& l)
        : context(c), target(t), limits(l) {}

    boost::asio::io_context& context;
    endpoint target;
    read_limits limits;
    std::list<std::shared_ptr<connection>> idle;  // Last used in front.
    target_pool_counters counters;
  };

  // The one that was used last: those behind it grow old and are closed, so
  // that the pool shrinks with the load.
  std::shared_ptr<connection> TakeIdle() {
    while (!shared_->idle.empty()) {
      auto front = shared_->idle.front();
      shared_->idle.pop_front();
      if (front->IsUsable(monotonic_clock::now())) {
        return front;
      }
      front->Close();
    }
    return nullptr;
  }

  static void ReturnToPool(const std::weak_ptr<shared>& pool,
                           const std::shared_ptr<connection>& free) {
    const auto found = pool.lock();
    if (found == nullptr) {
      free->Close();
      return;
    }
    found->idle.push_front(free);
    free->WaitIdle([pool](const std::shared_ptr<connection>& ended) {
      if (const auto owner = pool.lock()) {
        owner->idle.remove(ended);
      }
    });
  }

  std::shared_ptr<shared> shared_;
};

}  // namespace pistachioweir
