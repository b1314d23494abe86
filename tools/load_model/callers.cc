// The load model's callers: demand, time-outs and sending again.
#include <algorithm>
#include <cmath>

#include "tools/load_model/model.h"

namespace pistachioweir {

namespace {

constexpr time_point kModelStart{seconds(1000)};
constexpr milliseconds kResendPause{1};
constexpr milliseconds kPoisonPeriod{50};
// Bits of the demand's own random source, so that all sets of mechanisms see
// the same requests.
double Uniform(std::mt19937_64& random) {
  return std::uniform_real_distribution<double>(0, 1)(random);
}

}  // namespace

void load_model::OnDemand() {
  const duration at = now_ - kModelStart;
  if (at >= what_.end) {
    return;
  }
  const double rate = DemandAt(where_, what_, at);
  const double gap = -std::log(1 - Uniform(demand_random_)) / rate;
  Schedule(now_ + std::chrono::duration_cast<duration>(
                      std::chrono::duration<double>(gap)),
           event_kind::kDemand, 0);

  const bool trigger = InTrigger(what_, at);
  const std::size_t last = where_.methods.size() - 1;
  const double last_share =
      where_.methods[last].share * (trigger ? what_.skewed_method : 1.0);
  const double others = 1 - where_.methods[last].share;
  double point = Uniform(demand_random_) * (others + last_share);
  std::uint32_t method = 0;
  while (method < last && point >= where_.methods[method].share) {
    point -= where_.methods[method].share;
    ++method;
  }
  const bool is_long = Uniform(demand_random_) < what_.long_share && trigger;
  root_request& added = roots_.emplace_back();
  added.first_sent = now_;
  added.method = method;
  added.time_factor = is_long ? what_.long_factor : 1;
  ++result_.bins[BinOf(now_)].sent;
  if (trigger) {
    const priority level = where_.methods[method].level;
    ++result_.trigger[static_cast<std::size_t>(level)].sent;
  }
  SendTry(static_cast<std::uint32_t>(roots_.size() - 1));
}

void load_model::OnPoison() {
  if (!TriggerNow()) {
    return;
  }
  Schedule(now_ + kPoisonPeriod, event_kind::kPoison, 0);
  root_request& added = roots_.emplace_back();
  added.first_sent = now_;
  added.method = static_cast<std::uint32_t>(where_.methods.size() - 2);
  added.poison = true;
  added.tries = kResends;
  SendTry(static_cast<std::uint32_t>(roots_.size() - 1));
}

void load_model::SendTry(std::uint32_t index) {
  root_request& root = roots_[index];
  ++root.tries;
  root.waiting = true;
  root.ticket = static_cast<std::uint8_t>(random_() >> 56);
  root.deadline = now_ + what_.timeout;
  root.executions = 0;
  root.retries = 0;
  root.call = {};
  Schedule(now_ + where_.client_latency, event_kind::kTryArrives, index,
           root.tries);
  Schedule(root.deadline, event_kind::kTryTimeout, index, root.tries);
}

void load_model::OnTryArrives(std::uint32_t index, std::uint32_t try_number) {
  const root_request& root = roots_[index];
  if (!root.waiting || root.tries != try_number) {
    return;
  }
  auto entry = static_cast<std::uint32_t>(random_() % kTargetsPerService);
  if (what_.skewed_entry && TriggerNow()) {
    entry = 0;
  }
  // Callers find a daemon that is there; they have no other choice.
  const bool gone =
      (nodes_[entry].down && what_.replaced) || Silent(nodes_[entry]);
  if (gone) {
    entry =
        1 + static_cast<std::uint32_t>(random_() % (kTargetsPerService - 1));
  }
  BeginCall(index, {}, 0, entry, root.deadline - where_.client_latency,
            kRetryCredit);
}

void load_model::OnTryEnds(std::uint32_t index, std::uint32_t try_number) {
  root_request& root = roots_[index];
  if (!root.waiting || root.tries != try_number) {
    Waste(root.work);
    return;
  }
  if (root.end != call_end::kOk || now_ > root.deadline) {
    Waste(root.work);
    return TryFailed(index);
  }
  root.waiting = false;
  if (root.poison) {
    return;
  }
  ++result_.bins[BinOf(root.first_sent)].in_deadline;
  ++result_.bins[BinOf(now_)].answered;
  if (InTrigger(what_, root.first_sent - kModelStart)) {
    const priority level = where_.methods[root.method].level;
    ++result_.trigger[static_cast<std::size_t>(level)].in_deadline;
    result_.latencies.push_back(static_cast<float>(
        std::chrono::duration<double>(what_.timeout - (root.deadline - now_))
            .count()));
  }
}

void load_model::OnTryTimeout(std::uint32_t index, std::uint32_t try_number) {
  root_request& root = roots_[index];
  if (!root.waiting || root.tries != try_number) {
    return;
  }
  if (Has(mechanism::kCancel) && IsLive(root.call, calls_)) {
    Abandon(root.call.index, call_result::kCancelled);
  }
  root.end = call_end::kTimedOut;
  TryFailed(index);
}

void load_model::TryFailed(std::uint32_t index) {
  root_request& root = roots_[index];
  const bool resends =
      what_.callers == caller_kind::kResends && root.tries <= kResends;
  const bool comes_back = what_.callers == caller_kind::kHonours &&
                          root.tries == 1 && root.retry_after.count() > 0;
  if (resends) {
    Schedule(now_ + kResendPause, event_kind::kResend, index);
  } else if (comes_back) {
    Schedule(now_ + root.retry_after, event_kind::kResend, index);
  }
  // What is left of this try ends for no one.
  root.waiting = false;
}

}  // namespace pistachioweir
