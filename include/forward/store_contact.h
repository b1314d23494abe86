// store_contact: when the platform's store was last away, for all daemons.
#pragma once

#include <optional>

#include "include/base/time.h"

namespace pistachioweir {

// Since when an answer is missing that was due at `due`, if the call, that was
// to be given up at `abandoned_at`, is so at `now`. A process that stood still
// meanwhile could not hear one.
[[nodiscard]] inline time_point UnansweredSince(time_point due,
                                                time_point abandoned_at,
                                                time_point now) {
  constexpr milliseconds kMaxStall{300};
  return now - abandoned_at > kMaxStall ? now : due;
}

// Entries of live targets run out while the store is away for all, so removals
// behind that are delayed (guard DELAY in spec/leaving_bound.pml). A daemon
// whose own calls fail can't tell whether the store is away or its own way
// there is broken; one answer to any daemon meanwhile tells (guard AWAY_FOR_ALL
// in spec/leaving_bound.pml). So this puts together when the store answered
// this daemon and when it answered others.
//
// Pure logic; view_builder keeps one.
class store_contact {
 public:
  // Without an answer to anybody for this long, with calls that fail, the store
  // is away: longer than readers of the store wait between two answers, shorter
  // than the two heartbeats of a second and a half within which no entry runs
  // out.
  static constexpr milliseconds kOutageThreshold{2500};

  // The store answered a daemon at `at`. Told in any order: a late one may show
  // that the store was there.
  void OnAnswered(time_point at);
  // All calls of a daemon from `since` until `until` failed.
  void OnFailed(time_point since, time_point until);

  // When the store was back, if it was away for all as far as is known.
  [[nodiscard]] std::optional<time_point> returned_at() const;
  // Its newest answer to any daemon.
  [[nodiscard]] std::optional<time_point> last_answer() const { return last_; }

 private:
  // Without answers in between. Nobody may have known of the store before its
  // first answer.
  struct silence {
    time_point begin = time_point::min();
    time_point end;
    bool failed = false;  // Calls failed in it.
  };

  void MarkFailures(silence* found) const;

  std::optional<time_point> last_;
  std::optional<silence>
      silence_;  // The last one longer than kOutageThreshold.
  // The last calls that failed.
  time_point failed_since_ = time_point::min();
  time_point failed_until_ = time_point::min();
};

}  // namespace pistachioweir
