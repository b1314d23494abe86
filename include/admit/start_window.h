// start_window: the starts at a target over the last seconds, against what the
// limits that it announced allow in that time.
#pragma once

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

#include "include/base/time.h"

namespace pistachioweir {

// Targets judge their load over any window of four seconds that ends later than
// three seconds after they first announced a limit, so the last second before
// the announcement counts as well. A window may hold 1.5 times what the limits
// allow in it, and 5 requests. Here it may hold less, because a target knows
// its limit before this daemon does, and requests reach it later than they
// start.
//
// Counts in slots, so that its size doesn't depend on the number of starts.
//
// Pure logic; owned by the rate_limit.
class start_window {
 public:
  // The first limit after a time without one.
  void Begin(double per_second, time_point now) {
    Advance(now);
    per_second_ = per_second;
    for (slot& each : slots_) {
      each.per_second = per_second;
    }
    counted_from_ = now + kUncounted;
  }

  // Another limit, or 0 for none.
  void SetLimit(double per_second, time_point now) {
    Advance(now);
    per_second_ = per_second;
    slot& current = slots_[IndexOf(newest_)];
    current.per_second = std::min(current.per_second, per_second);
  }

  void Add(time_point now) {
    Advance(now);
    ++slots_[IndexOf(newest_)].starts;
  }

  // Time until `starts` more fit into each window that they count in. Valid
  // with a limit.
  [[nodiscard]] duration Wait(double starts, time_point now) const {
    const time_point end = std::max(now, counted_from_);
    const std::int64_t last = NumberOf(now);
    std::int64_t first = NumberOf(end - kReach);
    const std::chrono::duration<double> ahead = end - now;
    double allowed = ahead.count() * per_second_;
    for (std::int64_t i = first; i <= last; ++i) {
      allowed += At(i).per_second * kSlotSeconds.count();
      starts += At(i).starts;
    }
    time_point fits = now;
    for (; starts > kShare * allowed + kMoreStarts && first <= last; ++first) {
      allowed += (per_second_ - At(first).per_second) * kSlotSeconds.count();
      starts -= At(first).starts;
      fits = time_point((first + 1) * kSlot + kReach);
    }
    return fits - now;
  }

 private:
  static constexpr milliseconds kWindow{4000};
  static constexpr milliseconds kSlot{50};
  static constexpr std::chrono::duration<double> kSlotSeconds{kSlot};
  // From its start until a request reaches the target.
  static constexpr milliseconds kDelivery{50};
  static constexpr milliseconds kReach = kWindow + kDelivery;
  // The windows that don't count end this long after a limit became known here:
  // three seconds, less the time until the first answer that announces it.
  static constexpr milliseconds kUncounted{2750};
  static constexpr double kShare = 1.4;
  static constexpr double kMoreStarts = 2;
  // The slots of the reach, of which the oldest is in it in part, the current
  // one and one more for rounding.
  static constexpr std::int64_t kSlots = kReach / kSlot + 3;

  struct slot {
    double per_second = 0;  // The lowest limit within the slot.
    std::uint32_t starts = 0;
  };

  // Number of all slots since the clock's epoch.
  [[nodiscard]] static std::int64_t NumberOf(time_point now) {
    return now.time_since_epoch() / kSlot;
  }
  [[nodiscard]] static std::size_t IndexOf(std::int64_t number) {
    return static_cast<std::size_t>(number % kSlots);
  }
  [[nodiscard]] slot At(std::int64_t number) const {
    return number > newest_ || number <= newest_ - kSlots
               ? slot{.per_second = per_second_}
               : slots_[IndexOf(number)];
  }

  void Advance(time_point now) {
    const std::int64_t number = NumberOf(now);
    for (std::int64_t i = std::max(newest_, number - kSlots) + 1; i <= number;
         ++i) {
      slots_[IndexOf(i)] = {.per_second = per_second_};
    }
    newest_ = std::max(newest_, number);
  }

  std::array<slot, kSlots> slots_{};
  std::int64_t newest_ = 0;
  double per_second_ = 0;
  time_point counted_from_;
};

}  // namespace pistachioweir
