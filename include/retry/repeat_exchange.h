// repeat_exchange: how a daemon passes on tokens of the repeat budget between
// its children, itself and its parent in the usage tree.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "include/base/time.h"
#include "include/retry/ranked_repeat_budget.h"
#include "include/retry/token_pool.h"

namespace pistachioweir {

// Tokens under way to another daemon, whose clock differs.
struct passed_tokens {
  std::uint32_t count = 0;
  milliseconds valid_for{0};  // When it was sent.

  friend bool operator==(const passed_tokens&, const passed_tokens&) = default;
};

// One called service in a report to the parent, or in the grant that answers
// it.
struct repeat_entry {
  // A frame has at most this many groups of tokens.
  static constexpr std::size_t kMaxGroups = 4;

  std::string service;
  std::vector<passed_tokens> tokens;
  // Report: of the sender and the daemons below. Grant: of the fleet.
  rank_counts unmet{};     // Tokens wanted now.
  rank_counts spare{};     // Tokens that could be lent.
  rank_counts shortage{};  // Tokens that will be wanted in the window.

  friend bool operator==(const repeat_entry&, const repeat_entry&) = default;
};

using repeat_entries = std::vector<repeat_entry>;

// The budget of this daemon for one service.
struct own_repeat_budget {
  std::string_view service;
  ranked_repeat_budget* budget = nullptr;
};

// For an overload in which some daemons need more repeats than their part of
// the operator's bound, while the part of others goes unused. Each daemon tells
// its parent what it wants and what it could lend; what the fleet wants comes
// back, and each lends its proportion of that. Daemons need not agree on any
// sum: a token is spent at most once, whoever holds it, and counts for its
// lender throughout.
//
// Pure logic; repeat_sharing keeps one.
class repeat_exchange {
 public:
  // A report or grant that is older says nothing any more: four intervals.
  static constexpr milliseconds kStaleAfter{1000};
  // After the fleet is first known to want tokens, three intervals: until then
  // not all daemons have told what they could lend, and each would lend too
  // much.
  static constexpr milliseconds kLendDelay{750};
  static constexpr std::size_t kMaxServices = 64;
  static constexpr std::size_t kMaxChildren = 256;

  // Without a parent, this daemon divides the tokens of the fleet.
  void SetRoot(bool is_root) { is_root_ = is_root; }
  // Whether tokens that are lent now can be passed on; if not, none are lent.
  void SetLends(bool lends) { lends_ = lends; }
  // Daemons of the fleet.
  void SetDaemons(std::size_t daemons) { daemons_ = daemons; }

  // Lends what is due, and takes what is left for this daemon. Call before each
  // report. `random` from 0 up to 1 decides the rounding.
  void Tick(const std::vector<own_repeat_budget>& own,
            double random,
            time_point now);
  // For the parent. The tokens are no longer here.
  [[nodiscard]] repeat_entries TakeReport(time_point now);
  // The child reported; its frame waited for `transit`. Returns the grant.
  [[nodiscard]] repeat_entries OnReport(std::uint64_t child,
                                        const repeat_entries& report,
                                        milliseconds transit,
                                        time_point now);
  // The parent answered the report that was sent at `reported_at`. Its tokens
  // count from then on, since the parent sent them later.
  void OnGrant(const repeat_entries& grant,
               const std::vector<own_repeat_budget>& own,
               time_point reported_at,
               time_point now);

 private:
  struct need {
    rank_counts unmet{};
    rank_counts spare{};
    rank_counts shortage{};
    time_point at;
  };

  struct service_state {
    token_pool to_parent;
    token_pool to_divide;
    std::map<std::uint64_t, need> children;
    need own;
    time_point wanted_since = time_point::max();  // By `fleet`.
    need fleet;  // As the parent told, or at the root the sum.
  };

  void Expire(time_point now);
  // Keeps in the budget what the fleet will want of it.
  void KeepDue(service_state& state,
               ranked_repeat_budget& budget,
               time_point now) const;
  static void UpdateFleet(service_state& state, time_point now);
  void LendDue(service_state& state,
               ranked_repeat_budget& budget,
               double random,
               time_point now);
  static void TakeOwn(service_state& state,
                      ranked_repeat_budget& budget,
                      time_point now);
  [[nodiscard]] static bool IsWanted(const need& of);
  [[nodiscard]] static need Sum(const service_state& state);
  // Nothing if there are too many.
  [[nodiscard]] service_state* StateOf(std::string_view service);

  // The part of what the fleet wants that is due from this daemon, by rank.
  [[nodiscard]] rank_amounts DueParts(const service_state& state,
                                      const rank_counts& spare,
                                      time_point now) const;

  bool is_root_ = false;
  bool lends_ = true;
  std::size_t daemons_ = 1;
  std::map<std::string, service_state, std::less<>> services_;
};

}  // namespace pistachioweir
