// quota_fleet: a model of daemons that keep organisations' quotas together, on
// a virtual clock.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "include/quota/quota_ledger.h"
#include "include/quota/usage_tree.h"

namespace pistachioweir {

struct quota_fleet_options {
  std::size_t daemons = 60;
  std::uint64_t seed = 1;
  double rate = 100;  // Of the organisation.
  double burst = 100;
  // Part of the packets that are lost and sent again.
  double loss = 0;
  // Part of the daemons that carry the demand.
  double spread = 1;
  milliseconds way{2};       // One way between two daemons.
  milliseconds resent{210};  // A packet that was lost arrives so much later.
};

// One organisation. A step is a millisecond; each daemon reports every
// kInterval.
template <quota_rule Rule>
class quota_fleet {
 public:
  static constexpr milliseconds kInterval{250};

  explicit quota_fleet(const quota_fleet_options& options)
      : options_(options), random_(options.seed) {
    for (std::size_t i = 0; i < options.daemons; ++i) {
      ips_.push_back("10.0." + std::to_string(i / 250) + "." +
                     std::to_string(i % 250 + 1));
    }
    for (std::size_t i = 0; i < options.daemons; ++i) {
      daemons_.push_back(Make(i));
    }
    used_.resize(options.daemons, false);
    for (std::size_t i = 0; i < options.daemons; ++i) {
      used_[i] = static_cast<double>(i) <
                 options.spread * static_cast<double>(options.daemons);
    }
  }

  // Demand in requests a second over all daemons.
  void Run(milliseconds time, double demand) {
    const time_point end = now_ + time;
    for (; now_ < end; now_ += milliseconds(1)) {
      Deliver();
      for (std::size_t i = 0; i < daemons_.size(); ++i) {
        if ((now_ - time_point()) % kInterval == daemons_[i]->phase) {
          Report(i);
        }
      }
      Request(demand);
    }
  }

