// The hash table of ids.
#include "src/forward/carried_ids.h"

#include <xxhash.h>

#include <utility>

namespace pistachioweir {
namespace {

constexpr std::size_t kFirstSize = 16;

}  // namespace

std::uint32_t carried_ids::HashOf(std::string_view id) const {
  const auto hash = static_cast<std::uint32_t>(
      XXH3_64bits_withSeed(id.data(), id.size(), seed_));
  return hash == 0 ? 1 : hash;
}

std::size_t carried_ids::SlotOf(std::uint32_t hash) const {
  const std::size_t mask = slots_.size() - 1;
  std::size_t slot = hash & mask;
  while (slots_[slot] != 0 && slots_[slot] != hash) {
    slot = (slot + 1) & mask;
  }
  return slot;
}

void carried_ids::Add(std::string_view id) {
  if (full()) {
    return;
  }
  if (2 * (count_ + 1) > slots_.size()) {
    Grow();
  }
  const std::uint32_t hash = HashOf(id);
  std::uint32_t& slot = slots_[SlotOf(hash)];
  count_ += slot == 0 ? 1 : 0;
  slot = hash;
}

bool carried_ids::MayContain(std::string_view id) const {
  return !slots_.empty() && slots_[SlotOf(HashOf(id))] != 0;
}

void carried_ids::Grow() {
  const std::size_t size = slots_.empty() ? kFirstSize : 2 * slots_.size();
  const auto before = std::exchange(slots_, std::vector<std::uint32_t>(size));
  for (const std::uint32_t hash : before) {
    if (hash != 0) {
      slots_[SlotOf(hash)] = hash;
    }
  }
}

}  // namespace pistachioweir
