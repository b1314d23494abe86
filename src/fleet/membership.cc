// Weighing of the three sources of membership.
#include "include/fleet/membership.h"

#include <algorithm>
#include <set>
#include <utility>

namespace pistachioweir {
namespace {

bool IsFinal(member_state state) {
  return state == member_state::kLeaving || state == member_state::kDead;
}

}  // namespace

bool Overrides(const member_news& a, const member_news& b) {
  if (a.generation != b.generation) {
    return a.generation > b.generation;
  }
  if (a.incarnation != b.incarnation) {
    // Two starts that don't know of each other yet. Any fixed order will do:
    // the one that runs raises its generation when it hears of the other.
    return a.incarnation > b.incarnation;
  }
  return a.state > b.state;
}

member_state membership::StateOf(const member& entry, time_point now) {
  const bool answered_since_news =
      entry.answered_at && *entry.answered_at > entry.news_at;
  if (entry.has_news && entry.news.state == member_state::kLeaving) {
    return member_state::kLeaving;
  }
  if (entry.answer_says_leaving) {
    return member_state::kLeaving;
  }
  // A live list that lags still names the last start of this VM.
  const bool started_since_list =
      entry.has_news && entry.news_at > entry.list_leaving_since;
  if (entry.list_says_leaving && !started_since_list) {
    return member_state::kLeaving;
  }
  if (entry.has_news && entry.news.state == member_state::kDead &&
      !answered_since_news) {
    return member_state::kDead;
  }
  const bool suspected_by_peers = entry.has_news &&
                                  entry.news.state == member_state::kSuspect &&
                                  !answered_since_news;
  const bool suspected_by_calls = entry.failures >= kFailuresToSuspect &&
                                  now - entry.failed_at < kSuspicion;
  if (suspected_by_peers || suspected_by_calls) {
    return member_state::kSuspect;
  }
  return member_state::kLive;
}

template <typename Change>
std::optional<member_change> membership::Update(const vm_id& vm,
                                                time_point now,
                                                Change change) {
  const auto found = members_.find(vm);
  if (found == members_.end()) {
    return std::nullopt;
  }
  member& entry = found->second;
  const member_state before = StateOf(entry, now);
  change(entry);
  const member_state after = StateOf(entry, now);
  if (before == after) {
    return std::nullopt;
  }
  return member_change{.vm = vm, .service = entry.news.service, .state = after};
}

bool membership::IsOther(const member& entry, incarnation_id incarnation) {
  return entry.has_news && incarnation != incarnation_id{} &&
         entry.news.incarnation != incarnation;
}

std::vector<member_change> membership::ApplyList(
    std::string_view service,
    std::uint64_t revision,
    const std::vector<fleet_target>& list,
    time_point now) {
  std::vector<member_change> changes;
  list_state& last = lists_[std::string(service)];
  const bool older = revision < last.revision;
  const bool newer = revision > last.revision;
  last.revision = std::max(last.revision, revision);

  std::set<std::string_view> named;
  for (const fleet_target& target : list) {
    named.insert(target.vm);
    auto found = members_.find(target.vm);
    if (found == members_.end()) {
      if (members_.size() >= kMaxMembers) {
        continue;
      }
      found = members_.try_emplace(target.vm).first;
      changes.push_back({.vm = target.vm,
                         .service = std::string(service),
                         .state = target.state});
    }
    member& entry = found->second;
    const bool is_new = entry.news.vm.empty();
    if (older && !is_new) {
      continue;  // Only adds what nobody else has told of.
    }
    const member_state before = StateOf(entry, now);
    if (!entry.has_news) {
      entry.news.vm = target.vm;
      entry.news.peer = target.peer;
      entry.news.service = service;
      entry.news.data_centre = target.data_centre;
      entry.news.region = target.region;
    }
    const bool leaving = target.state == member_state::kLeaving;
    if (leaving && !entry.list_says_leaving) {
      entry.list_leaving_since = now;
    }
    entry.list_says_leaving = leaving;
    const member_state after = StateOf(entry, now);
    if (before != after && !is_new) {
      changes.push_back(
          {.vm = target.vm, .service = std::string(service), .state = after});
    }
  }
  // Only a list that is newer than the last one is a sign that a VM is gone: a
  // stale replica serves the same old list again and again.
  std::erase_if(members_, [&](const auto& item) {
    const member& entry = item.second;
    if (entry.news.service != service || named.contains(item.first)) {
      return false;
    }
    const bool heard_of_lately = entry.has_news && !IsFinal(entry.news.state) &&
                                 now - entry.news_at < kListLag;
    if (!newer || heard_of_lately) {
      return false;
    }
    changes.push_back({.vm = item.first,
                       .service = std::string(service),
                       .state = member_state::kDead});
    return true;
  });
  return changes;
}

std::optional<member_change> membership::ApplyNews(const member_news& news,
                                                   time_point now) {
  const auto found = members_.find(news.vm);
  if (found == members_.end()) {
    if (members_.size() >= kMaxMembers || news.state == member_state::kDead) {
      return std::nullopt;
    }
    member& entry = members_[news.vm];
    entry.news = news;
    entry.has_news = true;
    entry.news_at = now;
    return member_change{
        .vm = news.vm, .service = news.service, .state = news.state};
  }
  if (found->second.has_news && !Overrides(news, found->second.news)) {
    return std::nullopt;
  }
  return Update(news.vm, now, [&](member& entry) {
    const bool restarted =
        entry.has_news && entry.news.incarnation != news.incarnation;
    if (restarted) {
      entry.answer_says_leaving = false;
      entry.failures = 0;
    }
    if (news.state == member_state::kLive) {
      entry.failures = 0;
    }
    entry.news = news;
    entry.has_news = true;
    entry.news_at = now;
  });
}

std::optional<member_change> membership::NoteAnswered(
    const vm_id& vm,
    incarnation_id incarnation,
    time_point now) {
  return Update(vm, now, [&](member& entry) {
    entry.failures = 0;
    // Life of one start says nothing of the death of another.
    if (!IsOther(entry, incarnation)) {
      entry.answered_at = now;
    }
  });
}

std::optional<member_change> membership::NoteFailed(const vm_id& vm,
                                                    incarnation_id incarnation,
                                                    time_point now) {
  return Update(vm, now, [&](member& entry) {
    if (IsOther(entry, incarnation)) {
      return;
    }
    ++entry.failures;
    entry.failed_at = now;
  });
}

std::optional<member_change> membership::NoteLeaving(const vm_id& vm,
                                                     incarnation_id incarnation,
                                                     time_point now) {
  return Update(vm, now, [&](member& entry) {
    if (!IsOther(entry, incarnation)) {
      entry.answer_says_leaving = true;
    }
  });
}

void membership::KeepServices(const std::vector<std::string>& services) {
  const auto dropped = [&](const std::string& service) {
    return !std::ranges::binary_search(services, service);
  };
  std::erase_if(members_, [&](const auto& item) {
    return dropped(item.second.news.service);
  });
  std::erase_if(lists_, [&](const auto& item) { return dropped(item.first); });
}

std::vector<fleet_target> membership::Targets(std::string_view service,
                                              time_point now) const {
  std::vector<fleet_target> targets;
  for (const auto& [vm, entry] : members_) {
    const member_state state = StateOf(entry, now);
    if (entry.news.service != service || state == member_state::kDead) {
      continue;
    }
    targets.push_back({.vm = vm,
                       .data_centre = entry.news.data_centre,
                       .region = entry.news.region,
                       .peer = entry.news.peer,
                       .state = state});
    if (entry.has_news) {
      targets.back().incarnation = entry.news.incarnation;
    }
  }
  return targets;
}

bool membership::HasList(std::string_view service) const {
  return lists_.contains(service);
}

std::uint64_t membership::ListRevision(std::string_view service) const {
  const auto found = lists_.find(service);
  return found == lists_.end() ? 0 : found->second.revision;
}

std::optional<member_state> membership::StateOf(const vm_id& vm,
                                                time_point now) const {
  const auto found = members_.find(vm);
  if (found == members_.end()) {
    return std::nullopt;
  }
  return StateOf(found->second, now);
}

}  // namespace pistachioweir
