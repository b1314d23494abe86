// rate_limit: paces the requests that start at a target which limits how many
// it takes in a second.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <optional>

#include "include/admit/start_window.h"
#include "include/base/recent_count.h"
#include "include/base/time.h"

namespace pistachioweir {

// A token bucket. What started before the limit was known counts as well: a
// target that names a limit is in need, and the requests of the last second are
// part of the reason. So a new or lower limit begins with a pause if the last
// second exceeded twice what it allows. Whatever the bucket holds, nothing
// starts while a window over which targets judge their load is full.
//
// Pure logic; owned by the admission_controller.
class rate_limit {
 public:
  // The bucket holds what the limit allows in this time, and one more request.
  // Short against the seconds over which a target notices its load, and longer
  // than a busy daemon's event loop is late.
  static constexpr std::chrono::duration<double> kBurst{0.25};
  // Starts a second under a limit of zero, and the minimum for any limit: only
  // answers tell that a limit has ended.
  static constexpr double kMinPerSecond = 0.2;

  // Sets the limit in requests a second; nothing for no limit.
  void Set(std::optional<double> per_second, time_point now) {
    Refill(now);
    if (per_second) {
      per_second = std::max(*per_second, kMinPerSecond);
    }
    const bool is_new = per_second && !per_second_;
    const bool is_lower =
        per_second && per_second_ && *per_second < *per_second_;
    per_second_ = per_second;
    if (is_new) {
      window_.Begin(*per_second_, now);
    } else {
      window_.SetLimit(per_second_.value_or(0), now);
    }
    if (is_new || is_lower) {
      const double unused = kFreeSeconds * *per_second_ + kFreeRequests -
                            static_cast<double>(recent_.Get(now));
      const double first =
          std::min({unused, Capacity(), is_new ? unused : tokens_});
      tokens_ = std::max(first, 1 - kMaxPause.count() * *per_second_);
    }
  }

  // A request starts.
  void OnStart(time_point now) {
    recent_.Add(now);
    window_.Add(now);
    if (per_second_) {
      Refill(now);
      tokens_ -= 1;
    }
  }

  // Time until the request that has `ahead` others before it may start; zero
  // without a limit.
  [[nodiscard]] duration Wait(std::size_t ahead, time_point now) const {
    if (!per_second_) {
      return duration(0);
    }
    const double starts = static_cast<double>(ahead) + 1;
    const double missing = std::max(0.0, starts - Tokens(now));
    const std::chrono::duration<double> refill(
        std::min(kMaxWait, missing / *per_second_));
    return std::max(std::chrono::duration_cast<duration>(refill),
                    window_.Wait(starts, now));
  }
  [[nodiscard]] bool MayStart(time_point now) const {
    return Wait(0, now) == duration(0);
  }

  [[nodiscard]] std::optional<double> per_second() const { return per_second_; }
  // Starts within the last second.
  [[nodiscard]] std::uint32_t recent_starts(time_point now) const {
    return recent_.Get(now);
  }

 private:
  // Starts of the second before a new limit that cause no pause: what it allows
  // in kFreeSeconds, and kFreeRequests.
  static constexpr double kFreeSeconds = 2;
  static constexpr double kFreeRequests = 2;
  // The longest pause by the bucket; a full window may extend it by a second.
  static constexpr std::chrono::duration<double> kMaxPause{3};
  // Seconds; keeps the wait representable.
  static constexpr double kMaxWait = 3600;

  [[nodiscard]] double Capacity() const {
    return 1 + kBurst.count() * *per_second_;
  }
  [[nodiscard]] double Tokens(time_point now) const {
    const std::chrono::duration<double> elapsed = now - refilled_at_;
    return std::min(Capacity(), tokens_ + elapsed.count() * *per_second_);
  }
  void Refill(time_point now) {
    if (per_second_) {
      tokens_ = Tokens(now);
    }
    refilled_at_ = now;
  }

  recent_count recent_;
  start_window window_;
  std::optional<double> per_second_;  // At least kMinPerSecond.
  double tokens_ = 0;  // Valid with a limit; negative during a pause.
  time_point refilled_at_;
};

}  // namespace pistachioweir
