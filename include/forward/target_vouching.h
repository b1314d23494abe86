// target_vouching: whether a daemon vouches for the target beside it while
// neither of them reaches the platform's store, and whether it still passes
// requests to it.
#pragma once

#include <optional>
#include <string>
#include <utility>

#include "include/base/time.h"
#include "include/forward/view_state.h"

namespace pistachioweir {

// A target whose VM is cut off from the store alone can't renew its entry,
// though it still serves requests. Its daemon vouches for it on frames that it
// sends anyway. It never does so while it reads the store: a target that
// vanishes then has left (guard STORE_LOST in spec/lapsed_targets.pml). A
// target that leaves while the store is lost closes its connections after its
// answers, and such answers don't count (guard STAYING in
// spec/lapsed_targets.pml). Once the daemon has read the store again and the
// entry isn't back, vouching ends permanently.
//
// Other daemons may keep a target in use for too long, and requests may be
// queued at this daemon: a target that has left gets none of them, regardless
// of the sender.
//
// Pure logic; owned by the executor.
class target_vouching {
 public:
  // Calls to the store must have failed for this long. A single lost answer is
  // requested again within this time.
  static constexpr milliseconds kStoreLostAfter{500};
  // Expired entries are back within this time after the store is.
  static constexpr milliseconds kReturnTime{2000};
  // Maximum age of the target's last answer. Targets in use answer many times
  // within it, and it is short compared with the two seconds after which a
  // leaving target may get no requests.
  static constexpr milliseconds kMaxAnswerAge{1000};
  // How long vouching is valid, counted from the target's answer.
  static constexpr milliseconds kLease{1500};
  // How long a target that is known to be leaving still gets requests: the time
  // that other daemons may take to learn of it.
  static constexpr milliseconds kLeavingGrace{1000};

  // Sets the start of the target beside the daemon as listed in the view; empty
  // if it is listed as leaving.
  void SetTarget(std::string start) {
    unlisted_since_.reset();
    leaving_since_.reset();
    if (start != start_) {
      start_ = std::move(start);
      answered_ = time_point();
    }
  }
  // The view lists the target as leaving.
  void SetLeaving(time_point now) {
    const time_point since = leaving_since_.value_or(now);
    SetTarget({});
    leaving_since_ = since;
  }
  // The view doesn't list the target.
  void SetUnlisted(time_point now) {
    if (!unlisted_since_) {
      unlisted_since_ = now;
    }
  }
  // Called once a second. Ends vouching permanently for a target that has left.
  void Tick(const view_state& view, time_point now) {
    if (unlisted_since_ && now - *unlisted_since_ > kReturnTime &&
        !view.lost_since && !IsStoreBack(view, now)) {
      start_.clear();
    }
  }
  // The target has answered a request; `closing` if it closed the connection
  // after the answer, as a leaving target does.
  void OnAnswer(bool closing, time_point now) {
    if (!closing) {
      answered_ = now;
    }
  }

  // Whether the target is listed as ready.
  [[nodiscard]] bool IsListed() const {
    return !leaving_since_ && !unlisted_since_;
  }
  // Whether requests may be passed to the target.
  [[nodiscard]] bool MayServe(const view_state& view, time_point now) const {
    if (leaving_since_) {
      return now - *leaving_since_ <= kLeavingGrace;
    }
    if (!unlisted_since_ || now - *unlisted_since_ <= kLeavingGrace) {
      return true;
    }
    return IsStoreLost(view, now) && now - answered_ <= kLease;
  }
  // Last answer of the start that is or was last listed; the epoch if there was
  // none.
  [[nodiscard]] time_point answered() const { return answered_; }
  // The start that the daemon vouches for; empty for none.
  [[nodiscard]] std::string VouchedStart(const view_state& view,
                                         time_point now) const {
    const bool alive =
        answered_ != time_point() && now - answered_ <= kMaxAnswerAge;
    return IsStoreLost(view, now) && alive ? start_ : std::string();
  }

 private:
  // Whether an entry that vanishes from the list now may have expired.
  [[nodiscard]] static bool IsStoreLost(const view_state& view,
                                        time_point now) {
    const bool lost =
        view.lost_since && now - *view.lost_since >= kStoreLostAfter;
    return lost || IsStoreBack(view, now);
  }
  [[nodiscard]] static bool IsStoreBack(const view_state& view,
                                        time_point now) {
    return view.regained_at && now - *view.regained_at < kReturnTime;
  }

  std::string start_;
  std::optional<time_point> unlisted_since_;
  std::optional<time_point> leaving_since_;  // Since it is listed as leaving.
  time_point answered_;  // The epoch if this start has not answered yet.
};

}  // namespace pistachioweir
