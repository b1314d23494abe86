// stop_feasibility: whether a request can end before the stopping daemon that
// gets it does.
#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>

#include "include/admit/service_time.h"
#include "include/base/recent_extreme.h"
#include "include/base/time.h"
#include "include/route/kind_index.h"

namespace pistachioweir {

// Made for daemons that restart in series while their service is busy: with
// several targets of a service stopping at a time, a stopping daemon still gets
// calls of other daemons, and breaks off those at work when it ends. Refused as
// not executed, they can go to another target.
//
// A request needs at most the time until its deadline. Within that, it is
// expected to need no longer than the tail of its kind's times, nor than twice
// the longest recent one: service times with a long tail exceed the maximum of
// n others in one of n + 1 cases.
//
// Pure logic; the executor has one for its target.
class stop_feasibility {
 public:
  static constexpr int kLongestFactor = 2;
  // Fewer don't tell how much the times of a kind vary.
  static constexpr std::uint32_t kMinRequests = 8;

  // A request of the kind was answered, or reached its deadline, after `took`.
  // Rejections and requests that were cut short tell nothing.
  void OnEnded(std::uint32_t kind, duration took, time_point now) {
    known_times& times = by_kind_[kind];
    times.longest.Add(took, now);
    times.typical.Add(took, now);
    times.requests += times.requests < kMinRequests ? 1 : 0;
  }

  // Whether a request may still be in progress at `end`. One of a kind of which
  // too little is known may take any time.
  [[nodiscard]] bool MayOutlive(std::uint32_t kind,
                                time_point deadline,
                                time_point end,
                                time_point now) {
    if (deadline <= end) {
      return false;
    }
    const auto needs = MaxTime(kind, now);
    return !needs || now + *needs > end;
  }

 private:
  struct known_times {
    recent_maximum longest;
    service_time typical;
    std::uint32_t requests = 0;  // At most kMinRequests.
  };

  // Nothing if too little is known.
  [[nodiscard]] std::optional<duration> MaxTime(std::uint32_t kind,
                                                time_point now) {
    known_times& times = by_kind_[kind];
    const auto longest = times.longest.Get(now);
    if (!longest || times.requests < kMinRequests) {
      return std::nullopt;
    }
    return std::max<duration>(kLongestFactor * *longest,
                              times.typical.TailEstimate());
  }

  std::array<known_times, kind_index::kMaxKinds> by_kind_;
};

}  // namespace pistachioweir
