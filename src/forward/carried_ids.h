// carried_ids: the ids of the requests that one connection has carried.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace pistachioweir {

// Made for targets that reject many requests, whose senders send them to the
// same target again, while the target gives some answers twice: on a connection
// that carries the same id a second time, a late copy of the first answer can't
// be told from the second one.
//
// Never forgets an id, since an answer may be late by any time. Remembers
// hashes: it may take an id for another one, which costs a connection, but
// never misses one. Pure logic.
class carried_ids {
 public:
  // 16 KB. A connection whose ids are full is not used again.
  static constexpr std::size_t kMax = 2048;

  // Ids are hashed with `seed`.
  explicit carried_ids(std::uint64_t seed) : seed_(seed) {}

  // Nothing is added once it is full.
  void Add(std::string_view id);
  [[nodiscard]] bool MayContain(std::string_view id) const;
  [[nodiscard]] bool empty() const { return count_ == 0; }
  [[nodiscard]] bool full() const { return count_ >= kMax; }

 private:
  // Where the hash is, or the free slot in which it belongs.
  [[nodiscard]] std::size_t SlotOf(std::uint32_t hash) const;
  [[nodiscard]] std::uint32_t HashOf(std::string_view id) const;
  void Grow();

  const std::uint64_t seed_;
  // A hash table with linear probing; its size is zero or a power of two, and
  // at least half of the slots are zero, which means free.
  std::vector<std::uint32_t> slots_;
  std::size_t count_ = 0;  // Slots in use.
};

}  // namespace pistachioweir
