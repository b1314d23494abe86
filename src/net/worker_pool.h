// worker_pool: the daemon's threads. Each worker runs its own io_context on its
// own thread, and a call stays on the worker that accepted it, so connections
// and timers need no lock.
#pragma once

#include <utility>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <cstddef>
#include <memory>
#include <thread>
#include <vector>

namespace pistachioweir {

// Owns the io_contexts and threads.
class worker_pool {
 public:
  explicit worker_pool(std::size_t count);
  ~worker_pool();

  worker_pool(const worker_pool&) = delete;
  worker_pool& operator=(const worker_pool&) = delete;

  // Starts the threads. Call once.
  void Start();
  // Stops all io_contexts and joins the threads; idempotent.
  void Stop();

  [[nodiscard]] std::size_t size() const { return contexts_.size(); }
  [[nodiscard]] boost::asio::io_context& context(std::size_t worker) {
    return *contexts_[worker];
  }
  // Workers in turn, for new connections. Thread-safe.
  std::size_t NextWorker();

 private:
  using work_guard =
      boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

  std::vector<std::unique_ptr<boost::asio::io_context>> contexts_;
  std::vector<work_guard> guards_;
  std::vector<std::thread> threads_;
  std::atomic<std::size_t> next_{0};
};

}  // namespace pistachioweir
