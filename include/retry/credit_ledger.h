// credit_ledger: the retries that one call and everything below it may still
// spend. Credit is split over the call tree, never copied, so that the whole
// tree of a root request spends at most what its root was given.
#pragma once

#include <cassert>
#include <cstdint>

namespace pistachioweir {

// Made for a deep service that fails while every hop above it would retry: with
// n tries at each of d hops the deepest one gets n to the power of d requests.
// With a ledger it gets one more than the root's credit, whatever the depth.
//
// Credit that was lent comes back only with an answer. A lost answer loses it:
// the callee may have spent it all (guard CREDIT_LOST_WITH_ANSWER in
// spec/retry_credit.pml).
class credit_ledger {
 public:
  explicit credit_ledger(std::uint32_t credit) : available_(credit) {}

  // Takes one retry. False if there is none left.
  [[nodiscard]] bool Spend() {
    if (available_ == 0) {
      return false;
    }
    --available_;
    return true;
  }

  // Takes out what a child call may spend: half, rounded up. Half, so that a
  // child whose answer is lost doesn't leave its siblings and this call's own
  // retry without any; rounded up, so that a last retry reaches the depth where
  // it costs least. What is lent is taken off (guard CREDIT_SPLIT in
  // spec/retry_credit.pml): a copy for each child would add up with every hop.
  [[nodiscard]] std::uint32_t Lend() {
    const std::uint32_t lent = (available_ + 1) / 2;
    available_ -= lent;
    lent_ += lent;
    return lent;
  }

  // An answer came to a call that was lent `lent`, with `unspent` left. A
  // number beyond what was lent is a fault of the callee's and counts as all of
  // it.
  void Return(std::uint32_t lent, std::uint32_t unspent) {
    assert(lent <= lent_);
    lent_ -= lent;
    available_ += unspent < lent ? unspent : lent;
  }

  // No answer will come to a call that was lent `lent`.
  void Lose(std::uint32_t lent) { Return(lent, 0); }

  [[nodiscard]] std::uint32_t available() const { return available_; }
  [[nodiscard]] std::uint32_t lent() const { return lent_; }

 private:
  // available_ + lent_ + spent + lost is the credit that the call was given.
  std::uint32_t available_;
  std::uint32_t lent_ = 0;
};

}  // namespace pistachioweir
