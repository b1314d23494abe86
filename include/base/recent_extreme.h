// recent_extreme: the largest or the smallest of the durations of a while.
#pragma once

#include <algorithm>
#include <functional>
#include <optional>

#include "include/base/time.h"

namespace pistachioweir {

// How long it is remembered what requests took: long enough that rare ones are
// among them, and shorter than an overload that is over.
inline constexpr milliseconds kTookMemory{10000};

// Keeps two halves of the window, so that the extreme value is known exactly
// for one half and forgotten within two. Of two values, the one that `Better`
// puts first is kept.
//
// Pure logic; the owner locks.
template <typename Better>
class recent_extreme {
 public:
  explicit recent_extreme(milliseconds window = kTookMemory)
      : half_(window / 2) {}

  void Add(duration value, time_point now) {
    Advance(now);
    newer_ = newer_ ? std::min(*newer_, value, Better()) : value;
  }

  // Nothing if no value came in the window.
  [[nodiscard]] std::optional<duration> Get(time_point now) {
    Advance(now);
    return older_ && newer_ ? std::min(*older_, *newer_, Better())
                            : (newer_ ? newer_ : older_);
  }

 private:
  void Advance(time_point now) {
    if (now - begun_ < half_) {
      return;
    }
    older_ = now - begun_ < 2 * half_ ? newer_ : std::nullopt;
    newer_.reset();
    begun_ = now;
  }

  duration half_;
  time_point begun_;
  std::optional<duration> older_;  // Of the half before `newer_`.
  std::optional<duration> newer_;  // Since `begun_`.
};

using recent_maximum = recent_extreme<std::greater<>>;
using recent_minimum = recent_extreme<std::less<>>;

}  // namespace pistachioweir
