// Current proof, and the pending one of a later revision.
#include "include/forward/view_freshness.h"

#include <algorithm>

namespace pistachioweir {

void view_freshness::Advance(boot_time proven) {
  proven_ = proven_ ? std::max(*proven_, proven) : proven;
}

void view_freshness::Confirm(const freshness_proof& proof, boot_time asked) {
  if (proof.revision == 0) {
    return;  // The sender has no view.
  }
  const boot_time proven = asked - proof.age;
  if (proof.revision <= revision_) {
    Advance(proven);
  } else if (!pending_ || proven > pending_->proven) {
    pending_ = pending_proof{.revision = proof.revision, .proven = proven};
  }
}

void view_freshness::SetRevision(std::uint64_t revision) {
  revision_ = std::max(revision_, revision);
  if (pending_ && pending_->revision <= revision_) {
    Advance(pending_->proven);
    pending_.reset();
  }
}

std::optional<milliseconds> view_freshness::Age(boot_time now) const {
  if (!proven_) {
    return std::nullopt;
  }
  return std::max(milliseconds(0),
                  std::chrono::ceil<milliseconds>(now - *proven_));
}

}  // namespace pistachioweir