  // Daemons of the first part can't reach the others.
  void Cut(double part) {
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
      daemons_[i]->side =
          static_cast<double>(i) < part * static_cast<double>(daemons_.size())
              ? 1
              : 0;
    }
  }
  // Each daemon of the first part can reach no other one.
  void Isolate(double part) {
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
      if (static_cast<double>(i) <
          part * static_cast<double>(daemons_.size())) {
        daemons_[i]->side = static_cast<int>(i) + 2;
      }
    }
  }
  void Heal() {
    for (auto& each : daemons_) {
      each->side = 0;
    }
  }
  void RestartAll() {
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
      const int side = daemons_[i]->side;
      daemons_[i] = Make(i);
      daemons_[i]->side = side;
    }
  }
  void SetRate(double rate, double burst) {
    options_.rate = rate;
    options_.burst = burst;
    for (auto& each : daemons_) {
      Configure(*each);
    }
  }

  void ClearCounts() {
    admitted_ = 0;
    refused_ = 0;
    ideal_refused_ = 0;
    times_.clear();
  }
  [[nodiscard]] std::uint64_t admitted() const { return admitted_; }
  [[nodiscard]] std::uint64_t refused() const { return refused_; }
  // Beyond what one bucket for the whole fleet would have refused.
  [[nodiscard]] double falsely_refused() const {
    const auto asked = static_cast<double>(admitted_ + refused_);
    return std::max(0.0, (static_cast<double>(refused_) -
                          static_cast<double>(ideal_refused_)) /
                             asked);
  }
  [[nodiscard]] double reports_a_daemon_second(milliseconds over) const {
    return static_cast<double>(reports_) /
           static_cast<double>(daemons_.size()) /
           std::chrono::duration<double>(over).count();
  }
  // Most that were let in within any span of this length.
  [[nodiscard]] std::size_t MostWithin(milliseconds span) const {
    std::size_t most = 0;
    std::size_t begin = 0;
    for (std::size_t end = 0; end < times_.size(); ++end) {
      while (times_[end] - times_[begin] >= span) {
        ++begin;
      }
      most = std::max(most, end - begin + 1);
    }
    return most;
  }

 private:
  struct daemon {
    explicit daemon(std::string ip)
        : tree({.self = std::move(ip)}), ledger({}) {}

    usage_tree tree;
    quota_ledger<Rule> ledger;
    milliseconds phase{0};
    int side = 0;
    std::uint64_t start = 0;
    std::optional<time_point> asked;
  };

  struct message {
    time_point due;
    std::function<void()> deliver;

    friend bool operator>(const message& a, const message& b) {
      return a.due > b.due;
    }
  };

  std::unique_ptr<daemon> Make(std::size_t index) {
    auto made = std::make_unique<daemon>(ips_[index]);
    made->phase = milliseconds(std::uniform_int_distribution<int>(
        0, static_cast<int>(kInterval.count()) - 1)(random_));
    made->start = ++starts_;
    made->tree.SetDaemons(daemon_order::InOneDataCentre(ips_));
    made->ledger.SetDaemons(ips_.size());
    Configure(*made);
    return made;
  }

  void Configure(daemon& of) {
    std::string problem;
    of.ledger.Configure(*organisation_table::Make({{.name = "north",
                                                    .api_keys = {"k"},
                                                    .rate = options_.rate,
                                                    .burst = options_.burst}},
                                                  &problem),
                        now_);
  }

  double Part() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }

  [[nodiscard]] bool Reaches(std::size_t a, std::size_t b) const {
    return daemons_[a]->side == daemons_[b]->side;
  }

  void Post(const std::function<void()>& deliver) {
    const bool lost = Part() < options_.loss;
    on_the_way_.push({.due = now_ + options_.way +
                             (lost ? options_.resent : milliseconds(0)),
                      .deliver = deliver});
  }

  void Deliver() {
    while (!on_the_way_.empty() && on_the_way_.top().due <= now_) {
      const auto deliver = on_the_way_.top().deliver;
      on_the_way_.pop();
      deliver();
    }
  }

  std::size_t IndexOf(const std::string& ip) const {
    return static_cast<std::size_t>(std::ranges::find(ips_, ip) - ips_.begin());
  }

  void Report(std::size_t index) {
    daemon& from = *daemons_[index];
    const auto parent = from.tree.Parent(now_);
    from.ledger.SetRoot(!parent);
    from.ledger.Tick(now_);
    if (!parent || (from.asked && now_ - *from.asked < milliseconds(600))) {
      return;
    }
    from.asked = now_;
    ++reports_;
    const std::size_t to = IndexOf(*parent);
    usage_report report = from.ledger.TakeReport(now_);
    if (!Reaches(index, to)) {
      return;
    }
    Post([this, index, to, start = from.start, report = std::move(report)] {
      daemon& at = *daemons_[to];
      at.ledger.OnUsage(start, report, now_);
      quota_report answer = at.ledger.Quota(now_);
      Post([this, index, to, start, answer = std::move(answer)] {
        daemon& back = *daemons_[index];
        if (back.start == start) {
          back.asked.reset();
          back.tree.OnResponse(ips_[to], now_);
          back.ledger.OnQuota(answer, now_);
        }
      });
    });
  }

  void Request(double demand) {
    constexpr double kStepsPerSecond = 1000;
    const int count =
        std::poisson_distribution<int>(demand / kStepsPerSecond)(random_);
    for (int i = 0; i < count; ++i) {
      std::size_t at = 0;
      do {
        at = std::uniform_int_distribution<std::size_t>(
            0, daemons_.size() - 1)(random_);
      } while (!used_[at]);
      const bool in =
          daemons_[at]
              ->ledger.Admit(IdOfOrganisation("north"), Part(), now_)
              .admitted;
      ++(in ? admitted_ : refused_);
      const bool owed = ideal_.Take(options_.rate, options_.burst, now_);
      ideal_refused_ += owed ? 0U : 1U;
      if (in) {
        times_.push_back(now_);
      }
    }
  }

  quota_fleet_options options_;
  std::mt19937_64 random_;
  std::vector<std::string> ips_;
  std::vector<std::unique_ptr<daemon>> daemons_;
  std::vector<bool> used_;
  std::priority_queue<message, std::vector<message>, std::greater<>>
      on_the_way_;
  time_point now_{seconds(1000)};
  std::uint64_t starts_ = 0;
  std::uint64_t admitted_ = 0;
  std::uint64_t refused_ = 0;
  token_bucket ideal_;
  std::uint64_t ideal_refused_ = 0;
  std::uint64_t reports_ = 0;
  std::vector<time_point> times_;
};

}  // namespace pistachioweir
