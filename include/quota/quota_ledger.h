// quota_ledger: the state of organisation quotas on one daemon, and admission
// of single requests.
//
// Pure logic: no input or output, time and randomness are arguments. The daemon
// keeps one and transports its reports.
#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "include/base/time.h"
#include "include/organisation/organisation_table.h"
#include "include/quota/decayed_rate.h"
#include "include/quota/quota_rule.h"
#include "include/quota/usage_report.h"

namespace pistachioweir {

struct quota_options {
  // Fraction of a quota by which network partitions may together exceed it.
  double overage = 0.125;
  // Validity of a report from another daemon; several reports fall into it.
  milliseconds report_validity{1000};
};

struct quota_decision {
  bool admitted = true;
  milliseconds retry_after{0};  // Zero if admitted.
  quota_inputs inputs;          // Inputs of the decision.
};

// Daemons form a tree. Each reports to its parent the requests admitted at
// itself and below it; the root keeps a token bucket for each organisation and
// sends its level down the tree. A daemon without a valid quota report acts as
// the root of its subtree, with the share of each quota that its reachable
// daemons are of the fleet, so that network partitions together keep within the
// quotas (see quota_options::overage).
template <quota_rule Rule>
class quota_ledger {
 public:
  // Identifies a daemon that reports to this one.
  using child_id = std::uint64_t;

  explicit quota_ledger(const quota_options& options) : options_(options) {}

  // Buckets of organisations that are new here start empty, since what was
  // spent before is unknown.
  void Configure(const organisation_table& organisations, time_point now) {
    std::unordered_map<organisation_id, quota_account, id_hash> accounts;
    for (const organisation& each : organisations.organisations()) {
      if (each.rate <= 0) {
        continue;
      }
      const auto existing = accounts_.find(each.id);
      quota_account kept = existing != accounts_.end()
                               ? std::move(existing->second)
                               : quota_account{.refilled_at = now};
      kept.rate = each.rate;
      kept.burst = each.burst > 0 ? each.burst : each.rate;
      kept.name = each.name;
      accounts.emplace(each.id, std::move(kept));
    }
    accounts_ = std::move(accounts);
  }

  // Number of daemons in the fleet, reachable or not.
  void SetDaemons(std::size_t count) {
    daemons_ = std::max<std::size_t>(1, count);
  }
  // Whether this daemon has no parent to report to.
  void SetRoot(bool is_root) { is_root_ = is_root; }
  // Call several times within `report_validity`.
  void Tick(time_point now) {
    std::erase_if(children_, [&](const auto& child) {
      return now - child.second.reported_at > options_.report_validity;
    });
    subtree_size_ = 1;
    for (const auto& [id, child] : children_) {
      subtree_size_ += child.daemons;
    }
  }

  [[nodiscard]] bool empty() const { return accounts_.empty(); }

  // `random` is in [0, 1).
  quota_decision Admit(organisation_id id, double random, time_point now) {
    const auto found = accounts_.find(id);
    if (found == accounts_.end()) {
      return {};
    }
    quota_account& account = found->second;
    const bool acts_as_root = ActsAsRoot(now);
    if (acts_as_root) {
      Refill(&account, now);
      account.demand.Add(1, now);
    }
    account.local_demand.Add(1, now);
    const quota_inputs inputs = InputsOf(account, now);
    const bool admitted = account.rule.Admit(inputs, random, now);
    Record(&account, admitted ? 1 : 0, admitted ? 0 : 1);
    ++(admitted ? account.admitted : account.refused);
    return {.admitted = admitted,
            .retry_after = admitted ? milliseconds(0) : RetryAfter(inputs),
            .inputs = inputs};
  }

  // Returns the quota of an admitted request that was not run.
  void Refund(organisation_id id) {
    const auto found = accounts_.find(id);
    if (found != accounts_.end()) {
      Record(&found->second, -1, 0);
    }
  }

