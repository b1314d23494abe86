// ranked_repeat_budget: bounds the repeats of one daemon to the targets of one
// service, the most important requests first, and what it lends to others.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "include/base/enum_table.h"
#include "include/base/priority.h"
#include "include/base/time.h"
#include "include/quota/report_parent.h"
#include "include/retry/repeat_forecast.h"
#include "include/retry/slot_counts.h"
#include "include/retry/token_pool.h"

namespace pistachioweir {

// How daemons keep the operator's bound on repeats.
enum class repeat_sharing_policy : std::uint8_t {
  kLocal,   // Each spends its own part, whatever the rank; see repeat_budget.
  kShared,  // By rank; they lend each other what they don't need.
};

inline constexpr enum_table<repeat_sharing_policy, 2> kRepeatSharingPolicyNames(
    {"local", "shared"});

struct ranked_repeat_options {
  // Any time window of this length is bounded.
  milliseconds window{10000};
  // Repeats allowed per request in the window, inherited ones included.
  double ratio = 0.05;
  // Likewise for `window` + kLentExtra after `started`, if lower than `ratio`.
  double starting_ratio = 0.05;
  // When this daemon started.
  time_point started;
  // Of these, repeats of kinds whose runs make calls, since each of them uses
  // budget of the services further down.
  double calling_ratio = 0.05;
  // Repeats allowed per window regardless of requests. One daemon's share of
  // the common reserve may be less than one.
  double reserve = 1;
};

// A repeat that a request needs.
struct wanted_repeat {
  priority level = priority::kNormal;
  std::uint8_t ticket = 255;  // Of the root request; see admission_rank.
  bool makes_calls = false;   // Runs of its kind make calls, or may.
};

// A count for each priority, the most important first.
using rank_counts = std::array<std::uint32_t, kPriorityCount>;
// Likewise, but of parts of tokens.
using rank_amounts = std::array<double, kPriorityCount>;

struct ranked_repeat_counters {
  std::array<std::uint64_t, kPriorityCount> spent{};
  std::array<std::uint64_t, kPriorityCount> refused{};
  std::uint64_t inherited = 0;
  std::uint64_t lent = 0;
  std::uint64_t borrowed = 0;
};

// For a service that rejects 55 of 100 calls at once for seconds: all callers
// need more than one repeat for each call, and the operator's bound allows a
// fifth of one. Spent in the order of arrival, the budget is used up by the
// many unimportant calls, and the important ones, which it could serve, get
// none of it.
//
// A repeat is refused while the rest of the budget doesn't cover what more
// important ranks still need in this window and what other ranks with demand
// have left of their minimums. Within its minimum, a rank isn't refused for
// another one.
//
// Where the budget doesn't suffice for a rank, only requests with the highest
// tickets are repeated, as many as can be served with it. A root request whose
// run makes four calls needs a repeat for each of them that is rejected; with
// equal chances for all, a part of the budget is spent on requests that fail
// all the same.
//
// Daemons lend each other what they don't need: a token that is lent counts as
// spent here, and is spent elsewhere in addition to the budget there. It counts
// for longer than it may be spent, so that the window of this daemon covers
// all that is spent on its account, whoever spends it.
//
// A daemon that restarts has forgotten its spends (guard
// RESTART_FORGETS_REQUESTS in spec/repeat_lending.pml: and its requests), but
// they are still in the window. Until they have left it, only `starting_ratio`
// is allowed (guard STARTS_WITH_PART in spec/repeat_lending.pml).
//
// Pure logic; the owner keeps one per called service.
class ranked_repeat_budget {
 public:
  // A token may be spent this long after it was lent.
  static constexpr milliseconds kTokenLifetime{2000};
  // Levels of the usage tree below its root, and thus hops of a token to the
  // root. Two levels of 64 children each are 4,161 daemons, three 266,305.
  static constexpr int kTreeLevels = 3;
  // Unnoticed wait of a report and of a grant at each level. Tokens of a grant
  // count from its report, so the grants' part also covers the hops that are
  // added while unresponsive parents are skipped.
  static constexpr milliseconds kUnnoticedWait =
      kTreeLevels * 2 * report_parent::kResponseTimeout;
  // Rounding to milliseconds, and drift of clocks, which is below 0.1 s a level
  // (see transit_time).
  static constexpr milliseconds kClockError{400};
  // A token may be spent so long after it was lent, and counts for longer than
  // the window by that (guards LENT_OUTLIVES_WINDOW and LENT_OUTLIVES_WAITS in
  // spec/repeat_lending.pml).
  static constexpr milliseconds kLentExtra =
      kTokenLifetime + kUnnoticedWait + kClockError;
  // Parts of the operator's ratio for `ratio` and `starting_ratio`. Together at
  // most 1, since a window may contain spends of two incarnations.
  static constexpr double kNormalShare = 0.7;
  static constexpr double kStartingShare = 0.3;
  static_assert(kNormalShare + kStartingShare <= 1);
  // What is needed in this time is kept, or borrowed. Two rounds of the
  // exchange between daemons, which bring the next tokens.
  static constexpr milliseconds kDemandHorizon{500};
  // Part of what the window allows that each rank keeps.
  static constexpr double kMinimumFraction = 0.05;

