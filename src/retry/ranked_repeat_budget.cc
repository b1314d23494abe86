// Division of one daemon's repeats by rank.
#include "include/retry/ranked_repeat_budget.h"

#include <algorithm>
#include <cmath>

#include "include/admit/admission_rank.h"

namespace pistachioweir {
namespace {

// Attempts are counted over these times. Over one second, the rate of 70 a
// second varied so much that less important ranks took a fifth of the budget in
// its dips.
constexpr milliseconds kRecent{2000};
constexpr milliseconds kLatest{500};
// Fewer within kRecent may be those of one or two requests. Extended to the
// window at each daemon of a fleet, they would hold back the repeats of all
// less important ranks.
constexpr double kFewAttempts = 10;
// Attempts within kRecent that are expected within kDemandHorizon.
constexpr double kDemandPerAttempt =
    static_cast<double>(ranked_repeat_budget::kDemandHorizon.count()) /
    static_cast<double>(kRecent.count());

constexpr std::size_t kWithoutCalls = 0;
constexpr std::size_t kWithCalls = 1;

double Total(const slot_counts<2>& attempts) {
  return static_cast<double>(attempts.sum(kWithoutCalls) +
                             attempts.sum(kWithCalls));
}

double Seconds(duration time) {
  return std::chrono::duration<double>(time).count();
}

// Attempts a second, less `uncertain` of those that were counted.
double Rate(const slot_counts<2>& attempts,
            double uncertain,
            duration min_span,
            time_point now) {
  const auto oldest = attempts.oldest();
  if (!oldest) {
    return 0;
  }
  const duration span = std::max(min_span, now - *oldest);
  return (Total(attempts) - uncertain) / Seconds(span);
}

std::size_t IndexOf(priority level) {
  return static_cast<std::size_t>(level);
}

std::uint32_t WholeTokens(double tokens) {
  return tokens < 1 ? 0 : static_cast<std::uint32_t>(tokens);
}

}  // namespace

ranked_repeat_budget::ranked_repeat_budget(const ranked_repeat_options& options)
    : options_(options),
      requests_(options.window, slot_expiry::kOldest),
      forecast_(options.window),
      used_(options.window, slot_expiry::kNewest),
      lent_(options.window + kLentExtra, slot_expiry::kNewest),
      attempts_{NoAttempts(), NoAttempts(), NoAttempts(), NoAttempts()} {}

ranked_repeat_budget::attempt_counts ranked_repeat_budget::NoAttempts() {
  return {.recent = {kRecent, slot_expiry::kOldest},
          .latest = {kLatest, slot_expiry::kOldest}};
}

void ranked_repeat_budget::Expire(time_point now) {
  starting_ = now - options_.started <= options_.window + kLentExtra;
  requests_.Expire(now);
  forecast_.Expire(now);
  used_.Expire(now);
  lent_.Expire(now);
  for (auto& attempts : attempts_) {
    attempts.recent.Expire(now);
    attempts.latest.Expire(now);
  }
  borrowed_.Expire(now);
}

double ranked_repeat_budget::Allowed(double ratio) const {
  return options_.reserve + ratio * static_cast<double>(requests_.sum(0));
}

double ranked_repeat_budget::Ratio() const {
  return starting_ ? std::min(options_.ratio, options_.starting_ratio)
                   : options_.ratio;
}

double ranked_repeat_budget::OwnRemaining() const {
  return Allowed(Ratio()) - static_cast<double>(used_.sum(kOwn)) -
         static_cast<double>(lent_.sum(0));
}

double ranked_repeat_budget::Minimum() const {
  return std::floor(kMinimumFraction * Allowed(Ratio()));
}

double ranked_repeat_budget::UnusedMinimum(std::size_t rank) const {
  return std::max(0.0, Minimum() - static_cast<double>(used_.sum(rank)));
}

double ranked_repeat_budget::DemandOf(std::size_t rank) const {
  return kDemandPerAttempt * Total(attempts_[rank].recent);
}

// With only kDemandHorizon kept, less important ranks used up the budget in the
// first second of an overload, and it came back only after the window. One
// attempt, or the variation of a few, doesn't show a rate: a single lost answer
// must not hold back the repeats of all other ranks.
double ranked_repeat_budget::NeedOf(std::size_t rank, time_point now) const {
  const attempt_counts& attempts = attempts_[rank];
  const double total = Total(attempts.recent);
  const double rate =
      total < kFewAttempts
          ? Rate(attempts.recent, std::sqrt(total), kRecent, now)
          : std::max(Rate(attempts.recent, 1, kLatest, now),
                     Rate(attempts.latest, std::sqrt(Total(attempts.latest)),
                          slot_counts<2>::kSlotWidth, now));
  const double need =
      std::max(rate * Seconds(options_.window), forecast_.NeedOf(rank));
  return std::max(DemandOf(rank), need - static_cast<double>(used_.sum(rank)));
}

// Where the important requests come to other daemons, the budget would be spent
// here before those have used up their own.
double ranked_repeat_budget::NeedOfOthers(std::size_t rank,
                                          time_point now) const {
  return now - needed_at_ <= kTokenLifetime ? needed_[rank] : 0;
}

double ranked_repeat_budget::KeptFor(std::size_t rank, time_point now) const {
  double kept = 0;
  for (std::size_t other = 0; other < rank; ++other) {
    kept += NeedOfOthers(other, now);
  }
  for (std::size_t other = 0; other < kPriorityCount; ++other) {
    if (other == rank || DemandOf(other) == 0) {
      continue;
    }
    const double minimum = UnusedMinimum(other);
    kept += other < rank ? std::max(minimum, NeedOf(other, now)) : minimum;
  }
  return kept;
}

// Borrowed tokens expire before most of the window is over: kept for all of it,
// half of them were lost.
double ranked_repeat_budget::Usable(std::size_t rank, time_point now) const {
  double borrowed = borrowed_.size();
  for (std::size_t other = 0; other < rank; ++other) {
    borrowed -= DemandOf(other);
  }
  const double available = OwnRemaining() + borrowed_.size();
  return std::min(available,
                  std::max(borrowed, available - KeptFor(rank, now)));
}

// Of what the window allows, lent tokens and more important ranks take their
// parts first.
bool ranked_repeat_budget::IsChosen(std::size_t rank,
                                    std::uint8_t ticket) const {
  const double need = forecast_.NeedOf(rank);
  double budget =
      Allowed(Ratio()) - static_cast<double>(lent_.sum(0)) + borrowed_.size();
  for (std::size_t other = 0; other < rank; ++other) {
    budget -= std::max(forecast_.NeedOf(other),
                       static_cast<double>(used_.sum(other)));
  }
  budget = std::max(budget, Minimum());
  if (budget >= need) {
    return true;
  }
  const double tickets = std::ceil(kRanksPerPriority * budget / need);
  return ticket >= kRanksPerPriority - tickets;
}

bool ranked_repeat_budget::MaySpend(const wanted_repeat& repeat,
                                    time_point now) const {
  const std::size_t rank = IndexOf(repeat.level);
  const bool makes_calls = repeat.makes_calls;
  const double own = OwnRemaining();
  const double available = own + borrowed_.size();
  if (available < 1) {
    return false;
  }
  // Borrowed tokens are for kinds without calls: those with calls are bounded
  // by the lender, too.
  if (makes_calls &&
      (own < 1 || static_cast<double>(used_.sum(kOwnCalling) + 1) >
                      Allowed(std::min(options_.calling_ratio, Ratio())))) {
    return false;
  }
  return IsChosen(rank, repeat.ticket) &&
         (UnusedMinimum(rank) >= 1 || Usable(rank, now) >= 1);
}

void ranked_repeat_budget::OnRequest(priority level, time_point now) {
  requests_.Expire(now);
  requests_.Add(0, 1, now);
  forecast_.Expire(now);
  forecast_.OnRequest(level, now);
}

bool ranked_repeat_budget::TrySpend(const wanted_repeat& repeat,
                                    time_point now) {
  Expire(now);
  const std::size_t rank = IndexOf(repeat.level);
  const bool makes_calls = repeat.makes_calls;
  const std::size_t kind = makes_calls ? kWithCalls : kWithoutCalls;
  forecast_.OnFailure(now);
  attempts_[rank].recent.Add(kind, 1, now);
  attempts_[rank].latest.Add(kind, 1, now);
  if (!MaySpend(repeat, now)) {
    ++counters_.refused[rank];
    return false;
  }
  forecast_.OnRepeat(now);
  ++counters_.spent[rank];
  used_.Add(rank, 1, now);
  // Borrowed tokens first: they expire sooner.
  if (!makes_calls && borrowed_.size() > 0) {
    borrowed_.TakeOne();
    return true;
  }
  used_.Add(kOwn, 1, now);
  if (makes_calls) {
    used_.Add(kOwnCalling, 1, now);
  }
  return true;
}

void ranked_repeat_budget::ChargeInherited(time_point now) {
  Expire(now);
  used_.Add(kOwn, 1, now);
  ++counters_.inherited;
}

std::uint32_t ranked_repeat_budget::SpareFor(std::size_t rank,
                                             time_point now) const {
  const double own = OwnRemaining();
  double kept = KeptFor(rank, now);
  if (DemandOf(rank) > 0) {
    kept += std::max(UnusedMinimum(rank), NeedOf(rank, now));
  }
  return WholeTokens(std::min(own, own + borrowed_.size() - kept));
}

rank_counts ranked_repeat_budget::Spare(time_point now) {
  Expire(now);
  rank_counts spare{};
  for (std::size_t rank = 0; rank < kPriorityCount; ++rank) {
    spare[rank] = SpareFor(rank, now);
  }
  return spare;
}

std::uint32_t ranked_repeat_budget::Lend(priority level,
                                         std::uint32_t count,
                                         time_point now) {
  Expire(now);
  const std::uint32_t lent = std::min(count, SpareFor(IndexOf(level), now));
  if (lent > 0) {
    lent_.Add(0, lent, now);
    counters_.lent += lent;
  }
  return lent;
}

void ranked_repeat_budget::KeepForOthers(const rank_amounts& needed,
                                         time_point now) {
  needed_ = needed;
  needed_at_ = now;
}

void ranked_repeat_budget::Borrow(const repeat_tokens& tokens, time_point now) {
  borrowed_.Add(tokens);
  borrowed_.Expire(now);
  counters_.borrowed += tokens.count;
}

// While inherited repeats have used more than there is, tokens would only
// replace those, and none are asked for.
rank_counts ranked_repeat_budget::Unmet(time_point now) {
  Expire(now);
  rank_counts unmet{};
  if (OwnRemaining() + borrowed_.size() < 0) {
    return unmet;
  }
  for (std::size_t rank = 0; rank < kPriorityCount; ++rank) {
    const double demand = DemandOf(rank);
    const double covered = std::clamp(Usable(rank, now), 0.0, demand);
    const double leaf =
        kDemandPerAttempt *
        static_cast<double>(attempts_[rank].recent.sum(kWithoutCalls));
    unmet[rank] =
        static_cast<std::uint32_t>(std::ceil(std::min(leaf, demand - covered)));
  }
  return unmet;
}

rank_counts ranked_repeat_budget::Shortage(time_point now) {
  Expire(now);
  rank_counts shortage{};
  for (std::size_t rank = 0; rank < kPriorityCount; ++rank) {
    const slot_counts<2>& attempts = attempts_[rank].recent;
    const double all = Total(attempts);
    if (all > 0) {
      const double leaf =
          static_cast<double>(attempts.sum(kWithoutCalls)) / all;
      const double there = std::max(0.0, Usable(rank, now));
      shortage[rank] = WholeTokens(leaf * (NeedOf(rank, now) - there));
    }
  }
  return shortage;
}

double ranked_repeat_budget::remaining(time_point now) {
  Expire(now);
  return OwnRemaining() + borrowed_.size();
}

double ranked_repeat_budget::KeptFor(priority level, time_point now) {
  Expire(now);
  return KeptFor(IndexOf(level), now);
}

}  // namespace pistachioweir
