// view_freshness: how long ago a daemon's view is proven to have been the
// platform's store's newest state.
//
// Pure logic; view_sharing keeps one.
#pragma once

#include <cstdint>
#include <optional>

#include "include/base/boot_clock.h"
#include "include/base/time.h"

namespace pistachioweir {

// What one daemon can prove to another.
struct freshness_proof {
  std::uint64_t revision = 0;
  // The store had nothing newer than `revision` this long ago.
  milliseconds age{0};

  friend bool operator==(const freshness_proof&,
                         const freshness_proof&) = default;
};

// Ages count from the moment at which a question was asked, never from the
// arrival of its answer (guard AGE_FROM_QUESTION in spec/key_withdrawal.pml):
// an answer may have waited in a socket while its reader stood still, or on a
// link that lost packets, and would look newer than it is.
class view_freshness {
 public:
  // An answer to a question asked at `asked`. The store proves an age of zero.
  void Confirm(const freshness_proof& proof, boot_time asked);
  // The view holds all changes up to `revision`. A proof of a later one counts
  // once the view has caught up (guard HAS_REVISION in
  // spec/key_withdrawal.pml).
  void SetRevision(std::uint64_t revision);

  // Nothing if nothing was proven yet.
  [[nodiscard]] std::optional<milliseconds> Age(boot_time now) const;

 private:
  struct pending_proof {
    std::uint64_t revision = 0;
    boot_time proven;
  };

  void Advance(boot_time proven);

  std::uint64_t revision_ = 0;
  std::optional<boot_time> proven_;
  // The newest proof that is ahead of the view: its revision is greater.
  std::optional<pending_proof> pending_;
};

}  // namespace pistachioweir
