// quota_rule: whether one daemon admits one more request of an organisation.
//
// Handles an organisation that sends more than its quota, distributed over the
// daemons in any way. Pure logic: time and randomness are arguments.
#pragma once

#include <algorithm>
#include <chrono>
#include <concepts>
#include <cstddef>

#include "include/base/time.h"

namespace pistachioweir {

// The quota and usage of an organisation as known to a daemon.
struct quota_inputs {
  // Totals over the daemons reachable from this one.
  double rate = 0;    // Requests a second.
  double burst = 0;   // Requests admitted at once beyond the rate.
  double level = 0;   // Left of the burst; negative if overspent.
  double demand = 0;  // Requests a second, refused ones included.
  // Of this daemon.
  double local_demand = 0;
  // Of all daemons of the fleet, reachable or not.
  double fleet_rate = 0;
  double fleet_burst = 0;
  std::size_t daemons = 1;
};

template <typename Rule>
concept quota_rule = std::default_initializable<Rule> &&
    requires(Rule rule,
             const quota_inputs& inputs,
             double random,
             time_point now) {
  // `random` is in [0, 1).
  { rule.Admit(inputs, random, now) } -> std::same_as<bool>;
};

// A token bucket whose size and rate may change at any time.
class token_bucket {
 public:
  [[nodiscard]] bool Take(double rate, double size, time_point now) {
    const std::chrono::duration<double> elapsed = now - updated_at_;
    const bool first = updated_at_ == time_point();
    tokens_ = first ? 0 : std::min(size, tokens_ + rate * elapsed.count());
    updated_at_ = now;
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

 private:
  double tokens_ = 0;
  time_point updated_at_;
};

// Each daemon gets an equal share of the quota. Needs no reports from other
// daemons, but refuses requests below the quota if they are unevenly
// distributed.
class equal_share_rule {
 public:
  [[nodiscard]] bool Admit(const quota_inputs& inputs,
                           double /*random*/,
                           time_point now) {
    const auto daemons = static_cast<double>(inputs.daemons);
    return bucket_.Take(inputs.fleet_rate / daemons,
                        std::max(1.0, inputs.fleet_burst / daemons), now);
  }

 private:
  token_bucket bucket_;
};

// Each daemon gets a share of the quota in proportion to its share of the
// demand.
class demand_share_rule {
 public:
  [[nodiscard]] bool Admit(const quota_inputs& inputs,
                           double /*random*/,
                           time_point now) {
    const double demand = std::max(inputs.demand, inputs.local_demand);
    const double share = demand > 0 ? inputs.local_demand / demand : 1;
    return bucket_.Take(inputs.rate * share,
                        std::max(1.0, inputs.level * share), now);
  }

 private:
  token_bucket bucket_;
};

// All daemons admit the same fraction of their requests, so that together they
// use the rate, plus what is left of the burst within kSettlingTime.
class common_level_rule {
 public:
  static constexpr std::chrono::duration<double> kSettlingTime{1.0};
  // With a debt of more than the rate refills in this time, nothing is
  // admitted: the demand is not known yet after a start.
  static constexpr std::chrono::duration<double> kMaxDebt{0.25};

  [[nodiscard]] bool Admit(const quota_inputs& inputs,
                           double random,
                           time_point /*now*/) {
    // A burst below one request is kept on average.
    if (inputs.burst < 1) {
      return random < inputs.level;
    }
    if (inputs.level < -inputs.rate * kMaxDebt.count()) {
      return false;
    }
    const double allowed = inputs.rate + inputs.level / kSettlingTime.count();
    return random * inputs.demand < allowed;
  }
};

}  // namespace pistachioweir
