// Silences of the store, and what makes absences of them.
#include "include/forward/store_contact.h"

#include <algorithm>

namespace pistachioweir {

void store_contact::OnAnswered(time_point at) {
  if (!last_ || at > *last_) {
    const time_point before = last_.value_or(time_point::min());
    if (!last_ || at - before > kAway) {
      silence_ = silence{.began = before, .ended = at};
      Judge(&*silence_);
    }
    last_ = at;
    return;
  }
  if (!silence_ || at <= silence_->began || at >= silence_->ended) {
    return;
  }
  if (silence_->ended - at > kAway) {
    silence_->began = at;
  } else if (at - kAway > silence_->began) {
    silence_->ended = at;
  } else {
    silence_.reset();
  }
}

void store_contact::OnFailed(time_point since, time_point until) {
  failed_since_ = since;
  failed_until_ = until;
  if (silence_) {
    Judge(&*silence_);
  }
}

void store_contact::Judge(silence* found) const {
  found->failed |= failed_until_ > found->began && failed_since_ < found->ended;
}

std::optional<time_point> store_contact::returned_at() const {
  if (!silence_ || !silence_->failed) {
    return std::nullopt;
  }
  return silence_->ended;
}

}  // namespace pistachioweir
