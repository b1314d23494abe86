// Removed targets and the vouching of the daemons beside them.
#include "include/forward/lapsed_targets.h"

#include <utility>

namespace pistachioweir {

// Under its id, or with another target at its address.
bool lapsed_targets::IsListed(const target_entry& entry) const {
  return listed_.Find(entry.id) != nullptr || listed_.IsListed(entry.address);
}

bool lapsed_targets::IsVouched(const target_entry& entry,
                               time_point now) const {
  const auto found = vouchings_.find(entry.address.ip);
  return found != vouchings_.end() &&
         now - found->second.answered <= kVouchingLease &&
         found->second.start == StartName(entry);
}

void lapsed_targets::SetListed(std::shared_ptr<const target_list> listed,
                               time_point now) {
  const target_changes changes = listed_.Set(std::move(listed));
  for (const target_entry& entry : changes.removed) {
    if (entry.state == target_state::kReady && !IsListed(entry)) {
      removed_.insert_or_assign(
          entry.id, removed_target{.entry = entry, .last_needed = now});
    }
  }
  std::erase_if(removed_,
                [&](const auto& each) { return IsListed(each.second.entry); });
}

void lapsed_targets::OnVouched(const std::string& ip,
                               const std::string& start,
                               time_point answered) {
  if (start.empty()) {
    vouchings_.erase(ip);
    return;
  }
  vouchings_.insert_or_assign(ip,
                              vouching{.start = start, .answered = answered});
}

std::vector<target_entry> lapsed_targets::Kept(time_point now) const {
  std::vector<target_entry> kept;
  for (const auto& [id, removed] : removed_) {
    if (IsVouched(removed.entry, now)) {
      kept.push_back(removed.entry);
    }
  }
  return kept;
}

void lapsed_targets::Expire(time_point now) {
  for (auto& [id, removed] : removed_) {
    if (IsVouched(removed.entry, now)) {
      removed.last_needed = now;
    }
  }
  std::erase_if(removed_, [&](const auto& each) {
    return now - each.second.last_needed > kRetention;
  });
  std::erase_if(vouchings_, [&](const auto& each) {
    return now - each.second.answered > kVouchingLease;
  });
}

}  // namespace pistachioweir
