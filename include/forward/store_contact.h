// store_contact: when the platform's store last had an outage that affected all
// daemons.
#pragma once

#include <optional>

#include "include/base/time.h"

namespace pistachioweir {

// Since when the store counts as not answering, if an answer was due at `due`
// and a call with the time-out `abandoned_at` is abandoned at `now`. A process
// that was stalled in between could not have received the answer, so only `now`
// counts.
[[nodiscard]] inline time_point UnansweredSince(time_point due,
                                                time_point abandoned_at,
                                                time_point now) {
  constexpr milliseconds kMaxStall{300};
  return now - abandoned_at > kMaxStall ? now : due;
}

// Entries of live targets expire during an outage of the store, so removals
// after it are delayed (guard DELAY in spec/leaving_bound.pml). A daemon whose
// own calls fail can't tell an outage from a broken path to the store; a single
// answer to any daemon in that time rules out an outage (guard AWAY_FOR_ALL in
// spec/leaving_bound.pml). So this class combines the times at which the store
// answered this daemon and other daemons.
//
// Pure logic; owned by view_builder.
class store_contact {
 public:
  // The store is considered down if it has answered no daemon for this long and
  // calls failed in that time. Longer than the time between two answers to a
  // reader of the store, and shorter than two heartbeats of 1.5 s, within which
  // no entry expires.
  static constexpr milliseconds kOutageThreshold{2500};

  // The store answered a daemon at `at`. May be called in any order: a late
  // report may show that there was no outage.
  void OnAnswered(time_point at);
  // All calls of a daemon from `since` until `until` failed.
  void OnFailed(time_point since, time_point until);

  // When the last known outage of the store ended; empty if there was none.
  [[nodiscard]] std::optional<time_point> returned_at() const;
  // The store's newest answer to any daemon.
  [[nodiscard]] std::optional<time_point> last_answer() const { return last_; }

 private:
  // A period without answers. Unbounded before the first answer, since the
  // store may not have been known before.
  struct silence {
    time_point begin = time_point::min();
    time_point end;
    bool failed = false;  // Whether calls failed in it.
  };

  void MarkFailures(silence* found) const;

  std::optional<time_point> last_;
  // The last one that exceeds kOutageThreshold.
  std::optional<silence> silence_;
  // The last period in which all calls failed.
  time_point failed_since_ = time_point::min();
  time_point failed_until_ = time_point::min();
};

}  // namespace pistachioweir
