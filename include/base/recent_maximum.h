// recent_maximum: the largest of the values of the last while.
#pragma once

#include <algorithm>

#include "include/base/time.h"

namespace pistachioweir {

// How long it is remembered what requests took at most: long enough that rare
// long ones are among them, and shorter than an overload that is over.
inline constexpr milliseconds kLongestMemory{10000};

// Keeps two halves of the window, so that the largest value is known exactly
// for one half and forgotten within two.
//
// Pure logic; the owner locks.
class recent_maximum {
 public:
  explicit recent_maximum(milliseconds window) : half_(window / 2) {}

  void Add(duration value, time_point now) {
    Advance(now);
    newer_ = std::max(newer_, value);
  }

  // Zero if there was none.
  [[nodiscard]] duration Get(time_point now) {
    Advance(now);
    return std::max(older_, newer_);
  }

 private:
  void Advance(time_point now) {
    if (now - begun_ < half_) {
      return;
    }
    older_ = now - begun_ < 2 * half_ ? newer_ : duration(0);
    newer_ = duration(0);
    begun_ = now;
  }

  duration half_;
  time_point begun_;
  duration older_{0};  // Of the half before `newer_`.
  duration newer_{0};  // Since `begun_`.
};

}  // namespace pistachioweir
