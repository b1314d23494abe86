// Search of the request that a call belongs to.
#include "include/lineage/running_requests.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace pistachioweir {

void running_requests::Insert(std::uint64_t key, running_request request) {
  Erase(key);
  const auto [at, inserted] = requests_.emplace(key, std::move(request));
  const running_request& stored = at->second;
  if (!stored.id.empty()) {
    // The view of an earlier run with this id would outlive its string.
    by_id_.erase(stored.id);
    by_id_.emplace(stored.id, key);
  }
  by_deadline_.emplace(stored.deadline, key);
}

void running_requests::Erase(std::uint64_t key) {
  const auto found = requests_.find(key);
  if (found == requests_.end()) {
    return;
  }
  const auto named = by_id_.find(found->second.id);
  if (named != by_id_.end() && named->second == key) {
    by_id_.erase(named);
  }
  const auto [first, last] = by_deadline_.equal_range(found->second.deadline);
  by_deadline_.erase(std::find_if(
      first, last, [&](const auto& entry) { return entry.second == key; }));
  requests_.erase(found);
}

const running_request* running_requests::Find(std::uint64_t key) const {
  const auto found = requests_.find(key);
  return found == requests_.end() ? nullptr : &found->second;
}

parent_match running_requests::MatchOf(std::uint64_t key,
                                       lineage_evidence evidence) const {
  const running_request& parent = requests_.at(key);
  parent_match match{.evidence = evidence,
                     .parent = key,
                     .rank = parent.rank,
                     .has_precedence = parent.has_precedence,
                     .ticket = parent.ticket,
                     .lineage = parent.lineage};
  ++match.lineage.depth;
  return match;
}

parent_match running_requests::FindById(std::string_view call_id) const {
  if (call_id.size() > kMaxIdLength ||
      static_cast<std::size_t>(std::ranges::count(call_id, '.')) >
          kMaxSeparators) {
    return {};
  }
  for (std::size_t dot = call_id.rfind('.'); dot != std::string_view::npos;
       dot = call_id.rfind('.', dot - 1)) {
    const auto found = by_id_.find(call_id.substr(0, dot));
    if (found != by_id_.end()) {
      return MatchOf(found->second, lineage_evidence::kRequestId);
    }
    if (dot == 0) {
      break;
    }
  }
  return {};
}

parent_match running_requests::FindByDeadline(time_point deadline) const {
  const auto first = by_deadline_.lower_bound(deadline - kDeadlineTolerance);
  const auto last = by_deadline_.upper_bound(deadline + kDeadlineTolerance);
  if (first == last) {
    // The call's own timeout is shorter than what its parent has left.
    return Common(last, by_deadline_.end());
  }
  return std::next(first) == last
             ? MatchOf(first->second, lineage_evidence::kDeadline)
             : Common(first, last);
}

parent_match running_requests::Common(deadline_map::const_iterator first,
                                      deadline_map::const_iterator last) const {
  if (first == last) {
    return {};
  }
  parent_match common = MatchOf(first->second, lineage_evidence::kAmbiguous);
  common.parent = parent_match::kNoParent;
  for (auto at = std::next(first); at != last; ++at) {
    const running_request& other = requests_.at(at->second);
    common.lineage.in_repeat |= other.lineage.in_repeat;
    common.has_precedence &= other.has_precedence;
    if (other.rank > common.rank) {
      common.rank = other.rank;
      common.ticket = other.ticket;
      common.lineage.root = other.lineage.root;
      common.lineage.depth = other.lineage.depth + 1;
      common.lineage.admitted_share = other.lineage.admitted_share;
    }
  }
  return common;
}

}  // namespace pistachioweir
