// The origin's view of the services around it: the view in use, including
// targets whose entries have expired in the store, and the state of each
// service.
#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "include/base/log.h"
#include "src/forward/origin.h"

namespace pistachioweir {
namespace {

// Maximum sends of one call, including those that are refused before they reach
// a target. A refusal by the daemon beside a target costs the target nothing,
// but each takes a round trip, and most targets of a busy service are equally
// loaded. Sends that reach no daemon say nothing about the other targets and
// don't count.
constexpr std::uint32_t kMaxSends = 4;

target_info InfoOf(const target_entry& target) {
  return {.vm = target.id,
          .data_centre = target.data_centre,
          .incarnation = target.start,
          .leaving = target.state == target_state::kLeaving,
          .cold = target.warm_up_left > milliseconds(0),
          .warm_up_left = target.warm_up_left,
          .slots = target.slots};
}

std::map<std::string, target_list_changes> ByService(
    const target_changes& changes) {
  std::map<std::string, target_list_changes> by_service;
  for (const target_entry& each : changes.removed) {
    by_service[each.service].removed.push_back(each.id);
  }
  for (const changed_target& each : changes.changed) {
    if (each.before.service != each.after.service) {
      by_service[each.before.service].removed.push_back(each.before.id);
    }
    by_service[each.after.service].updated.push_back(InfoOf(each.after));
  }
  for (const target_entry& each : changes.added) {
    by_service[each.service].updated.push_back(InfoOf(each));
  }
  return by_service;
}

}  // namespace

void origin::SetView(std::shared_ptr<const service_view> view) {
  const time_point now = monotonic_clock::now();
  listed_ = std::move(view);
  lapsed_.SetListed(TargetsOf(listed_), now);
  SetKept(lapsed_.Kept(now));
  UseTargets(now);
}

void origin::UseTargets(time_point now) {
  if (kept_.empty()) {
    view_ = listed_;
  } else {
    auto used = std::make_shared<service_view>(*listed_);
    used->targets.insert(used->targets.end(), kept_.begin(), kept_.end());
    view_ = std::move(used);
  }
  const target_changes changes = directory_.Set(TargetsOf(view_));
  reserve_share_.OnDaemonCount(directory_.hosts(), now);
  ShareReserve(now);
  for (const auto& [service, changed] : ByService(changes)) {
    StateOf(service).targets.UpdateTargets(changed, now);
  }
  ApplyNotices();
  CloseUnusedLinks();
}

void origin::SetPosition(double position) {
  position_ = position;
  for (auto& [service, state] : services_) {
    state.targets.SetPosition(position);
  }
}

origin::service_state& origin::StateOf(const std::string& service) {
  const auto found = services_.find(service);
  if (found != services_.end()) {
    return found->second;
  }
  service_state& state =
      services_
          .try_emplace(
              service,
              balancer_options{.data_centre = options_.data_centre,
                               .policy = placement_policy::kExpectedEnd,
                               .methods = kind_index::kMaxKinds,
                               .max_tries = kMaxSends},
              RepeatOptions(monotonic_clock::now()),
              RankedRepeatOptions(monotonic_clock::now()))
          .first->second;
  state.targets.SetPosition(position_);
  return state;
}

repeat_budget_options origin::RepeatOptions(time_point now) {
  return {.window = options_.repeat_window,
          .ratio = options_.repeat_ratio,
          .reserve = options_.repeat_reserve * reserve_share_.Fraction(now)};
}

ranked_repeat_options origin::RankedRepeatOptions(time_point now) {
  return {.window = options_.repeat_window,
          .ratio = options_.leaf_repeat_ratio,
          .starting_ratio = options_.starting_repeat_ratio,
          .started = options_.started,
          .calling_ratio = options_.repeat_ratio,
          .reserve = options_.repeat_reserve * reserve_share_.Fraction(now)};
}

// The share changes with the list of daemons, and over time after such a
// change.
void origin::ShareReserve(time_point now) {
  const repeat_budget_options repeating = RepeatOptions(now);
  const ranked_repeat_options by_rank = RankedRepeatOptions(now);
  for (auto& [service, state] : services_) {
    state.repeats.Configure(repeating);
    state.ranked_repeats.Configure(by_rank);
  }
}

// Starts or stops using targets whose entries have expired, as daemons vouch
// for them or no longer do.
void origin::KeepLapsed(time_point now) {
  std::vector<target_entry> kept = lapsed_.Kept(now);
  if (kept != kept_) {
    SetKept(std::move(kept));
    UseTargets(now);
  }
}

void origin::SetKept(std::vector<target_entry> kept) {
  const std::vector<target_entry> before =
      std::exchange(kept_, std::move(kept));
  for (const target_entry& target : kept_) {
    if (std::ranges::find(before, target) == before.end()) {
      LogWarning("target_kept",
                 {{.name = "start", .value = StartName(target)},
                  {.name = "why", .value = "its daemon vouches for it"}});
    }
  }
  for (const target_entry& target : before) {
    if (std::ranges::find(kept_, target) == kept_.end()) {
      LogEvent(
          "target_not_kept",
          {{.name = "start", .value = StartName(target)},
           {.name = "why",
            .value = "listed again, or its daemon no longer vouches for it"}});
    }
  }
}

}  // namespace pistachioweir
