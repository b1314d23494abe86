// Attribution of calls to root kinds, and the shares that apply to these.
#include "src/forward/entrance_control.h"

#include <algorithm>
#include <bit>
#include <functional>

namespace pistachioweir {
namespace {

// Refusals that the state of the target or of the call explains, but not a lack
// of capacity.
bool IsForCapacity(reason why) {
  switch (why) {
    case reason::kOverload:
    case reason::kQueueFull:
    case reason::kDeadlinePassed:
    case reason::kDeadlineInfeasible:
    case reason::kTableFull:
    case reason::kRateLimited:
      return true;
    default:
      return false;
  }
}

bool HasParent(const call_frame& call) {
  return call.lineage && call.lineage->depth > 0;
}

const std::string& RootOf(const call_frame& call) {
  return HasParent(call) ? call.lineage->root : call.route;
}

}  // namespace

std::uint64_t RootHash(std::string_view call_id,
                       std::uint32_t depth,
                       std::string_view root) {
  std::string_view id = call_id;
  for (std::uint32_t i = 0; i < depth; ++i) {
    const std::size_t dot = id.rfind('.');
    if (dot == std::string_view::npos) {
      break;
    }
    id = id.substr(0, dot);
  }
  constexpr int kRotation = 31;
  const std::hash<std::string_view> hash;
  return hash(id) ^ std::rotl(std::uint64_t{hash(root)}, kRotation);
}

void entrance_control::SetSlots(double slots) {
  slots_ = slots;
  SetCapacity();
}

void entrance_control::SetTargets(std::uint32_t targets) {
  targets_ = targets;
  SetCapacity();
}

entrance_control::arrival entrance_control::OnArrival(const call_frame& call,
                                                      bool made_by_targets,
                                                      time_point now) {
  const bool has_parent = HasParent(call);
  const std::string& root = RootOf(call);
  const std::uint32_t depth = has_parent ? call.lineage->depth : 0;
  arrival arrived{
      .call = {.root = kinds_.IndexOf(root),
               .rank = call.rank,
               .admitted_share = has_parent ? call.lineage->admitted_share : 1,
               .request = RootHash(call.request_id, depth, root)},
      .counted = !call.lineage || !call.lineage->in_repeat,
      .is_entrance = !has_parent && !made_by_targets};
  arrived.admitted_share = arrived.call.admitted_share;
  if (!has_parent && made_by_targets) {
    arrived.call.root = capacity_shares::kUnattributed;
  }
  if (arrived.is_entrance && arrived.call.root != 0) {
    entrances_.try_emplace(root, arrived.call.root);
  }
  if (arrived.counted) {
    local_.OnArrival(arrived.call, now);
  }
  return arrived;
}

double entrance_control::LowestShare(std::uint32_t root, time_point now) const {
  double lowest = local_.share(root);
  for (const auto& [service, share] : roots_[root].below) {
    lowest = std::min(lowest, share.Get(now));
  }
  return lowest;
}

double entrance_control::ShareOf(const call_frame& call, time_point now) {
  return LowestShare(kinds_.IndexOf(RootOf(call)), now);
}

bool entrance_control::MayAdmit(const arrival& root,
                                bool has_precedence,
                                time_point now) {
  entrance_limiter& limiter = roots_[root.call.root].limiter;
  limiter.SetShare(LowestShare(root.call.root, now));
  return limiter.MayAdmit(has_precedence);
}

void entrance_control::OnRefused(const arrival& ended, reason why) {
  if (ended.counted && IsForCapacity(why)) {
    local_.OnRefused(ended.call);
  }
}

void entrance_control::OnFailed(const arrival& ended) {
  if (ended.counted) {
    local_.OnFailed(ended.call);
  }
}

void entrance_control::UpdateBelow(const std::string& root,
                                   const std::string& service,
                                   double share,
                                   time_point now) {
  roots_[kinds_.IndexOf(root)].below[service].Add(share, now);
}

void entrance_control::Tick(time_point now) {
  local_.Update(now);
  for (root_state& root : roots_) {
    std::erase_if(root.below, [now](const auto& each) {
      return each.second.IsForgotten(now);
    });
  }
}

std::size_t entrance_control::services_below() const {
  std::size_t count = 0;
  for (const root_state& root : roots_) {
    count += root.below.size();
  }
  return count;
}

std::vector<std::pair<std::string, double>> entrance_control::Shares(
    time_point now) const {
  std::vector<std::pair<std::string, double>> shares;
  shares.reserve(entrances_.size());
  for (const auto& [route, root] : entrances_) {
    shares.emplace_back(route, LowestShare(root, now));
  }
  return shares;
}

}  // namespace pistachioweir
