// The load model's clock, nodes and network.
#include "tools/load_model/model.h"

#include <algorithm>
#include <string>
#include <utility>

namespace pistachioweir {

namespace {

constexpr time_point kModelStart{seconds(1000)};
constexpr microseconds kSameDataCentre{100};
constexpr milliseconds kGossipPeriod{200};

std::string VmName(std::uint32_t service, std::uint32_t number) {
  return std::to_string(service) + "/" + std::to_string(number);
}

std::string DataCentre(std::uint32_t number) {
  return "dc-" + std::to_string(number);
}

std::vector<target_info> TargetsOf(std::uint32_t service) {
  std::vector<target_info> targets;
  for (std::uint32_t i = 0; i < kTargetsPerService; ++i) {
    targets.push_back({.vm = VmName(service, i), .data_centre = DataCentre(i)});
  }
  return targets;
}

}  // namespace

load_model::load_model(const deployment& where,
                       const scenario& what,
                       const mechanism_set& with,
                       std::uint64_t seed)
    : where_(where),
      what_(what),
      with_(with),
      demand_random_(seed),
      random_(seed + 1),
      now_(kModelStart) {
  result_.bins.resize(what_.end / kModelBin + 1);
  BuildNodes();
}

void load_model::BuildNodes() {
  const bool controls = Has(mechanism::kQueue) || Has(mechanism::kLimit) ||
                        Has(mechanism::kLevel);
  const auto depth = static_cast<std::uint32_t>(where_.chain.size());
  for (std::uint32_t service = 0; service < depth; ++service) {
    for (std::uint32_t i = 0; i < kTargetsPerService; ++i) {
      node& added = nodes_.emplace_back();
      added.service = service;
      added.number = i;
      if (controls) {
        added.controller.emplace_back(admission_options{
            .slots = where_.chain[service].slots,
            .methods = static_cast<std::uint32_t>(where_.methods.size()),
            .adaptive_limit = Has(mechanism::kLimit),
            .use_level = Has(mechanism::kLevel),
            .use_deadlines = Has(mechanism::kQueue)});
      }
      const balancer_options options{
          .data_centre = DataCentre(i),
          .policy = Has(mechanism::kPlacing) ? placement_policy::kPowerOfTwo
                                             : placement_policy::kRandom,
          .use_levels = Has(mechanism::kLevel),
          .use_ejection = Has(mechanism::kEjection)};
      if (service == 0) {
        added.own.emplace_back(options);
        added.own[0].SetTargets(TargetsOf(0), now_);
      }
      if (service + 1 < depth) {
        added.next.emplace_back(options);
        added.next[0].SetTargets(TargetsOf(service + 1), now_);
      }
    }
  }
}

void load_model::Schedule(time_point at,
                          event_kind kind,
                          std::uint32_t index,
                          std::uint32_t generation) {
  events_.push({.at = at,
                .order = order_++,
                .kind = kind,
                .index = index,
                .generation = generation});
}

model_result load_model::Run() {
  Schedule(now_, event_kind::kDemand, 0);
  Schedule(now_, event_kind::kGossip, 0);
  const time_point trigger = kModelStart + what_.trigger_start;
  if (what_.crashing) {
    Schedule(trigger, event_kind::kPoison, 0);
  }
  if (what_.replaced) {
    Schedule(trigger, event_kind::kRestart, kNone, 0);
    Schedule(trigger + kRestartTime, event_kind::kRestart, kNone, 1);
  }
  const time_point end = kModelStart + what_.end;
  while (!events_.empty() && events_.top().at < end + what_.timeout) {
    const event next = events_.top();
    events_.pop();
    now_ = next.at;
    Handle(next);
  }
  return std::move(result_);
}

void load_model::Handle(const event& what) {
  const auto is_call = [&] {
    return IsLive({what.index, what.generation / 8}, calls_) &&
           calls_[what.index].attempts == what.generation % 8;
  };
  const auto is_execution = [&] {
    return IsLive({what.index, what.generation}, executions_);
  };
  switch (what.kind) {
    case event_kind::kDemand:
      return OnDemand();
    case event_kind::kPoison:
      return OnPoison();
    case event_kind::kTryArrives:
      return OnTryArrives(what.index, what.generation);
    case event_kind::kTryEnds:
      return OnTryEnds(what.index, what.generation);
    case event_kind::kTryTimeout:
      return OnTryTimeout(what.index, what.generation);
    case event_kind::kResend:
      return SendTry(what.index);
    case event_kind::kExecutionArrives:
      return is_execution() ? OnExecutionArrives(what.index) : void();
    case event_kind::kPhaseEnds:
      return is_execution() ? OnPhaseEnds(what.index) : void();
    case event_kind::kAnswerArrives:
      return is_execution() ? OnAnswer(what.index) : void();
    case event_kind::kCallTimeout:
      return is_call() ? OnCallTimeout(what.index) : void();
    case event_kind::kCancelArrives:
      return is_execution() ? OnCancel(what.index) : void();
    case event_kind::kWake:
      nodes_[what.index].wake_at = time_point::max();
      return Drain(what.index);
    case event_kind::kRestart:
      return what.index == kNone ? ReplaceTargets(what.generation != 0)
                                 : OnRestart(what.index);
    case event_kind::kGossip:
      return OnGossip(what.generation == 0);
  }
}

// Target 0 of each service leaves and comes back as another VM, which starts
// cold.
void load_model::ReplaceTargets(bool back) {
  for (node& each : nodes_) {
    if (each.number == 0) {
      each.down = !back;
      each.cold_from = back ? now_ : time_point();
    }
    const auto change = [&](balancer& chooser, std::uint32_t service) {
      std::vector<target_info> targets = TargetsOf(service);
      if (back) {
        targets[0].vm += "-new";
        targets[0].cold = true;
      } else {
        targets.erase(targets.begin());
      }
      chooser.SetTargets(targets, now_);
    };
    for (balancer& chooser : each.own) {
      change(chooser, each.service);
    }
    for (balancer& chooser : each.next) {
      change(chooser, each.service + 1);
    }
  }
}

void load_model::OnGossip(bool periodic) {
  if (periodic) {
    Schedule(now_ + kGossipPeriod, event_kind::kGossip, 0);
  }
  if (!Has(mechanism::kQuarantine)) {
    return;
  }
  constexpr std::size_t kMostEntries = 512;
  for (node& from : nodes_) {
    from.suspects.Expire(now_);
    for (const quarantine_entry& entry :
         from.suspects.Export(now_, kMostEntries)) {
      for (node& to : nodes_) {
        if (&to != &from && to.service == from.service) {
          to.suspects.Import(entry, now_);
        }
      }
    }
  }
}

bool load_model::IsLive(entity_ref ref, const std::deque<call>& in) const {
  return ref.index < in.size() && in[ref.index].live &&
         in[ref.index].generation == ref.generation;
}

bool load_model::IsLive(entity_ref ref, const std::deque<execution>& in) const {
  return ref.index < in.size() && in[ref.index].live &&
         in[ref.index].generation == ref.generation;
}

duration load_model::Latency(std::uint32_t from, std::uint32_t to) const {
  return nodes_[from].number == nodes_[to].number ? duration(kSameDataCentre)
                                                  : where_.data_centre_latency;
}

bool load_model::TriggerNow() const {
  return InTrigger(what_, now_ - kModelStart);
}

double load_model::TimeFactor(const node& where) const {
  double factor = 1;
  if (TriggerNow() && where.service + 1 == where_.chain.size() &&
      where.number < what_.slow_targets) {
    factor *= what_.slow_factor;
  }
  const duration warm = now_ - where.cold_from;
  if (where.cold_from != time_point() && warm < kColdTime) {
    const double left = 1 - std::chrono::duration<double>(warm) /
                                std::chrono::duration<double>(kColdTime);
    factor *= 1 + (kColdFactor - 1) * left;
  }
  return factor;
}

std::uint32_t load_model::RealSlots(const node& where) const {
  const std::uint32_t slots = where_.chain[where.service].slots;
  const bool fewer = TriggerNow() && where.number == 0 &&
                     where.service + 1 == where_.chain.size();
  return fewer ? static_cast<std::uint32_t>(slots * (1 - what_.missing_slots))
               : slots;
}

bool load_model::Silent(const node& where) const {
  return what_.silent && where.number == 0 && TriggerNow();
}

std::size_t load_model::BinOf(time_point sent) const {
  return std::min<std::size_t>((sent - kModelStart) / kModelBin,
                               result_.bins.size() - 1);
}

void load_model::Waste(double work) {
  if (TriggerNow()) {
    result_.wasted += work;
  }
}

request_fingerprint load_model::FingerprintOfRoot(std::uint32_t root) const {
  return roots_[root].poison ? request_fingerprint{1, 1}
                             : request_fingerprint{2, root};
}

}  // namespace pistachioweir
