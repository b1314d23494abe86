// boot_clock: a monotonic clock that also counts the time for which the VM was
// suspended, as the steady clock does not.
#pragma once

#include <chrono>
#include <ctime>

namespace pistachioweir {

struct boot_clock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<boot_clock>;

  // As the standard library's clocks call it.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;

  [[nodiscard]] static time_point now() noexcept {
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return time_point(std::chrono::seconds(time.tv_sec) +
                      std::chrono::nanoseconds(time.tv_nsec));
  }
};

using boot_time = boot_clock::time_point;

}  // namespace pistachioweir
