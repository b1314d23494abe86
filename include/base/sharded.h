// sharded: N instances of a table, each under its own lock, so that threads
// that work on different keys seldom wait for each other.
#pragma once

#include <cassert>
#include <cstddef>
#include <deque>
#include <mutex>
#include <utility>

namespace pistachioweir {

// Owns the instances. A caller never sees one without its lock.
template <typename Table>
class sharded {
 public:
  // `make(i)` gives the instance number `i`.
  template <typename Make>
  sharded(std::size_t count, Make&& make) {
    assert(count > 0);
    for (std::size_t i = 0; i < count; ++i) {
      shards_.emplace_back(make(i));
    }
  }

  [[nodiscard]] std::size_t size() const { return shards_.size(); }

  // Runs `work(table)` on the instance number `hash` modulo the count, under
  // its lock, and returns what that returns. `work` must not call back into
  // the same sharded object.
  template <typename Work>
  auto With(std::size_t hash, Work&& work) {
    shard& chosen = shards_[hash % shards_.size()];
    const std::lock_guard lock(chosen.mutex);
    return std::forward<Work>(work)(chosen.table);
  }

  // Runs `work(table)` on each instance in turn, one lock at a time.
  template <typename Work>
  void ForEach(Work&& work) {
    for (shard& each : shards_) {
      const std::lock_guard lock(each.mutex);
      work(each.table);
    }
  }

 private:
  struct shard {
    explicit shard(Table&& made) : table(std::move(made)) {}

    std::mutex mutex;
    Table table;  // Guarded by mutex.
  };

  // A deque, since a shard can't move; its length never changes.
  std::deque<shard> shards_;
};

}  // namespace pistachioweir
