// recent_count: number of events within the last second.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "include/base/time.h"

namespace pistachioweir {

// Counts in slots of a twentieth of the window, so that its size doesn't depend
// on the number of events. Events stay counted for up to one slot longer than
// the window.
//
// Pure logic; the owner locks.
class recent_count {
 public:
  static constexpr milliseconds kWindow{1000};

  void Add(time_point now) {
    slot& current = slots_[IndexOf(now)];
    if (current.number != NumberOf(now)) {
      current = {.number = NumberOf(now)};
    }
    ++current.events;
  }

  [[nodiscard]] std::uint32_t Get(time_point now) const {
    const std::int64_t newest = NumberOf(now);
    std::uint32_t sum = 0;
    for (const slot& each : slots_) {
      if (each.number <= newest && newest - each.number <= kSlots) {
        sum += each.events;
      }
    }
    return sum;
  }

 private:
  static constexpr std::int64_t kSlots = 20;

  struct slot {
    std::int64_t number = 0;  // Of all slots since the clock's epoch.
    std::uint32_t events = 0;
  };

  [[nodiscard]] static std::int64_t NumberOf(time_point now) {
    return now.time_since_epoch() / (kWindow / kSlots);
  }
  [[nodiscard]] static std::size_t IndexOf(time_point now) {
    return static_cast<std::size_t>(NumberOf(now) % (kSlots + 1));
  }

  std::array<slot, kSlots + 1> slots_{};
};

}  // namespace pistachioweir
