// parent_match: whether calls of the target beside a daemon can be told to
// belong to the requests that run there.
#pragma once

#include "include/base/time.h"

namespace pistachioweir {

// Targets name a call by the id of the request that they make it for, with
// something behind it. Nobody promises that, so it is concluded from what is
// seen, and nothing relies on it where it doesn't hold.
//
// Made for repeats in chains: a request that runs again makes its calls again,
// and those count as repeats at each service below. A daemon that can't tell
// them from others must leave room for them at each level. One that can counts
// them, and may use the whole of what the operator allows.
//
// Pure logic; the owner keeps one for the target beside it.
class parent_match {
 public:
  // Part of the calls that must have a request running here. Those whose
  // request has just ended have none.
  static constexpr double kSure = 0.97;

  // A call that was made by the target; `found` if its id begins with that of a
  // request that runs there.
  void Add(bool found) { part_ += kWeight * ((found ? 1.0 : 0.0) - part_); }

  [[nodiscard]] bool IsSure() const { return part_ > kSure; }

 private:
  // Of the newest call. From none found on, some 170 in a row make it sure.
  static constexpr double kWeight = 1.0 / 48;

  double part_ = 0;
};

}  // namespace pistachioweir
