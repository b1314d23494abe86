// entrance_limiter: admits a given share of the requests of a kind at the
// entrance of a call tree; recent_share: the share that the services below
// reported for it.
#pragma once

#include <array>
#include <cstdint>

#include "include/base/time.h"

namespace pistachioweir {

// The mean of the shares in the answers of the last half second. The targets of
// a service measure different shares, since they differ in load and speed, and
// requests can't be assigned to them in advance.
//
// Pure logic; the owner keeps one for each root kind and called service.
class recent_share {
 public:
  // Answers are summed up for two spans of this length.
  static constexpr milliseconds kSpan{250};
  // Without answers, the last mean is kept for the first time and returns
  // linearly to 1 until the second.
  static constexpr milliseconds kKept{500};
  static constexpr milliseconds kForgotten{2000};

  // `share` is between 0 and 1.
  void Add(double share, time_point now);
  // 1 if no share was ever added.
  [[nodiscard]] double Get(time_point now) const;
  // Whether Get() is 1 for lack of answers.
  [[nodiscard]] bool IsForgotten(time_point now) const {
    return now - last_ >= kForgotten;
  }

 private:
  struct span {
    double sum = 0;
    std::uint32_t count = 0;
  };

  std::array<span, 2> spans_;  // The newer one first.
  time_point begun_;           // Start of the newer span.
  time_point last_;            // Of the last answer.
  double mean_ = 1;            // At `last_`.
};

// For overload of a service several hops below the entrance: work that it
// refuses has cost all hops above, so the requests that it has no room for are
// refused before anything ran. The share follows from measured demand and
// capacity (capacity_shares), and takes effect at once.
//
// Pure logic; the owner keeps one for each root kind.
class entrance_limiter {
 public:
  // Maximum number of requests with precedence that are admitted in advance, at
  // the expense of later ones.
  static constexpr double kMaxBorrowed = 20;
  // A few requests are always admitted, or the demand would not be measured any
  // more and the end of the overload would go unnoticed. Bounds the weight that
  // one admitted request has in the measurement.
  static constexpr double kMinShare = 0.02;

  void SetShare(double share);
  // Counts a request and tells whether it may be admitted. Admitted requests
  // are evenly spaced; those with precedence are admitted as long as others can
  // be refused in exchange. If it is admitted, Spend() is due; one that another
  // limit refuses uses up nothing here.
  [[nodiscard]] bool MayAdmit(bool has_precedence);
  void Spend();

  [[nodiscard]] double share() const { return share_; }

 private:
  static constexpr double kMaxCredit = 2;

  double share_ = 1;  // Between kMinShare and 1.
  // Between -kMaxBorrowed and kMaxCredit; each request adds the share, an
  // admitted one takes 1.
  double credit_ = 1;
};

}  // namespace pistachioweir
