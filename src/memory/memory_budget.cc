// Bounds and reservations.
#include "include/memory/memory_budget.h"

#include <utility>

#include <algorithm>

namespace pistachioweir {

memory_budget_options BudgetOptions(std::size_t memory_bytes) {
  // Of a process in calm, with its connections.
  constexpr std::size_t kCalmBytes = 32 << 20;
  constexpr std::size_t kSmallShare = 8;
  constexpr std::size_t kLeastShare = 8;
  // A body exists twice while it is copied out of a frame or into a buffer that
  // has grown.
  constexpr std::size_t kCopies = 2;
  const std::size_t rest =
      memory_bytes > kCalmBytes ? memory_bytes - kCalmBytes : 0;
  return {
      .max_small_bytes = memory_bytes / kSmallShare,
      .max_large_bytes = std::max(rest / kCopies, memory_bytes / kLeastShare)};
}

memory_reservation memory_budget::Open(memory_use use) {
  return {shared_from_this(), use};
}

bool memory_budget::Change(memory_use use, std::size_t from, std::size_t to) {
  // Of a pool, given back beyond what is missing: a crowd that takes what is
  // freed meets others that are refused as well.
  constexpr std::size_t kSpareShare = 8;
  const memory_pool pool = PoolOf(to);
  std::size_t& before = pools_[static_cast<std::size_t>(PoolOf(from))];
  std::size_t& after = pools_[static_cast<std::size_t>(pool)];
  const std::size_t max = pool == memory_pool::kSmall
                              ? options_.max_small_bytes
                              : options_.max_large_bytes;
  const std::size_t others = after - (&before == &after ? from : 0);
  const auto index = static_cast<std::size_t>(use);
  if (to > from && (to > max || others > max - to)) {
    ++refused_[index];
    if (on_shortage_) {
      on_shortage_(pool, others + to - max + max / kSpareShare);
    }
    return false;
  }
  before -= from;
  after += to;
  held_[index] += to;
  held_[index] -= from;
  return true;
}

memory_reservation::memory_reservation(memory_reservation&& other) noexcept
    : budget_(std::move(other.budget_)),
      use_(other.use_),
      bytes_(std::exchange(other.bytes_, 0)) {}

memory_reservation& memory_reservation::operator=(
    memory_reservation&& other) noexcept {
  if (this != &other) {
    Release();
    budget_ = std::move(other.budget_);
    use_ = other.use_;
    bytes_ = std::exchange(other.bytes_, 0);
  }
  return *this;
}

bool memory_reservation::Resize(std::size_t bytes) {
  if (budget_ != nullptr && bytes != bytes_ &&
      !budget_->Change(use_, bytes_, bytes)) {
    return false;
  }
  bytes_ = bytes;
  return true;
}

void memory_reservation::Release() {
  (void)Resize(0);
}

std::optional<std::size_t> ChooseToGiveWay(
    std::span<const memory_holder> holders,
    memory_pool pool,
    time_point now) {
  std::optional<std::size_t> chosen;
  for (std::size_t i = 0; i < holders.size(); ++i) {
    const bool stalled = holders[i].In(pool) > 0 &&
                         now - holders[i].last_progress >= kStalledHolder;
    if (stalled &&
        (!chosen || holders[i].In(pool) > holders[*chosen].In(pool))) {
      chosen = i;
    }
  }
  return chosen;
}

}  // namespace pistachioweir
