// Lending, division and passing on of tokens.
#include "include/retry/repeat_exchange.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>
#include <utility>

namespace pistachioweir {
namespace {

std::uint32_t Total(const rank_counts& counts) {
  return std::accumulate(counts.begin(), counts.end(), 0U);
}

void AddTo(rank_counts& sum, const rank_counts& more) {
  for (std::size_t rank = 0; rank < kPriorityCount; ++rank) {
    sum[rank] += more[rank];
  }
}

// Removes `count`, the most important first.
void Reduce(rank_counts& counts, std::uint32_t count) {
  for (std::uint32_t& each : counts) {
    const std::uint32_t part = std::min(each, count);
    each -= part;
    count -= part;
  }
}

// What one of the daemons that want tokens gets of `available`: all that it
// wants for the most important ranks, and its proportion of the last one that
// isn't covered. Rounded up, or a single token would be nobody's.
std::uint32_t ShareOf(const rank_counts& wanted,
                      const rank_counts& total,
                      std::uint32_t available) {
  std::uint32_t share = 0;
  for (std::size_t rank = 0; rank < kPriorityCount; ++rank) {
    if (total[rank] > available) {
      const std::uint64_t part =
          std::uint64_t{available} * wanted[rank] + total[rank] - 1;
      return share + static_cast<std::uint32_t>(part / total[rank]);
    }
    share += wanted[rank];
    available -= total[rank];
  }
  return share;
}

double OfOthers(std::uint32_t all, std::uint32_t own) {
  return static_cast<double>(all - std::min(all, own));
}

// The frame has room for a few groups; each expires with its first token.
std::vector<passed_tokens> Pass(const std::vector<repeat_tokens>& tokens,
                                time_point now) {
  constexpr milliseconds kWidth =
      ranked_repeat_budget::kTokenLifetime / repeat_entry::kMaxGroups;
  std::vector<passed_tokens> passed;
  for (const repeat_tokens& each : tokens) {
    const milliseconds left = TimeLeft(each.expires, now);
    const bool is_full = passed.size() == repeat_entry::kMaxGroups;
    if (!passed.empty() &&
        (is_full || left - passed.back().valid_for < kWidth)) {
      passed.back().count += each.count;
    } else {
      passed.push_back({.count = each.count, .valid_for = left});
    }
  }
  return passed;
}

// Drops those whose time is over (guard EXPIRED_DROPPED in
// spec/repeat_lending.pml).
void Collect(const std::vector<passed_tokens>& tokens,
             time_point valid_from,
             time_point now,
             token_pool& pool) {
  for (const passed_tokens& each : tokens) {
    pool.Add({.count = each.count, .expires = valid_from + each.valid_for});
  }
  pool.Expire(now);
}

}  // namespace

repeat_exchange::service_state* repeat_exchange::StateOf(
    std::string_view service) {
  const auto found = services_.find(service);
  if (found != services_.end()) {
    return &found->second;
  }
  if (services_.size() >= kMaxServices) {
    return nullptr;
  }
  return &services_.try_emplace(std::string(service)).first->second;
}

repeat_exchange::need repeat_exchange::Sum(const service_state& state) {
  need sum = state.own;
  for (const auto& [child, each] : state.children) {
    AddTo(sum.unmet, each.unmet);
    AddTo(sum.spare, each.spare);
    AddTo(sum.shortage, each.shortage);
  }
  return sum;
}

bool repeat_exchange::IsWanted(const need& of) {
  return Total(of.unmet) + Total(of.shortage) > 0;
}

void repeat_exchange::Expire(time_point now) {
  for (auto& [service, state] : services_) {
    state.to_parent.Expire(now);
    state.to_divide.Expire(now);
    std::erase_if(state.children, [now](const auto& each) {
      return now - each.second.at > kStaleAfter;
    });
    for (need* const each : {&state.own, &state.fleet}) {
      if (now - each->at > kStaleAfter) {
        *each = {};
      }
    }
  }
  std::erase_if(services_, [](const auto& each) {
    const service_state& state = each.second;
    return state.to_parent.size() + state.to_divide.size() == 0 &&
           state.children.empty() && state.own.at == time_point() &&
           state.fleet.at == time_point();
  });
}

// The proportion of its spare tokens. Until all have told those, more than an
// equal part, since not all daemons call the service.
rank_amounts repeat_exchange::DueParts(const service_state& state,
                                       const rank_counts& spare,
                                       time_point now) const {
  constexpr double kEqualParts = 4;
  const bool all_told = now - state.wanted_since >= kLendDelay;
  rank_amounts parts{};
  for (std::size_t rank = 0; rank < kPriorityCount; ++rank) {
    const std::uint32_t all = std::max(state.fleet.spare[rank], spare[rank]);
    if (!all_told) {
      parts[rank] = std::min(1.0, kEqualParts / static_cast<double>(daemons_));
    } else if (all > 0) {
      parts[rank] = static_cast<double>(spare[rank]) / all;
    }
  }
  return parts;
}

void repeat_exchange::KeepDue(service_state& state,
                              ranked_repeat_budget& budget,
                              time_point now) const {
  rank_amounts needed{};
  if (IsWanted(state.fleet)) {
    state.wanted_since = std::min(state.wanted_since, now);
    const rank_amounts parts = DueParts(state, budget.Spare(now), now);
    for (std::size_t rank = 0; rank < kPriorityCount; ++rank) {
      needed[rank] = parts[rank] * OfOthers(state.fleet.shortage[rank],
                                            state.own.shortage[rank]);
    }
  } else {
    state.wanted_since = time_point::max();
  }
  budget.KeepForOthers(needed, now);
}

void repeat_exchange::LendDue(service_state& state,
                              ranked_repeat_budget& budget,
                              double random,
                              time_point now) {
  if (!lends_ || !IsWanted(state.fleet) ||
      now - state.wanted_since < kLendDelay) {
    return;
  }
  const rank_amounts parts = DueParts(state, budget.Spare(now), now);
  for (std::size_t rank = 0; rank < kPriorityCount; ++rank) {
    const double due =
        parts[rank] * OfOthers(state.fleet.unmet[rank], state.own.unmet[rank]);
    if (due > 0) {
      const std::uint32_t lent =
          budget.Lend(static_cast<priority>(rank),
                      static_cast<std::uint32_t>(due + random), now);
      (is_root_ ? state.to_divide : state.to_parent)
          .Add({.count = lent,
                .expires = now + ranked_repeat_budget::kTokenLifetime});
    }
  }
}

void repeat_exchange::UpdateFleet(service_state& state, time_point now) {
  state.fleet = Sum(state);
  Reduce(state.fleet.unmet, state.to_divide.size());
  state.fleet.at = IsWanted(state.fleet) ? now : time_point();
}

void repeat_exchange::TakeOwn(service_state& state,
                              ranked_repeat_budget& budget,
                              time_point now) {
  const std::uint32_t share =
      ShareOf(state.own.unmet, Sum(state).unmet, state.to_divide.size());
  for (const repeat_tokens& each : state.to_divide.Take(share)) {
    budget.Borrow(each, now);
  }
  Reduce(state.own.unmet, share);
}

void repeat_exchange::Tick(const std::vector<own_repeat_budget>& own,
                           double random,
                           time_point now) {
  Expire(now);
  for (const own_repeat_budget& each : own) {
    const rank_counts unmet = each.budget->Unmet(now);
    const rank_counts shortage = each.budget->Shortage(now);
    const bool wants = Total(unmet) + Total(shortage) > 0;
    const auto found = services_.find(each.service);
    if (found == services_.end() && !wants) {
      continue;
    }
    service_state* const state = StateOf(each.service);
    if (state == nullptr) {
      continue;
    }
    const bool wanted = IsWanted(state->fleet);
    KeepDue(*state, *each.budget, now);
    LendDue(*state, *each.budget, random, now);
    state->own = {.unmet = unmet,
                  .spare = wanted ? each.budget->Spare(now) : rank_counts{},
                  .shortage = shortage,
                  .at = wants || wanted ? now : time_point()};
    if (is_root_) {
      TakeOwn(*state, *each.budget, now);
    }
  }
  if (!is_root_) {
    return;
  }
  for (auto& [service, state] : services_) {
    for (const repeat_tokens& each :
         state.to_parent.Take(state.to_parent.size())) {
      state.to_divide.Add(each);
    }
    UpdateFleet(state, now);
  }
}

repeat_entries repeat_exchange::TakeReport(time_point now) {
  repeat_entries report;
  for (auto& [service, state] : services_) {
    const need sum = Sum(state);
    const std::uint32_t tokens = state.to_parent.size();
    if (tokens + Total(sum.spare) > 0 || IsWanted(sum)) {
      report.push_back({.service = service,
                        .tokens = Pass(state.to_parent.Take(tokens), now),
                        .unmet = sum.unmet,
                        .spare = sum.spare,
                        .shortage = sum.shortage});
    }
  }
  return report;
}

repeat_entries repeat_exchange::OnReport(std::uint64_t child,
                                         const repeat_entries& report,
                                         milliseconds transit,
                                         time_point now) {
  Expire(now);
  for (auto& [service, state] : services_) {
    state.children.erase(child);
  }
  for (const repeat_entry& entry : report) {
    service_state* const state = StateOf(entry.service);
    if (state == nullptr) {
      continue;
    }
    if (state->children.size() < kMaxChildren) {
      state->children[child] = {.unmet = entry.unmet,
                                .spare = entry.spare,
                                .shortage = entry.shortage,
                                .at = now};
    }
    // Guard TRANSIT_SUBTRACTED in spec/repeat_lending.pml.
    Collect(entry.tokens, now - transit, now,
            is_root_ ? state->to_divide : state->to_parent);
  }
  repeat_entries grant;
  for (auto& [service, state] : services_) {
    if (is_root_) {
      UpdateFleet(state, now);
    }
    repeat_entry entry{.service = service,
                       .unmet = state.fleet.unmet,
                       .spare = state.fleet.spare,
                       .shortage = state.fleet.shortage};
    const auto found = state.children.find(child);
    if (found != state.children.end()) {
      const std::uint32_t share = ShareOf(found->second.unmet, Sum(state).unmet,
                                          state.to_divide.size());
      // Taken out of the pool (guard GRANTED_ONCE in spec/repeat_lending.pml).
      entry.tokens = Pass(state.to_divide.Take(share), now);
      Reduce(found->second.unmet, share);
    }
    if (!entry.tokens.empty() || IsWanted(state.fleet)) {
      grant.push_back(std::move(entry));
    }
  }
  return grant;
}

void repeat_exchange::OnGrant(const repeat_entries& grant,
                              const std::vector<own_repeat_budget>& own,
                              time_point reported_at,
                              time_point now) {
  Expire(now);
  for (auto& [service, state] : services_) {
    state.fleet = {};
  }
  for (const repeat_entry& entry : grant) {
    service_state* const state = StateOf(entry.service);
    if (state == nullptr) {
      continue;
    }
    state->fleet = {.unmet = entry.unmet,
                    .spare = entry.spare,
                    .shortage = entry.shortage,
                    .at = now};
    Collect(entry.tokens, reported_at, now, state->to_divide);
  }
  for (const own_repeat_budget& each : own) {
    const auto found = services_.find(each.service);
    if (found != services_.end()) {
      KeepDue(found->second, *each.budget, now);
      TakeOwn(found->second, *each.budget, now);
    }
  }
}

}  // namespace pistachioweir
