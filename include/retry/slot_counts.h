// slot_counts: counts of events within a sliding window, in slots, so that
// memory doesn't depend on the number of events.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "include/base/time.h"

namespace pistachioweir {

// Which entry of a slot decides when the slot leaves the window.
enum class slot_expiry : std::uint8_t {
  kOldest,  // Never counts an event that has left: for what earns budget.
  kNewest,  // Counts each event at least as long: for what uses budget.
};

// Pure logic. `kKinds` events are counted separately.
template <std::size_t kKinds>
class slot_counts {
 public:
  static constexpr milliseconds kSlotWidth{100};

  slot_counts(duration window, slot_expiry expiry)
      : window_(window), expiry_(expiry) {}

  void Add(std::size_t kind, std::uint32_t count, time_point now) {
    if (slots_.empty() || now - slots_.back().oldest >= kSlotWidth) {
      slots_.push_back({.oldest = now, .newest = now});
    }
    slot& current = slots_.back();
    current.newest = std::max(current.newest, now);
    current.counts[kind] += count;
    sums_[kind] += count;
  }

  void Expire(time_point now) {
    while (!slots_.empty() && End(slots_.front()) < now) {
      for (std::size_t kind = 0; kind < kKinds; ++kind) {
        sums_[kind] -= slots_.front().counts[kind];
      }
      slots_.pop_front();
    }
  }

  // These are as of the last Expire(). The time of the oldest event, of any
  // kind.
  [[nodiscard]] std::optional<time_point> oldest() const {
    return slots_.empty() ? std::nullopt : std::optional(slots_.front().oldest);
  }
  [[nodiscard]] std::uint64_t sum(std::size_t kind) const {
    return sums_[kind];
  }

 private:
  struct slot {
    time_point oldest;
    time_point newest;
    std::array<std::uint32_t, kKinds> counts{};
  };

  [[nodiscard]] time_point End(const slot& of) const {
    return (expiry_ == slot_expiry::kOldest ? of.oldest : of.newest) + window_;
  }

  duration window_;
  slot_expiry expiry_;
  std::deque<slot>
      slots_;  // Oldest first, each kSlotWidth after the one before.
  std::array<std::uint64_t, kKinds> sums_{};  // Over `slots_`.
};

}  // namespace pistachioweir
