// entrance_control: admission of root requests by the capacity of the target
// beside the daemon and of the services below it.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "include/admit/capacity_shares.h"
#include "include/admit/entrance_limiter.h"
#include "include/base/outcome.h"
#include "include/base/time.h"
#include "include/route/kind_index.h"
#include "src/peer/peer_frame.h"

namespace pistachioweir {

// Ties calls to their root kinds, and keeps for each of these what the local
// target and the services below have capacity for. Kinds beyond the limit of
// kind_index share one state.
//
// Pure logic; the executor keeps one if the setting `entrance` is `cost`.
class entrance_control {
 public:
  // A call as it was counted on arrival.
  struct arrival {
    capacity_call call;
    bool counted = false;      // Repeats are not.
    bool is_entrance = false;  // A root request from outside.
    // Share of the root's kind that is admitted at the entrance.
    double admitted_share = 1;
  };

  // Usable slots of the local target; number of targets of its service.
  void SetSlots(double slots);
  void SetTargets(std::uint32_t targets);

  // Counts a call that arrives in time at a target that is up. Call it once
  // for each, before anything decides about it.
  [[nodiscard]] arrival OnArrival(const call_frame& call,
                                  bool made_by_targets,
                                  time_point now);
  // Whether a root request may be admitted. If it is, Spend() is due.
  [[nodiscard]] bool MayAdmit(const arrival& root,
                              bool has_precedence,
                              time_point now);
  void Spend(const arrival& root) { roots_[root.call.root].limiter.Spend(); }
  // Share that the last MayAdmit() applied.
  [[nodiscard]] double AppliedShare(const arrival& root) const {
    return roots_[root.call.root].limiter.share();
  }

  // A call was refused without reaching the target.
  void OnRefused(const arrival& ended, reason why);
  void OnSucceeded(const arrival& ended, duration served) {
    local_.OnCompleted(ended.call.root, served);
  }
  // A run has failed. Not for one that the target refused to begin.
  void OnFailed(const arrival& ended);

  // A called service has reported the share of `root` that fits there.
  void UpdateBelow(const std::string& root,
                   const std::string& service,
                   double share,
                   time_point now);
  // The smallest share of the local target and of the services below, for the
  // root kind of a call.
  [[nodiscard]] double ShareOf(const call_frame& call, time_point now);
  // To be called once a second: ends an overload even if no call arrives, and
  // drops the shares of services that no longer answer.
  void Tick(time_point now);

  // Share that applies to each kind of which root requests have arrived here.
  [[nodiscard]] std::vector<std::pair<std::string, double>> Shares(
      time_point now) const;
  [[nodiscard]] const capacity_shares& local() const { return local_; }
  // Shares of services below that are kept, over all root kinds.
  [[nodiscard]] std::size_t services_below() const;

 private:
  struct root_state {
    entrance_limiter limiter;
    // By service; of those that answered within recent_share::kForgotten, and
    // since the last Tick().
    std::unordered_map<std::string, recent_share> below;
  };

  [[nodiscard]] double LowestShare(std::uint32_t root, time_point now) const;
  void SetCapacity() { local_.SetCapacity(slots_, targets_, kMaxSends); }

  // Of one call by its origin; see origin::StateOf().
  static constexpr std::uint32_t kMaxSends = 4;

  double slots_ = 1;
  std::uint32_t targets_ = 1;
  kind_index kinds_;  // Of roots.
  capacity_shares local_;
  std::array<root_state, kind_index::kMaxKinds> roots_;
  // Routes of root requests that arrived here; at most kMaxKinds.
  std::unordered_map<std::string, std::uint32_t> entrances_;
};

// Hash of the id of a call's root request: the call's id without the part that
// each hop above has appended after a dot.
[[nodiscard]] std::uint64_t RootHash(std::string_view call_id,
                                     std::uint32_t depth,
                                     std::string_view root);

}  // namespace pistachioweir
