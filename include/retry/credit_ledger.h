// credit_ledger: the retries that one call and its subtree may still spend.
// Credit is split over the call tree, never copied, so that the whole tree of a
// root request spends at most the root's credit.
#pragma once

#include <cassert>
#include <cstdint>

namespace pistachioweir {

// Prevents retry amplification when a deep service fails and every hop above it
// would retry: with n attempts at each of d hops the deepest one gets n to the
// power of d requests. With a ledger it gets at most one more than the root's
// credit, at any depth.
//
// Lent credit is returned only with an answer. It is lost with a lost answer:
// the callee may have spent all of it (guard CREDIT_LOST_WITH_ANSWER in
// spec/retry_credit.pml).
class credit_ledger {
 public:
  explicit credit_ledger(std::uint32_t credit) : available_(credit) {}

  // Takes one retry. Returns false if there is none left.
  [[nodiscard]] bool Spend() {
    if (available_ == 0) {
      return false;
    }
    --available_;
    return true;
  }

  // Reserves the credit of a child call: half, rounded up. Half, so that a
  // child whose answer is lost doesn't leave its siblings and this call's own
  // retry without any; rounded up, so that the last retry reaches the depth
  // where it costs least. Lent credit is deducted (guard CREDIT_SPLIT in
  // spec/retry_credit.pml): copies for each child would add up at every hop.
  [[nodiscard]] std::uint32_t Lend() {
    const std::uint32_t lent = (available_ + 1) / 2;
    available_ -= lent;
    lent_ += lent;
    return lent;
  }

  // A call that was lent `lent` was answered with `unspent` left. A value above
  // `lent` is a fault of the callee and counts as `lent`.
  void Return(std::uint32_t lent, std::uint32_t unspent) {
    assert(lent <= lent_);
    lent_ -= lent;
    available_ += unspent < lent ? unspent : lent;
  }

  // A call that was lent `lent` will not be answered.
  void Lose(std::uint32_t lent) { Return(lent, 0); }

  [[nodiscard]] std::uint32_t available() const { return available_; }
  [[nodiscard]] std::uint32_t lent() const { return lent_; }

 private:
  // available_ + lent_ + spent + lost is the credit that the call was given.
  std::uint32_t available_;
  std::uint32_t lent_ = 0;
};

}  // namespace pistachioweir
