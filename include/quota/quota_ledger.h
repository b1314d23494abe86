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
  milliseconds memory{1000};
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
    std::unordered_map<organisation_id, book, id_hash> books;
    for (const organisation& each : organisations.organisations()) {
      if (each.rate <= 0) {
        continue;
      }
      const auto known = books_.find(each.id);
      book kept = known != books_.end() ? std::move(known->second)
                                        : book{.level_at = now};
      kept.rate = each.rate;
      kept.burst = each.burst > 0 ? each.burst : each.rate;
      kept.name = each.name;
      books.emplace(each.id, std::move(kept));
    }
    books_ = std::move(books);
  }

  // Daemons of the fleet, in touch or not.
  void SetDaemons(std::size_t count) {
    daemons_ = std::max<std::size_t>(1, count);
  }
  // Whether no other daemon is to be reported to.
  void SetFirst(bool first) { first_ = first; }
  // Several times within `memory`.
  void Tick(time_point now) {
    std::erase_if(children_, [&](const auto& child) {
      return now - child.second.heard > options_.memory;
    });
    below_ = 1;
    for (const auto& [id, child] : children_) {
      below_ += child.daemons;
    }
  }

  [[nodiscard]] bool empty() const { return books_.empty(); }

  // `random` is from 0 up to 1.
  quota_decision Admit(organisation_id id, double random, time_point now) {
    const auto found = books_.find(id);
    if (found == books_.end()) {
      return {};
    }
    book& of = found->second;
    const bool leads = Leads(now);
    if (leads) {
      Refill(&of, now);
      of.demand.Add(1, now);
    }
    of.own.Add(1, now);
    const quota_inputs inputs = InputsOf(of, now);
    const bool admitted = of.rule.Admit(inputs, random, now);
    Count(&of, admitted ? 1 : 0, admitted ? 0 : 1);
    ++(admitted ? of.admitted : of.refused);
    return {.admitted = admitted,
            .retry_after = admitted ? milliseconds(0) : RetryAfter(inputs),
            .inputs = inputs};
  }

  // A request that was let in has not run.
  void GiveBack(organisation_id id) {
    const auto found = books_.find(id);
    if (found != books_.end()) {
      Count(&found->second, -1, 0);
    }
  }

  // For the daemon that this one reports to: all that it isn't known to have.
  [[nodiscard]] usage_report TakeReport(time_point now) {
    Tick(now);
    usage_report report{.daemons = below_};
    for (auto& [id, of] : books_) {
      of.sent_admitted += std::exchange(of.new_admitted, 0);
      of.sent_refused += std::exchange(of.new_refused, 0);
      if (of.sent_admitted != 0 || of.sent_refused != 0) {
        report.entries.push_back({.id = id,
                                  .admitted = of.sent_admitted,
                                  .refused = of.sent_refused});
      }
    }
    return report;
  }

  // It has the last report, and told this.
  void OnQuota(const quota_report& told, time_point now) {
    told_at_ = now;
    told_daemons_ = told.daemons;
    for (auto& [id, of] : books_) {
      of.sent_admitted = 0;
      of.sent_refused = 0;
      of.tight = false;
      of.level = of.burst * Part(now);
      of.level_at = now;
      of.demand.Set(0, now);
    }
    for (const quota_entry& entry : told.entries) {
      const auto found = books_.find(entry.id);
      if (found != books_.end()) {
        found->second.tight = true;
        found->second.level = entry.level;
        found->second.told_demand = entry.demand;
        found->second.demand.Set(entry.demand, now);
      }
    }
  }

  // A daemon reported to this one.
  void OnUsage(child_id child, const usage_report& report, time_point now) {
    child_state& known = children_[child];
    below_ += report.daemons - std::exchange(known.daemons, report.daemons);
    known.heard = now;
    const bool leads = Leads(now);
    for (const usage_entry& entry : report.entries) {
      const auto found = books_.find(entry.id);
      if (found == books_.end()) {
        continue;
      }
      book& of = found->second;
      if (leads) {
        Refill(&of, now);
        of.demand.Add(static_cast<double>(entry.admitted + entry.refused), now);
      }
      Count(&of, entry.admitted, entry.refused);
    }
  }

  // For daemons that report to this one.
  [[nodiscard]] quota_report Quota(time_point now) {
    quota_report report{.daemons = InTouch(now)};
    const bool leads = Leads(now);
    for (auto& [id, of] : books_) {
      if (leads) {
        Refill(&of, now);
      }
      const quota_inputs inputs = InputsOf(of, now);
      const bool tight = leads ? inputs.level < kAmple * inputs.burst ||
                                     inputs.demand > kAmple * inputs.rate
                               : of.tight;
      if (tight) {
        report.entries.push_back(
            {.id = id, .level = inputs.level, .demand = inputs.demand});
      }
    }
    return report;
  }

  // Daemons that are in touch with this one, itself included.
  [[nodiscard]] std::uint32_t InTouch(time_point now) const {
    return HasWord(now) ? std::max(below_, told_daemons_) : below_;
  }

  struct usage {
    std::string_view name;
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
  };
  // Since the start, of each organisation that was refused anything.
  [[nodiscard]] std::vector<usage> Refused() const {
    std::vector<usage> all;
    for (const auto& [id, of] : books_) {
      if (of.refused > 0) {
        all.push_back(
            {.name = of.name, .admitted = of.admitted, .refused = of.refused});
      }
    }
    return all;
  }

 private:
  // An organisation that has more than this part of its burst, and asks for
  // less than this part of its rate, need not be told of.
  static constexpr double kAmple = 0.7;
  // An overspent bucket is not kept further below zero than this.
  static constexpr std::chrono::duration<double> kMostDebt{2.0};
  static constexpr milliseconds kLeastRetryAfter{200};
  static constexpr milliseconds kMostRetryAfter{5000};

  struct id_hash {
    std::size_t operator()(organisation_id id) const {
      return static_cast<std::size_t>(id);
    }
  };

  struct book {
    std::string name;
    double rate = 0;   // Of the whole fleet, as configured.
    double burst = 0;  // Likewise.
    double level = 0;  // Of the bucket; refilled only where this daemon leads.
    time_point level_at;
    decayed_rate demand;     // Of the daemons in touch, where this one leads.
    double told_demand = 0;  // Where it doesn't.
    bool tight = false;      // It was told of.
    decayed_rate own;        // Demand of this daemon.
    // Not reported yet, and reported without an answer yet.
    std::int64_t new_admitted = 0;
    std::int64_t new_refused = 0;
    std::int64_t sent_admitted = 0;
    std::int64_t sent_refused = 0;
    // At this daemon, since the start.
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    Rule rule;
  };

  struct child_state {
    std::uint32_t daemons = 0;
    time_point heard;
  };

  [[nodiscard]] bool HasWord(time_point now) const {
    return told_at_ && now - *told_at_ <= options_.memory;
  }
  [[nodiscard]] bool Leads(time_point now) const {
    return first_ || !HasWord(now);
  }

  // Of a quota, what the daemons in touch may use.
  [[nodiscard]] double Part(time_point now) const {
    const double part =
        static_cast<double>(InTouch(now)) / static_cast<double>(daemons_);
    return std::min(1.0, part * (1 + options_.overage));
  }

  void Refill(book* of, time_point now) {
    const double part = Part(now);
    const std::chrono::duration<double> passed =
        std::max(duration(0), now - of->level_at);
    of->level_at = now;
    of->level = std::clamp(of->level + of->rate * part * passed.count(),
                           -of->rate * kMostDebt.count(), of->burst * part);
  }

  void Count(book* of, std::int64_t admitted, std::int64_t refused) {
    of->level -= static_cast<double>(admitted);
    if (!first_) {
      of->new_admitted += admitted;
      of->new_refused += refused;
    }
  }

  [[nodiscard]] quota_inputs InputsOf(const book& of, time_point now) const {
    const double part = Part(now);
    return {.rate = of.rate * part,
            .burst = of.burst * part,
            .level = of.level,
            .demand = Leads(now) ? of.demand.Get(now)
                      : of.tight ? of.told_demand
                                 : 0,
            .own_demand = of.own.Get(now),
            .fleet_rate = of.rate,
            .fleet_burst = of.burst,
            .daemons = daemons_};
  }

  // Until the debt is paid, and then as often as the demand exceeds the rate.
  [[nodiscard]] static milliseconds RetryAfter(const quota_inputs& inputs) {
    const double debt = std::max(0.0, -inputs.level);
    const double excess = std::max(0.0, inputs.demand - inputs.rate);
    const double wait = (debt + excess) / std::max(inputs.rate, 1e-3);
    const auto limited =
        std::min(wait, std::chrono::duration<double>(kMostRetryAfter).count());
    return std::max(kLeastRetryAfter,
                    std::chrono::duration_cast<milliseconds>(
                        std::chrono::duration<double>(limited)));
  }

  const quota_options options_;
  std::unordered_map<organisation_id, book, id_hash> books_;
  std::map<child_id, child_state> children_;
  std::uint32_t below_ = 1;  // Daemons that report here, and this one.
  std::size_t daemons_ = 1;
  bool first_ = true;
  std::optional<time_point> told_at_;
  std::uint32_t told_daemons_ = 0;
};

}  // namespace pistachioweir