  // The report for the parent: all counts that it has not acknowledged.
  [[nodiscard]] usage_report TakeReport(time_point now) {
    Tick(now);
    usage_report report{.daemons = subtree_size_};
    for (auto& [id, account] : accounts_) {
      account.unacknowledged_admitted +=
          std::exchange(account.unreported_admitted, 0);
      account.unacknowledged_refused +=
          std::exchange(account.unreported_refused, 0);
      if (account.unacknowledged_admitted != 0 ||
          account.unacknowledged_refused != 0) {
        report.entries.push_back({.id = id,
                                  .admitted = account.unacknowledged_admitted,
                                  .refused = account.unacknowledged_refused});
      }
    }
    return report;
  }

  // The parent acknowledged the last report and sent `quota`.
  void OnQuota(const quota_report& quota, time_point now) {
    quota_received_at_ = now;
    reported_reachable_ = quota.daemons;
    for (auto& [id, account] : accounts_) {
      account.unacknowledged_admitted = 0;
      account.unacknowledged_refused = 0;
      account.near_limit = false;
      account.level = account.burst * ReachableShare(now);
      account.refilled_at = now;
      account.demand.Set(0, now);
    }
    for (const quota_entry& entry : quota.entries) {
      const auto found = accounts_.find(entry.id);
      if (found != accounts_.end()) {
        found->second.near_limit = true;
        found->second.level = entry.level;
        found->second.reported_demand = entry.demand;
        found->second.demand.Set(entry.demand, now);
      }
    }
  }

  // A child sent a report.
  void OnUsage(child_id child, const usage_report& report, time_point now) {
    child_state& existing = children_[child];
    subtree_size_ +=
        report.daemons - std::exchange(existing.daemons, report.daemons);
    existing.reported_at = now;
    const bool acts_as_root = ActsAsRoot(now);
    for (const usage_entry& entry : report.entries) {
      const auto found = accounts_.find(entry.id);
      if (found == accounts_.end()) {
        continue;
      }
      quota_account& account = found->second;
      if (acts_as_root) {
        Refill(&account, now);
        account.demand.Add(static_cast<double>(entry.admitted + entry.refused),
                           now);
      }
      Record(&account, entry.admitted, entry.refused);
    }
  }

  // The quota report for children of this daemon.
  [[nodiscard]] quota_report Quota(time_point now) {
    quota_report report{.daemons = ReachableDaemons(now)};
    const bool acts_as_root = ActsAsRoot(now);
    for (auto& [id, account] : accounts_) {
      if (acts_as_root) {
        Refill(&account, now);
      }
      const quota_inputs inputs = InputsOf(account, now);
      const bool near_limit =
          acts_as_root ? inputs.level < kNearLimitFraction * inputs.burst ||
                             inputs.demand > kNearLimitFraction * inputs.rate
                       : account.near_limit;
      if (near_limit) {
        report.entries.push_back(
            {.id = id, .level = inputs.level, .demand = inputs.demand});
      }
    }
    return report;
  }

  // Number of daemons that are reachable from this one, itself included.
  [[nodiscard]] std::uint32_t ReachableDaemons(time_point now) const {
    return HasValidQuota(now) ? std::max(subtree_size_, reported_reachable_)
                              : subtree_size_;
  }

  struct usage {
    std::string_view name;
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
  };
  // Counts since the start, of each organisation that had requests refused.
  [[nodiscard]] std::vector<usage> Refused() const {
    std::vector<usage> all;
    for (const auto& [id, account] : accounts_) {
      if (account.refused > 0) {
        all.push_back({.name = account.name,
                       .admitted = account.admitted,
                       .refused = account.refused});
      }
    }
    return all;
  }

 private:
  // An organisation with more than this fraction of its burst left, and with a
  // demand below this fraction of its rate, is omitted from quota reports.
  static constexpr double kNearLimitFraction = 0.7;
  // Lower bound of an overspent bucket, as the time in which the rate refills
  // it.
  static constexpr std::chrono::duration<double> kMaxDebt{2.0};
  static constexpr milliseconds kMinRetryAfter{200};
  static constexpr milliseconds kMaxRetryAfter{5000};