  explicit ranked_repeat_budget(const ranked_repeat_options& options);

  void OnRequest(priority level, time_point now);
  // Counts a repeat. Returns false if it must not be sent.
  [[nodiscard]] bool TrySpend(const wanted_repeat& repeat, time_point now);
  // A first send that the called service counts as a repeat, since a run above
  // is one. Counts whether or not there is budget for it.
  void ChargeInherited(time_point now);

  // Tokens that could be lent to others' requests of each priority.
  [[nodiscard]] rank_counts Spare(time_point now);
  // Lends up to `count` tokens of Spare(level). They expire after
  // kTokenLifetime. They count also if they are lost on their way (guard
  // LOST_STAY_COUNTED in spec/repeat_lending.pml): the frame may have arrived.
  [[nodiscard]] std::uint32_t Lend(priority level,
                                   std::uint32_t count,
                                   time_point now);
  // What other daemons need of this one in the window. Kept for them like what
  // requests here need, until kTokenLifetime has passed without another call.
  void KeepForOthers(const rank_amounts& needed, time_point now);
  void Borrow(const repeat_tokens& tokens, time_point now);
  // Tokens wanted for the next kDemandHorizon beyond what is there.
  [[nodiscard]] rank_counts Unmet(time_point now);

  // Tokens wanted for the rest of the window beyond what is there.
  [[nodiscard]] rank_counts Shortage(time_point now);

  // Repeats that may be spent now, by any rank; negative after inherited ones
  // without budget.
  [[nodiscard]] double remaining(time_point now);
  // What a repeat of this priority has to leave for others.
  [[nodiscard]] double KeptFor(priority level, time_point now);

  // `options.window` and `options.started` must not change.
  void Configure(const ranked_repeat_options& options) { options_ = options; }
  [[nodiscard]] const ranked_repeat_counters& counters() const {
    return counters_;
  }

 private:
  // Of one priority; of kinds whose runs make no calls, and of others.
  struct attempt_counts {
    slot_counts<2> recent;
    slot_counts<2> latest;  // Shorter, for a demand that has just begun.
  };

  // Kinds of `used_` after the priorities.
  static constexpr std::size_t kOwn = kPriorityCount;   // Charged here.
  static constexpr std::size_t kOwnCalling = kOwn + 1;  // Of kinds with calls.

  [[nodiscard]] static attempt_counts NoAttempts();
  void Expire(time_point now);
  // These are as of the last Expire().
  [[nodiscard]] double Allowed(double ratio) const;
  [[nodiscard]] double Ratio() const;
  [[nodiscard]] double OwnRemaining() const;
  [[nodiscard]] double UnusedMinimum(std::size_t rank) const;
  [[nodiscard]] double Minimum() const;
  // Repeats wanted within kDemandHorizon.
  [[nodiscard]] double DemandOf(std::size_t rank) const;
  // What the rank needs until its oldest repeats leave the window.
  [[nodiscard]] double NeedOf(std::size_t rank, time_point now) const;
  // Likewise, of other daemons.
  [[nodiscard]] double NeedOfOthers(std::size_t rank, time_point now) const;
  // What ranks more important than `rank` need, and the minimums of others.
  [[nodiscard]] double KeptFor(std::size_t rank, time_point now) const;
  // Whether the budget suffices for requests with this ticket.
  [[nodiscard]] bool IsChosen(std::size_t rank, std::uint8_t ticket) const;
  // What the rank may spend besides its minimum.
  [[nodiscard]] double Usable(std::size_t rank, time_point now) const;
  [[nodiscard]] bool MaySpend(const wanted_repeat& repeat,
                              time_point now) const;
  [[nodiscard]] std::uint32_t SpareFor(std::size_t rank, time_point now) const;

  ranked_repeat_options options_;
  bool starting_ = true;  // As of the last Expire().
  slot_counts<1> requests_;
  repeat_forecast forecast_;
  // Repeats by priority, on whose account ever; then kOwn and kOwnCalling.
  slot_counts<kPriorityCount + 2> used_;
  slot_counts<1> lent_;
  rank_amounts needed_{};  // By other daemons.
  time_point needed_at_;
  // Attempts to spend, granted or not.
  std::array<attempt_counts, kPriorityCount> attempts_;
  token_pool borrowed_;
  ranked_repeat_counters counters_;
};

}  // namespace pistachioweir
