// view_freshness: the proven age of a daemon's view: how long ago it was
// certainly the newest state of the platform's store.
//
// Pure logic; owned by view_sharing.
#pragma once

#include <cstdint>
#include <optional>

#include "include/base/boot_clock.h"
#include "include/base/time.h"

namespace pistachioweir {

// Proof of freshness that one daemon sends to another.
struct freshness_proof {
  std::uint64_t revision = 0;
  // The store had nothing newer than `revision` this long ago.
  milliseconds age{0};

  friend bool operator==(const freshness_proof&,
                         const freshness_proof&) = default;
};

// Ages count from the time of the request, never from the arrival of its answer
// (guard AGE_FROM_QUESTION in spec/key_withdrawal.pml): an answer may have
// waited in a socket while its reader was stalled, or on a link that lost
// packets, and would appear newer than it is.
class view_freshness {
 public:
  // Handles the answer to a request sent at `asked`. The store proves an age of
  // zero.
  void Confirm(const freshness_proof& proof, boot_time asked);
  // The view holds all changes up to `revision`. A proof of a later revision
  // takes effect once the view has caught up (guard HAS_REVISION in
  // spec/key_withdrawal.pml).
  void SetRevision(std::uint64_t revision);

  // Empty before the first proof.
  [[nodiscard]] std::optional<milliseconds> Age(boot_time now) const;

 private:
  struct pending_proof {
    std::uint64_t revision = 0;
    boot_time proven;
  };

  void Advance(boot_time proven);

  std::uint64_t revision_ = 0;
  std::optional<boot_time> proven_;
  // The newest proof of a revision that the view has not reached yet.
  std::optional<pending_proof> pending_;
};

}  // namespace pistachioweir
