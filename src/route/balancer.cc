// Target selection: power of two choices, slow start, ejection and refusal
// before sending.
#include "include/route/balancer.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <unordered_set>
#include <utility>

namespace pistachioweir {

namespace {

// Weight of the newest answer in a target's latency average.
constexpr double kLatencyWeight = 1.0 / 16;
// A cold target's share grows from kColdShare over this time.
constexpr milliseconds kSlowStart{2000};
constexpr double kColdShare = 0.1;
// Consecutive failures that eject a target: one is chance, a silent connection
// may cause two.
constexpr std::uint32_t kFailuresToEject = 3;
constexpr milliseconds kFirstEjection{200};
constexpr std::uint32_t kMaxDoublings = 5;
// At most one in this many targets may be ejected at a time: a caller whose own
// network is faulty would otherwise empty the set and refuse everything.
constexpr std::uint32_t kMaxEjectedDivisor = 2;
// Decay of a reported level that isn't renewed, in ranks per second; the
// target's own level falls as fast when it has free slots.
constexpr std::int64_t kLevelDecayPerSecond = 1000;
// Interval at which a refusing target is probed, so that a lower level is
// noticed while every call is refused before sending.
constexpr milliseconds kProbePeriod{50};
// Nanoseconds; makes targets without answers comparable by load.
constexpr double kMinLatency = 1e6;
// Utilization up to which a target takes a call without queueing it.
constexpr double kKneeLoad = 0.75;
// Calls spill over to another data centre if their expected latency there, its
// round trip included, is below this fraction of the local one.
// Cross-data-centre traffic is kept for when it clearly helps.
constexpr double kSpilloverRatio = 0.9;
// Maximum number of targets examined: two for the power of two choices, the
// rest only if those refuse.
constexpr std::uint32_t kMaxCandidates = 6;
constexpr milliseconds kEntranceRetryAfter{50};

}  // namespace

balancer::balancer(const balancer_options& options)
    : options_(options), estimates_(options.methods) {}

balancer::target* balancer::Find(target_ref ref) {
  return const_cast<target*>(std::as_const(*this).Find(ref));
}

const balancer::target* balancer::Find(target_ref ref) const {
  if (ref.index >= targets_.size() ||
      targets_[ref.index].generation != ref.generation ||
      !targets_[ref.index].listed) {
    return nullptr;
  }
  return &targets_[ref.index];
}

// A VM that restarts under its old name is not the target that was leaving or
// failing. Without this check it would get no calls until its name left the
// list.
bool balancer::IsSameIncarnation(const target_info& known,
                                 const target_info& reported) {
  const bool restarted = known.incarnation != incarnation_id{} &&
                         reported.incarnation != incarnation_id{} &&
                         known.incarnation != reported.incarnation;
  return !restarted;
}

void balancer::SetTargets(const std::vector<target_info>& targets,
                          time_point now) {
  std::unordered_set<std::string_view> reported;
  for (const target_info& info : targets) {
    reported.insert(info.vm);
  }
  target_list_changes changes{.updated = targets, .removed = {}};
  for (const auto& [vm, index] : index_of_) {
    if (!reported.contains(vm)) {
      changes.removed.push_back(vm);
    }
  }
  UpdateTargets(changes, now);
}

void balancer::Unlist(const vm_id& vm) {
  const auto found = index_of_.find(vm);
  if (found == index_of_.end()) {
    return;
  }
  target& known = targets_[found->second];
  RingOf(known).Remove(vm, found->second);
  all_.erase(std::ranges::lower_bound(all_, found->second));
  known.listed = false;
  ++known.generation;
  index_of_.erase(found);
}

balancer::target& balancer::AddEntry(const target_info& info,
                                     std::size_t* free,
                                     bool cold,
                                     time_point now) {
  while (*free < targets_.size() && targets_[*free].listed) {
    ++*free;
  }
  if (*free == targets_.size()) {
    targets_.emplace_back();
  }
  target& added = targets_[*free];
  const std::uint32_t generation = added.generation;
  added = target{};
  added.generation = generation;
  added.listed = true;
  added.levels.resize(options_.methods);
  added.limit = std::max(1U, info.slots);
  added.warm_from = cold ? now + kSlowStart : now;
  if (info.warm_up_left > milliseconds(0)) {
    added.warm_from = now + info.warm_up_left;
  }
  added.local = info.data_centre == options_.data_centre;
  const auto index = static_cast<std::uint32_t>(*free);
  RingOf(added).Add(info.vm, index);
  all_.insert(std::ranges::lower_bound(all_, index), index);
  estimates_.Reset(index);
  index_of_.emplace(info.vm, index);
  return added;
}

void balancer::UpdateTargets(const target_list_changes& changes,
                             time_point now) {
  // Nothing is known on the first list: all targets are assumed to be warm.
  const bool first_list = index_of_.empty();
  for (const vm_id& vm : changes.removed) {
    Unlist(vm);
  }
  for (const target_info& info : changes.updated) {
    const auto found = index_of_.find(info.vm);
    if (found != index_of_.end() &&
        !IsSameIncarnation(targets_[found->second].info, info)) {
      Unlist(info.vm);
    }
  }
  std::size_t free = 0;
  for (const target_info& info : changes.updated) {
    const auto found = index_of_.find(info.vm);
    const bool is_new = found == index_of_.end();
    target& entry = is_new
                        ? AddEntry(info, &free, info.cold || !first_list, now)
                        : targets_[found->second];
    const incarnation_id known = entry.info.incarnation;
    entry.info = info;
    if (info.incarnation == incarnation_id{}) {
      entry.info.incarnation = known;
    }
    entry.leaving = entry.leaving || info.leaving;
    const bool is_local = info.data_centre == options_.data_centre;
    if (!is_new && is_local != entry.local) {
      const std::uint32_t index = found->second;
      RingOf(entry).Remove(info.vm, index);
      entry.local = is_local;
      RingOf(entry).Add(info.vm, index);
    }
  }
}

target_ring& balancer::RingOf(const target& of) {
  return of.local ? local_ : remote_;
}

void balancer::SetPosition(double position) {
  local_.SetPosition(position);
  remote_.SetPosition(position);
}

void balancer::MarkLeaving(target_ref ref) {
  if (target* const found = Find(ref)) {
    found->leaving = true;
  }
}

void balancer::SetReachable(target_ref ref, bool reachable) {
  if (target* const found = Find(ref)) {
    found->unreachable = !reachable;
  }
}

void balancer::SetStopping(target_ref ref, bool stopping) {
  if (target* const found = Find(ref)) {
    found->stopping = stopping;
  }
}

void balancer::SetRateLimit(target_ref ref, std::optional<double> per_second) {
  if (target* const found = Find(ref)) {
    found->rate_limit = per_second;
  }
}

// The queue of a target with a rate limit makes callers go elsewhere, and a
// caller that does so gets no newer report from it. Without the decrease over
// time the target would stay unused although its queue is empty.
double balancer::OtherLoad(const target& of, time_point now) {
  if (!of.rate_limit) {
    return of.other_load;
  }
  const std::chrono::duration<double> age = now - of.load_received_at;
  return std::max(0.0, of.other_load - age.count() * *of.rate_limit);
}

void balancer::UpdateLoad(target_ref ref,
                          const load_report& report,
                          time_point now) {
  if (target* const found = Find(ref)) {
    SetLoad(*found, report, now);
    for (reported_level& level : found->levels) {
      level = {.level = report.admission_level, .received_at = now};
    }
  }
}

double balancer::Pressure(time_point now) const {
  double sum = 0;
  std::uint32_t count = 0;
  for (const target& each : targets_) {
    if (!Reachable(each, now)) {
      continue;
    }
    ++count;
    sum +=
        now - each.pressure_received_at < kPressureLifetime ? each.pressure : 0;
  }
  return count == 0 ? 0 : sum / count;
}

void balancer::SetLoad(target& of, const load_report& report, time_point now) {
  constexpr double kThousandths = 1000;
  of.pressure = report.pressure / kThousandths;
  of.pressure_received_at = now;
  const double there = report.in_flight + report.queued;
  of.other_load = std::max(0.0, there - of.in_flight);
  of.load_received_at = now;
  of.limit = report.limit;
}

std::optional<target_ref> balancer::RefOf(std::string_view vm) const {
  const auto found = index_of_.find(vm_id(vm));
  if (found == index_of_.end()) {
    return std::nullopt;
  }
  return target_ref{found->second, targets_[found->second].generation};
}

bool balancer::Reachable(const target& candidate, time_point now) const {
  return candidate.listed && !candidate.leaving && !candidate.unreachable &&
         (!options_.use_ejection || candidate.ejected_until <= now);
}

bool balancer::Usable(const target& candidate,
                      target_tier tier,
                      time_point now) const {
  return Reachable(candidate, now) &&
         candidate.stopping == (tier == target_tier::kStopping);
}

std::uint32_t balancer::usable(time_point now) const {
  return static_cast<std::uint32_t>(std::ranges::count_if(
      targets_, [&](const target& t) { return Reachable(t, now); }));
}

bool balancer::IsExcluded(const placement_request& request,
                          std::uint32_t index) const {
  const target_ref ref{index, targets_[index].generation};
  const auto end = request.tried.refs.begin() + request.tried.count;
  const bool was_tried = std::find(request.tried.refs.begin(), end, ref) != end;
  return was_tried != request.among_tried;
}

admission_rank balancer::LevelOf(const target& candidate,
                                 std::uint32_t method,
                                 time_point now) const {
  if (!options_.use_levels || method >= candidate.levels.size()) {
    return 0;
  }
  const reported_level& known = candidate.levels[method];
  const auto age =
      std::chrono::duration_cast<milliseconds>(now - known.received_at);
  const auto decayed = static_cast<admission_rank>(std::clamp<std::int64_t>(
      age.count() * kLevelDecayPerSecond / 1000, 0, kRankCount));
  return known.level > decayed ? known.level - decayed : 0;
}

// Critical requests are not refused by a reported level: it may have fallen
// since, and this one would be refused while a target takes less important
// ones. They are sent to each target, up to the maximum number of attempts.
bool balancer::Refuses(const target& candidate,
                       const placement_request& request,
                       time_point now) const {
  const admission_rank level = LevelOf(candidate, request.method, now);
  if (request.level == priority::kCritical) {
    return level >= kRankCount;
  }
  return IsRefusedBy(level, request.level, request.ticket, request.is_nested);
}

// An unused target has no new answers: the weight of old ones decays, or a
// target that was once slow would never be tried again.
double balancer::LatencyOf(const target& of, time_point now) const {
  const double age =
      std::chrono::duration<double>(now - of.latency_measured_at).count();
  return kMinLatency + of.latency * std::exp2(-std::max(0.0, age));
}

// Utilization of the target with one more call.
double balancer::LoadOf(const target& of, time_point now) const {
  double capacity = std::max(1.0, of.limit);
  if (options_.use_ejection && now < of.warm_from) {
    const double left = std::chrono::duration<double>(of.warm_from - now) /
                        std::chrono::duration<double>(kSlowStart);
    capacity *= std::max(kColdShare, 1.0 - left);
  }
  return (of.in_flight + OtherLoad(of, now) + 1) / capacity;
}

balancer::candidate balancer::Best(const std::vector<std::uint32_t>& group,
                                   const placement_request& request,
                                   target_tier tier,
                                   time_point now,
                                   std::uint64_t random) const {
  const auto size = static_cast<std::uint32_t>(group.size());
  candidate best;
  if (size == 0) {
    return best;
  }
  const std::uint32_t wanted =
      options_.policy == placement_policy::kRandom ? 1 : 2;
  const auto start = static_cast<std::uint32_t>((random & UINT32_MAX) % size);
  // Two different targets are examined, further ones only if those refuse.
  const auto second =
      size < 2 ? 0
               : 1 + static_cast<std::uint32_t>((random >> 32) % (size - 1));
  const std::uint32_t candidates = std::min(size, kMaxCandidates);
  std::uint32_t found = 0;
  for (std::uint32_t i = 0; i < candidates && found < wanted; ++i) {
    const std::uint32_t index = group[(start + i * second) % size];
    const target& examined = targets_[index];
    if (!Usable(examined, tier, now) || IsExcluded(request, index) ||
        Refuses(examined, request, now)) {
      continue;
    }
    ++found;
    const candidate other{.index = index,
                          .latency = LatencyOf(examined, now),
                          .load = LoadOf(examined, now)};
    if (best.index == kNone ||
        other.latency * other.load < best.latency * best.load) {
      best = other;
    }
  }
  return best;
}

std::uint32_t balancer::Choose(const placement_request& request,
                               target_tier tier,
                               time_point now,
                               std::uint64_t random) const {
  if (options_.policy == placement_policy::kExpectedEnd) {
    return ChooseByExpectedEnd(request, tier, now, random);
  }
  if (options_.policy == placement_policy::kRandom) {
    return Best(all_, request, tier, now, random).index;
  }
  const candidate near = Best(local_.targets(), request, tier, now, random);
  const candidate far = Best(remote_.targets(), request, tier, now, random);
  if (near.index == kNone || far.index == kNone) {
    return near.index == kNone ? far.index : near.index;
  }
  // Below the knee nothing queues, so load doesn't affect the latency of a
  // call.
  const auto expected = [](const candidate& of) {
    return of.latency * std::max(of.load, kKneeLoad);
  };
  const bool spills_over = expected(far) < kSpilloverRatio * expected(near);
  return spills_over ? far.index : near.index;
}

std::uint32_t balancer::ChooseProbe(const placement_request& request,
                                    time_point now,
                                    bool* any) {
  for (std::uint32_t i = 0; i < targets_.size(); ++i) {
    target& candidate = targets_[i];
    if (!Reachable(candidate, now) || IsExcluded(request, i)) {
      continue;
    }
    *any = true;
    if (request.tried.count == 0 && candidate.next_probe <= now) {
      candidate.next_probe = now + kProbePeriod;
      return i;
    }
  }
  return kNone;
}

placement balancer::Place(const placement_request& request,
                          time_point now,
                          std::uint64_t random) {
  std::uint32_t index = Choose(request, target_tier::kServing, now, random);
  if (index == kNone) {
    index = Choose(request, target_tier::kStopping, now, random);
  }
  bool any = false;
  if (index == kNone) {
    index = ChooseProbe(request, now, &any);
  }
  if (index == kNone) {
    const bool overloaded = any || request.tried.count > 0;
    const auto spread = static_cast<std::int64_t>(random % 512);
    return {.why = overloaded ? reason::kOverload : reason::kNoTarget,
            .retry_after =
                kEntranceRetryAfter + kEntranceRetryAfter * spread / 512};
  }
  ++targets_[index].in_flight;
  return {.placed = true, .target = {index, targets_[index].generation}};
}

bool balancer::MayTryElsewhere(const placement_request& request,
                               time_point now) const {
  if (request.tried.count - request.tried.unavailable >= options_.max_tries ||
      request.tried.count >= tried_targets::kMax) {
    return false;
  }
  for (std::uint32_t i = 0; i < targets_.size(); ++i) {
    if (Reachable(targets_[i], now) && !IsExcluded(request, i) &&
        !Refuses(targets_[i], request, now)) {
      return true;
    }
  }
  return false;
}

admission_rank balancer::EntranceLevel(std::uint32_t method,
                                       time_point now) const {
  admission_rank lowest = kRankCount;
  for (const target& candidate : targets_) {
    if (Reachable(candidate, now)) {
      lowest = std::min(lowest, LevelOf(candidate, method, now));
    }
  }
  return lowest == kRankCount ? 0 : lowest;
}

std::string_view balancer::VmOf(target_ref ref) const {
  const target* const found = Find(ref);
  return found == nullptr ? std::string_view() : found->info.vm;
}

void balancer::Finish(target_ref ref,
                      std::uint32_t method,
                      call_result result,
                      duration latency,
                      const load_report* report,
                      time_point now) {
  target* const found = Find(ref);
  if (found == nullptr) {
    return;
  }
  found->in_flight -= std::min(1U, found->in_flight);
  if (result == call_result::kAnswered) {
    estimates_.Add(ref.index, method, target_estimates::sample::kSucceeded,
                   latency, now);
  } else if (result != call_result::kRefused &&
             result != call_result::kCancelled) {
    estimates_.Add(ref.index, method, target_estimates::sample::kFailed,
                   latency, now);
  }
  if (result == call_result::kAnswered || result == call_result::kErrored) {
    const auto sample = static_cast<double>(latency.count());
    found->latency =
        found->latency == 0
            ? sample
            : found->latency + kLatencyWeight * (sample - found->latency);
  }
  if (result == call_result::kFailed || result == call_result::kTimedOut) {
    RecordFailure(*found, now);
  } else if (result != call_result::kCancelled) {
    found->failures = 0;
    found->ejections = 0;
  }
  if (report == nullptr) {
    return;
  }
  SetLoad(*found, *report, now);
  if (method >= found->levels.size()) {
    found->levels.resize(method + 1);
  }
  found->levels[method] = {.level = report->admission_level,
                           .received_at = now};
}

void balancer::RecordFailure(target& failed, time_point now) {
  ++failed.failures;
  if (!options_.use_ejection || failed.failures < kFailuresToEject ||
      failed.ejected_until > now || !MayEject(now)) {
    return;
  }
  const std::uint32_t doublings = std::min(failed.ejections, kMaxDoublings);
  failed.ejected_until = now + kFirstEjection * (1U << doublings);
  ++failed.ejections;
  failed.failures = kFailuresToEject - 1;  // One more failure ejects again.
}

// Unreachable targets can't take over the calls of an ejected one. If they
// counted, the last target that answers could be ejected after two lost
// answers, and requests would be refused although it is healthy.
bool balancer::MayEject(time_point now) const {
  std::uint32_t ejected = 0;
  std::uint32_t eligible = 0;
  for (const target& candidate : targets_) {
    if (candidate.listed && !candidate.leaving && !candidate.unreachable) {
      ++eligible;
      ejected += candidate.ejected_until > now ? 1 : 0;
    }
  }
  return (ejected + 1) * kMaxEjectedDivisor <= std::max(2U, eligible) &&
         ejected + 1 < eligible;
}

}  // namespace pistachioweir
