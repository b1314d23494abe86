// lapsed_targets: targets that the platform's store has lost and that stay in
// use, since the daemons beside them vouch for them.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "include/base/time.h"
#include "include/forward/service_view.h"
#include "include/forward/target_vouching.h"

namespace pistachioweir {

// The other half of target_vouching. An entry that vanishes from the store has
// left or has run out, and the store doesn't say which. It has run out if the
// daemon beside the target says that it can't read the store and that the
// target answers it. Vouching is a lease that counts from that answer (guard
// LEASE_FROM_ANSWER in spec/leaving_bound.pml): it ends when it isn't renewed,
// when the daemon takes it back, when the target is listed again or another one
// is listed at its address (guard ADDRESS_FREE in spec/lapsed_targets.pml).
// Vouching for another start of the target keeps nothing (guard SAME_START in
// spec/lapsed_targets.pml).
//
// Pure logic; the origin keeps one.
class lapsed_targets {
 public:
  // How long vouching holds. A target may have left right behind its answer,
  // and requests must not reach it two seconds later; they take time
  // themselves.
  static constexpr milliseconds kVouchingLease = target_vouching::kLease;
  // It may come after the entry has gone: a daemon notices that its
  // connection to the store is dead only after some seconds.
  static constexpr milliseconds kRetention{6000};

  // The store's list is `listed` now.
  void SetListed(std::vector<target_entry> listed, time_point now);
  // The daemon at `ip` vouched for this start of its target, which answered at
  // `answered`, or, if empty, for none.
  void OnVouched(const std::string& ip,
                 const std::string& start,
                 time_point answered);

  // Targets that are used besides the listed ones.
  [[nodiscard]] std::vector<target_entry> Kept(time_point now) const;
  // Forgets what can't come back.
  void Expire(time_point now);

 private:
  struct vouching {
    std::string start;
    time_point answered;
  };
  struct removed_target {
    target_entry entry;
    time_point last_needed;  // Of its removal, or of the last vouching.
  };

  [[nodiscard]] bool IsListed(const target_entry& entry) const;
  [[nodiscard]] bool IsVouched(const target_entry& entry, time_point now) const;

  std::vector<target_entry> listed_;
  std::map<std::string, removed_target> removed_;  // By id; none is listed.
  std::map<std::string, vouching> vouchings_;      // By IP number.
};

}  // namespace pistachioweir
