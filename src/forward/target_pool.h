// target_pool: pool of connections to the target beside the daemon.
//
// A connection carries one request at a time. A connection that received
// anything unexpected is closed and not reused: bytes left over from one
// response would be read as the beginning of the next.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string_view>
#include <utility>

#include <boost/asio/io_context.hpp>

#include "include/base/random_bits.h"
#include "include/base/time.h"
#include "include/config/settings.h"
#include "src/forward/target_connection.h"
#include "src/forward/target_run.h"

namespace pistachioweir {

struct target_pool_counters {
  std::uint64_t opened = 0;
  std::uint64_t reused = 0;
  // Idle connections not used for a request, since they had carried its id.
  std::uint64_t passed_over = 0;
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
              const read_limits& limits,
              std::shared_ptr<memory_budget> memory = nullptr)
      : shared_(std::make_shared<shared>(context,
                                         target,
                                         limits,
                                         std::move(memory))) {}

  ~target_pool() { CloseIdle(); }
  target_pool(const target_pool&) = delete;
  target_pool& operator=(const target_pool&) = delete;

  // Calls `done` exactly once, never from within Run().
  handle Run(target_run run, callback done) {
    auto chosen = TakeIdle(run.request_id);
    if (chosen != nullptr) {
      ++shared_->counters.reused;
    } else {
      chosen = std::make_shared<connection>(
          shared_->context, shared_->target, shared_->limits, shared_->memory,
          ++shared_->counters.opened, shared_->seed);
    }
    chosen->Run(std::move(run), std::move(done),
                [pool = std::weak_ptr<shared>(shared_)](
                    const std::shared_ptr<connection>& free) {
                  ReturnToPool(pool, free);
                });
    return chosen;
  }

  // Cancels the run unless it has ended: closes its connection and calls `done`
  // with kCancelled.
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
  // If so many idle connections have carried an id, the new one for it replaces
  // one of them: a caller that gives all its requests one id would fill the
  // target with connections.
  static constexpr std::size_t kMaxPassedOver = 8;

  struct shared {
    shared(boost::asio::io_context& c,
           const endpoint& t,
           const read_limits& l,
           std::shared_ptr<memory_budget> m)
        : context(c), target(t), limits(l), memory(std::move(m)) {}

    boost::asio::io_context& context;
    endpoint target;
    read_limits limits;
    const std::shared_ptr<memory_budget> memory;
    const std::uint64_t seed = RandomBits64();
    std::list<std::shared_ptr<connection>> idle;  // Most recently used first.
    target_pool_counters counters;
  };

  // Takes the most recently used connection that may carry the id: the others
  // reach their idle limit and are closed, so that the pool shrinks with the
  // load.
  std::shared_ptr<connection> TakeIdle(std::string_view id) {
    auto& idle = shared_->idle;
    const time_point now = monotonic_clock::now();
    std::size_t passed_over = 0;
    for (auto at = idle.begin(); at != idle.end();) {
      auto candidate = *at;
      if (!candidate->IsUsable(now)) {
        at = idle.erase(at);
        candidate->Close();
      } else if (!candidate->MayCarry(id)) {
        ++passed_over;
        ++at;
      } else {
        idle.erase(at);
        shared_->counters.passed_over += passed_over;
        return candidate;
      }
    }
    shared_->counters.passed_over += passed_over;
    if (passed_over >= kMaxPassedOver) {
      idle.back()->Close();
      idle.pop_back();
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
