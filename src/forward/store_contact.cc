// Periods without answers, and which of them count as outages.
#include "include/forward/store_contact.h"

#include <algorithm>

namespace pistachioweir {

void store_contact::OnAnswered(time_point at) {
  if (!last_ || at > *last_) {
    const time_point before = last_.value_or(time_point::min());
    if (!last_ || at - before > kOutageThreshold) {
      silence_ = silence{.begin = before, .end = at};
      MarkFailures(&*silence_);
    }
    last_ = at;
    return;
  }
  if (!silence_ || at <= silence_->begin || at >= silence_->end) {
    return;
  }
  if (silence_->end - at > kOutageThreshold) {
    silence_->begin = at;
  } else if (at - kOutageThreshold > silence_->begin) {
    silence_->end = at;
  } else {
    silence_.reset();
  }
}

void store_contact::OnFailed(time_point since, time_point until) {
  failed_since_ = since;
  failed_until_ = until;
  if (silence_) {
    MarkFailures(&*silence_);
  }
}

void store_contact::MarkFailures(silence* found) const {
  found->failed |= failed_until_ > found->begin && failed_since_ < found->end;
}

std::optional<time_point> store_contact::returned_at() const {
  if (!silence_ || !silence_->failed) {
    return std::nullopt;
  }
  return silence_->end;
}

}  // namespace pistachioweir