  struct id_hash {
    std::size_t operator()(organisation_id id) const {
      return static_cast<std::size_t>(id);
    }
  };

  struct quota_account {
    std::string name;
    double rate = 0;   // Of the whole fleet, as configured.
    double burst = 0;  // Of the whole fleet, as configured.
    double level = 0;  // Of the bucket; refilled only by the acting root.
    time_point refilled_at;
    decayed_rate demand;         // Of the reachable daemons, if acting as root.
    double reported_demand = 0;  // Otherwise.
    bool near_limit = false;     // It is in the last quota report.
    decayed_rate local_demand;   // Of this daemon.
    // Counts not reported yet, and counts reported but not acknowledged.
    std::int64_t unreported_admitted = 0;
    std::int64_t unreported_refused = 0;
    std::int64_t unacknowledged_admitted = 0;
    std::int64_t unacknowledged_refused = 0;
    // At this daemon, since the start.
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    Rule rule;
  };

  struct child_state {
    std::uint32_t daemons = 0;
    time_point reported_at;
  };

  [[nodiscard]] bool HasValidQuota(time_point now) const {
    return quota_received_at_ &&
           now - *quota_received_at_ <= options_.report_validity;
  }
  [[nodiscard]] bool ActsAsRoot(time_point now) const {
    return is_root_ || !HasValidQuota(now);
  }

  // The fraction of a quota that the reachable daemons may use.
  [[nodiscard]] double ReachableShare(time_point now) const {
    const double share = static_cast<double>(ReachableDaemons(now)) /
                         static_cast<double>(daemons_);
    return std::min(1.0, share * (1 + options_.overage));
  }

  void Refill(quota_account* account, time_point now) {
    const double share = ReachableShare(now);
    const std::chrono::duration<double> elapsed =
        std::max(duration(0), now - account->refilled_at);
    account->refilled_at = now;
    account->level =
        std::clamp(account->level + account->rate * share * elapsed.count(),
                   -account->rate * kMaxDebt.count(), account->burst * share);
  }

  void Record(quota_account* account,
              std::int64_t admitted,
              std::int64_t refused) {
    account->level -= static_cast<double>(admitted);
    if (!is_root_) {
      account->unreported_admitted += admitted;
      account->unreported_refused += refused;
    }
  }

  [[nodiscard]] quota_inputs InputsOf(const quota_account& account,
                                      time_point now) const {
    const double share = ReachableShare(now);
    return {.rate = account.rate * share,
            .burst = account.burst * share,
            .level = account.level,
            .demand = ActsAsRoot(now)      ? account.demand.Get(now)
                      : account.near_limit ? account.reported_demand
                                           : 0,
            .local_demand = account.local_demand.Get(now),
            .fleet_rate = account.rate,
            .fleet_burst = account.burst,
            .daemons = daemons_};
  }

  // The time to refill the debt, plus a delay in proportion to the excess of
  // the demand over the rate.
  [[nodiscard]] static milliseconds RetryAfter(const quota_inputs& inputs) {
    const double debt = std::max(0.0, -inputs.level);
    const double excess = std::max(0.0, inputs.demand - inputs.rate);
    const double wait = (debt + excess) / std::max(inputs.rate, 1e-3);
    const auto bounded =
        std::min(wait, std::chrono::duration<double>(kMaxRetryAfter).count());
    return std::max(kMinRetryAfter,
                    std::chrono::duration_cast<milliseconds>(
                        std::chrono::duration<double>(bounded)));
  }

  const quota_options options_;
  std::unordered_map<organisation_id, quota_account, id_hash> accounts_;
  std::map<child_id, child_state> children_;
  std::uint32_t subtree_size_ = 1;  // Daemons of the subtree, itself included.
  std::size_t daemons_ = 1;
  bool is_root_ = true;
  std::optional<time_point> quota_received_at_;
  std::uint32_t reported_reachable_ = 0;
};

}  // namespace pistachioweir
