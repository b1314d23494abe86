// lapsed_targets: targets whose entries have expired in the platform's store
// and that stay in use, since the daemons beside them vouch for them.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "include/base/time.h"
#include "include/forward/service_view.h"
#include "include/forward/target_changes.h"
#include "include/forward/target_vouching.h"

namespace pistachioweir {

// The receiving side of target_vouching. When an entry vanishes from the store,
// either the target has left or the entry has expired, and the store doesn't
// say which. It has expired if the daemon beside the target reports that it
// can't read the store and that the target answers it. Vouching is a lease that
// counts from that answer (guard LEASE_FROM_ANSWER in spec/leaving_bound.pml):
// it ends when it isn't renewed, when the daemon withdraws it, when the target
// is listed again or another one is listed at its address (guard ADDRESS_FREE
// in spec/lapsed_targets.pml). Vouching for another start of the target has no
// effect (guard SAME_START in spec/lapsed_targets.pml).
//
// Pure logic; owned by the origin.
class lapsed_targets {
 public:
  // How long vouching is valid. A target may leave right after its answer, and
  // no request may reach it more than two seconds later, including the time
  // that the request itself takes.
  static constexpr milliseconds kVouchingLease = target_vouching::kLease;
  // How long a removed entry is kept. Vouching may arrive after the removal: a
  // daemon notices only after some seconds that its connection to the store is
  // dead.
  static constexpr milliseconds kRetention{6000};

  // Sets the targets that the store lists now.
  void SetListed(std::shared_ptr<const target_list> listed, time_point now);
  // The daemon at `ip` vouched for this start of its target, which answered at
  // `answered`. An empty `start` withdraws its vouching.
  void OnVouched(const std::string& ip,
                 const std::string& start,
                 time_point answered);

  // Targets to use in addition to the listed ones.
  [[nodiscard]] std::vector<target_entry> Kept(time_point now) const;
  // Drops removed entries and vouching that are too old to matter.
  void Expire(time_point now);

 private:
  struct vouching {
    std::string start;
    time_point answered;
  };
  struct removed_target {
    target_entry entry;
    time_point last_needed;  // Time of its removal or of the last vouching.
  };

  [[nodiscard]] bool IsListed(const target_entry& entry) const;
  [[nodiscard]] bool IsVouched(const target_entry& entry, time_point now) const;

  target_directory listed_;
  std::map<std::string, removed_target> removed_;  // By id; none is listed.
  std::map<std::string, vouching> vouchings_;      // By IP address.
};

}  // namespace pistachioweir
