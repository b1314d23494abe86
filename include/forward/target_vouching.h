// target_vouching: whether a daemon vouches for the target beside it while
// neither of them reaches the platform's store, and whether it still hands
// requests to it.
#pragma once

#include <optional>
#include <string>
#include <utility>

#include "include/base/time.h"
#include "include/forward/view_state.h"

namespace pistachioweir {

// A target whose VM is cut off from the store alone can't renew its entry,
// though it serves whoever reaches it. Its daemon says so on frames that flow
// anyway. While the daemon reads the store it never does: what vanishes then
// has left (guard STORE_LOST in spec/lapsed_targets.pml). A target that leaves
// meanwhile ends its connections behind its answers, which doesn't count as an
// answer (guard STAYING in spec/lapsed_targets.pml). Once the daemon has read
// the store and the entry isn't back, it is over for good.
//
// Others may believe in a target for longer than they should, and requests wait
// beside it: what has left gets none, whoever sends them.
//
// Pure logic; the executor keeps one.
class target_vouching {
 public:
  // Calls to the store must have failed for so long: an answer that is lost
  // alone is asked for again within this time.
  static constexpr milliseconds kStoreLostAfter{500};
  // Entries that ran out are back so long after the store is.
  static constexpr milliseconds kReturnTime{2000};
  // The target must have answered within this time. Targets in use answer many
  // times in it, and it is short against the two seconds after which a target
  // that leaves may get nothing.
  static constexpr milliseconds kMaxAnswerAge{1000};
  // Vouching holds for so long from the target's answer on.
  static constexpr milliseconds kLease{1500};
  // A target that is known to leave gets requests for this long, as long as
  // others may take to learn of it.
  static constexpr milliseconds kLeavingGrace{1000};

  // The start of the target beside the daemon as the view lists it, empty if it
  // is listed as leaving.
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
  // Once a second. Ends for good what has left.
  void Tick(const view_state& view, time_point now) {
    if (unlisted_since_ && now - *unlisted_since_ > kReturnTime &&
        !view.lost_since && !IsStoreBack(view, now)) {
      start_.clear();
    }
  }
  // The target has answered a request; `closing` if it ended the connection
  // behind the answer, as a target does that is leaving.
  void OnAnswer(bool closing, time_point now) {
    if (!closing) {
      answered_ = now;
    }
  }

  // Whether the target is listed as ready.
  [[nodiscard]] bool IsListed() const {
    return !leaving_since_ && !unlisted_since_;
  }
  // Whether requests may be handed to the target.
  [[nodiscard]] bool MayServe(const view_state& view, time_point now) const {
    if (leaving_since_) {
      return now - *leaving_since_ <= kLeavingGrace;
    }
    if (!unlisted_since_ || now - *unlisted_since_ <= kLeavingGrace) {
      return true;
    }
    return IsStoreLost(view, now) && now - answered_ <= kLease;
  }
  // Of the start that is listed, or was last; the epoch if it has not yet.
  [[nodiscard]] time_point answered() const { return answered_; }
  // The start that the daemon vouches for; empty for none.
  [[nodiscard]] std::string VouchedStart(const view_state& view,
                                         time_point now) const {
    const bool alive =
        answered_ != time_point() && now - answered_ <= kMaxAnswerAge;
    return IsStoreLost(view, now) && alive ? start_ : std::string();
  }

 private:
  // What vanishes from the list now may have run out.
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
  std::optional<time_point> leaving_since_;  // Listed as leaving.
  time_point answered_;  // The epoch if this start has not answered yet.
};

}  // namespace pistachioweir
