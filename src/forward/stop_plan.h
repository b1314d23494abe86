// stop_plan: decides when a daemon that was told to stop may end.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "include/base/time.h"

namespace pistachioweir {

// What is going on in a stopping daemon.
struct stop_progress {
  std::uint64_t requests_read = 0;  // Since the start.
  std::size_t open_requests = 0;    // Of callers, not answered yet.
  std::size_t runs = 0;             // At the target.
};

// Whoever asks whether callers may come asks once a second, and callers keep
// coming until it has heard no twice. A daemon that ended before would leave
// them with connections that are refused. So it stays for kLeastLinger, serves
// what comes, and ends once nothing is in progress and nothing has come for
// kQuiet; at the latest shortly before it is killed.
//
// Pure logic.
class stop_plan {
 public:
  // Two questions a second apart, the first up to a second after the signal,
  // and their answers' way.
  static constexpr milliseconds kLeastLinger{2300};
  static constexpr milliseconds kQuiet{300};
  // New requests are refused from then on: what is taken later could still be
  // in progress at the end, and would be cut off. Callers that heard of the
  // stop have gone by then.
  static constexpr milliseconds kTakesNew{2500};
  // Left for ending itself before the kill.
  static constexpr milliseconds kReserve{400};

  void Begin(time_point now, milliseconds timeout) {
    stopping_ = true;
    since_ = now;
    until_ = now + std::max(timeout - kReserve, timeout / 2);
    last_request_ = now;
  }

  [[nodiscard]] bool stopping() const { return stopping_; }
  // Whether new requests are still served; half of a short time to stop is
  // left for those in progress.
  [[nodiscard]] bool TakesNew(time_point now) const {
    return !stopping_ ||
           now < since_ + std::min<duration>(kTakesNew, (until_ - since_) / 2);
  }

  // Call often while stopping.
  [[nodiscard]] bool IsOver(const stop_progress& progress, time_point now) {
    if (progress.requests_read != requests_read_) {
      requests_read_ = progress.requests_read;
      last_request_ = now;
    }
    if (now >= until_) {
      return true;
    }
    return progress.open_requests == 0 && progress.runs == 0 &&
           now - since_ >= kLeastLinger && now - last_request_ >= kQuiet;
  }

 private:
  bool stopping_ = false;
  time_point since_;
  time_point until_;
  time_point last_request_;
  std::uint64_t requests_read_ = 0;
};

}  // namespace pistachioweir
