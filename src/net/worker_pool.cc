// Threads and their io_contexts.
#include "src/net/worker_pool.h"

namespace pistachioweir {

worker_pool::worker_pool(std::size_t count) {
  for (std::size_t i = 0; i < count; ++i) {
    // One thread runs each context, so Asio's own locking can be light.
    contexts_.push_back(std::make_unique<boost::asio::io_context>(1));
    guards_.emplace_back(contexts_.back()->get_executor());
  }
}

worker_pool::~worker_pool() {
  Stop();
}

void worker_pool::Start() {
  for (auto& context : contexts_) {
    threads_.emplace_back([&context] { context->run(); });
  }
}

void worker_pool::Stop() {
  for (auto& context : contexts_) {
    context->stop();
  }
  for (std::thread& thread : threads_) {
    thread.join();
  }
  threads_.clear();
}

std::size_t worker_pool::NextWorker() {
  return next_.fetch_add(1, std::memory_order_relaxed) % contexts_.size();
}

}  // namespace pistachioweir
