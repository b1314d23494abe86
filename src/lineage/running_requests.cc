// Search of the request that a call belongs to.
#include "include/lineage/running_requests.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace pistachioweir {

void running_requests::Insert(std::uint64_t key, running_request request) {
  Erase(key);
  const entry& stored = *requests_.emplace(key, std::move(request)).first;
  if (!stored.second.id.empty()) {
    by_id_.emplace(stored.second.id, &stored);
  }
  const auto at = std::ranges::upper_bound(by_deadline_, stored.second.deadline,
                                           {}, &deadline_entry::deadline);
  by_deadline_.insert(at, EntryOf(stored));
}

void running_requests::Erase(std::uint64_t key) {
  const auto found = requests_.find(key);
  if (found == requests_.end()) {
    return;
  }
  const entry* const request = &*found;
  const auto [first_named, last_named] = by_id_.equal_range(request->second.id);
  const auto named =
      std::find_if(first_named, last_named,
                   [&](const auto& each) { return each.second == request; });
  if (named != last_named) {
    by_id_.erase(named);
  }
  const auto first_due = std::ranges::lower_bound(
      by_deadline_, request->second.deadline, {}, &deadline_entry::deadline);
  by_deadline_.erase(std::find_if(
      first_due, by_deadline_.end(),
      [&](const deadline_entry& each) { return each.request == request; }));
  requests_.erase(found);
}

const running_request* running_requests::Find(std::uint64_t key) const {
  const auto found = requests_.find(key);
  return found == requests_.end() ? nullptr : &found->second;
}

running_requests::deadline_entry running_requests::EntryOf(
    const entry& request) {
  return {.deadline = request.second.deadline,
          .request = &request,
          .rank = request.second.rank,
          .has_precedence = request.second.has_precedence,
          .in_repeat = request.second.lineage.in_repeat};
}

parent_match running_requests::MatchOf(const entry& request,
                                       lineage_evidence evidence) {
  const running_request& parent = request.second;
  parent_match match{.evidence = evidence,
                     .parent = request.first,
                     .rank = parent.rank,
                     .has_precedence = parent.has_precedence,
                     .ticket = parent.ticket,
                     .lineage = parent.lineage};
  ++match.lineage.depth;
  return match;
}

void running_requests::common_facts::Add(const deadline_entry& other) {
  if (least == nullptr || other.rank > least->second.rank) {
    least = other.request;
  }
  has_precedence &= other.has_precedence;
  in_repeat |= other.in_repeat;
}

parent_match running_requests::common_facts::Match() const {
  if (least == nullptr) {
    return {};
  }
  parent_match match = MatchOf(*least, lineage_evidence::kAmbiguous);
  match.parent = parent_match::kNoParent;
  match.has_precedence = has_precedence;
  match.lineage.in_repeat = in_repeat;
  return match;
}

parent_match running_requests::FindById(std::string_view call_id) const {
  if (call_id.size() > kMaxIdLength ||
      static_cast<std::size_t>(std::ranges::count(call_id, '.')) >
          kMaxSeparators) {
    return {};
  }
  for (std::size_t dot = call_id.rfind('.');
       dot != std::string_view::npos && dot > 0;
       dot = call_id.rfind('.', dot - 1)) {
    const auto [first, last] = by_id_.equal_range(call_id.substr(0, dot));
    if (first == last) {
      continue;
    }
    if (std::next(first) == last) {
      return MatchOf(*first->second, lineage_evidence::kRequestId);
    }
    common_facts common;
    for (auto at = first; at != last; ++at) {
      common.Add(EntryOf(*at->second));
    }
    return common.Match();
  }
  return {};
}

parent_match running_requests::FindByDeadline(time_point deadline) const {
  const auto begin =
      std::ranges::lower_bound(by_deadline_, deadline - kDeadlineTolerance, {},
                               &deadline_entry::deadline);
  auto end =
      std::ranges::upper_bound(by_deadline_, deadline + kDeadlineTolerance, {},
                               &deadline_entry::deadline);
  if (end - begin == 1) {
    return MatchOf(*begin->request, lineage_evidence::kDeadline);
  }
  if (begin == end) {
    // The call's own timeout is shorter than what its parent has left.
    end = by_deadline_.end();
  }
  common_facts common;
  std::for_each(begin, end,
                [&](const deadline_entry& each) { common.Add(each); });
  return common.Match();
}

}  // namespace pistachioweir
