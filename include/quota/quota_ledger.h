// quota_ledger: what one daemon knows of the organisations' quotas, and whether
// one more request is let in.
//
// Pure logic: no input or output, time and randomness are arguments. The
// daemon keeps one and carries its reports.
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
  // Part of a quota by which daemons that can't reach each other may exceed it
  // together.
  double overage = 0.125;
  // Word of others counts this long; several reports fall into it.
  milliseconds report_validity{1000};
};

struct quota_decision {
  bool admitted = true;
  milliseconds retry_after{0};  // Unless it is admitted.
  quota_inputs inputs;          // That decided.
};

// Daemons form a tree. Each reports up what was let in at it and below it; the
// first one keeps a bucket of tokens for each organisation and tells down how
// full it is. A daemon that hears nothing leads those that report to it, with
// the part of each quota that their number has of the fleet, so that parts of
// the fleet that can't reach each other keep the quotas together.
template <quota_rule Rule>
class quota_ledger {
 public:
  // Names a daemon that reports to this one.
  using child_id = std::uint64_t;

  explicit quota_ledger(const quota_options& options) : options_(options) {}

  // Buckets of organisations that are new here begin empty: what was spent
  // before isn't known.
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

  // Daemons of the fleet, in touch or not.
  void SetDaemons(std::size_t count) {
    daemons_ = std::max<std::size_t>(1, count);
  }
  // Whether no other daemon is to be reported to.
  void SetRoot(bool is_root) { is_root_ = is_root; }
  // Several times within `memory`.
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

  // `random` is from 0 up to 1.
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

  // A request that was let in has not run.
  void Refund(organisation_id id) {
    const auto found = accounts_.find(id);
    if (found != accounts_.end()) {
      Record(&found->second, -1, 0);
    }
  }

  // For the daemon that this one reports to: all that it isn't known to have.
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

  // It has the last report, and told this.
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

  // A daemon reported to this one.
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

  // For daemons that report to this one.
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

  // Daemons that are in touch with this one, itself included.
  [[nodiscard]] std::uint32_t ReachableDaemons(time_point now) const {
    return HasValidQuota(now) ? std::max(subtree_size_, reported_reachable_)
                              : subtree_size_;
  }

  struct usage {
    std::string_view name;
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
  };
  // Since the start, of each organisation that was refused anything.
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
  // An organisation that has more than this part of its burst, and asks for
  // less than this part of its rate, need not be told of.
  static constexpr double kNearLimitFraction = 0.7;
  // An overspent bucket is not kept further below zero than this.
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
    double burst = 0;  // Likewise.
    double level = 0;  // Of the bucket; refilled only where this daemon leads.
    time_point refilled_at;
    decayed_rate demand;  // Of the daemons in touch, where this one leads.
    double reported_demand = 0;  // Where it doesn't.
    bool near_limit = false;     // It was told of.
    decayed_rate local_demand;   // Demand of this daemon.
    // Not reported yet, and reported without an answer yet.
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

  // Of a quota, what the daemons in touch may use.
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

  // Until the debt is paid, and then as often as the demand exceeds the rate.
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
  std::uint32_t subtree_size_ = 1;  // Daemons that report here, and this one.
  std::size_t daemons_ = 1;
  bool is_root_ = true;
  std::optional<time_point> quota_received_at_;
  std::uint32_t reported_reachable_ = 0;
};

}  // namespace pistachioweir
