// sequence_set: a bitmap over the last numbers of a sequence.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace pistachioweir {

// Covers the last `window` numbers that were appended; older ones count as
// marked, since their state is no longer known. Numbers are appended in order,
// from zero.
class sequence_set {
 public:
  // `window` is rounded up to a multiple of 64.
  explicit sequence_set(std::size_t window)
      : words_((window + kWordBits - 1) / kWordBits) {}

  // Appends the next number, unmarked, and returns it.
  std::uint64_t Append() {
    const std::uint64_t number = end_++;
    Word(number) &= ~Bit(number);
    return number;
  }

  void Mark(std::uint64_t number) {
    if (IsCovered(number)) {
      Word(number) |= Bit(number);
    }
  }

  // True also for numbers that are no longer covered.
  [[nodiscard]] bool IsMarked(std::uint64_t number) const {
    return !IsCovered(number) || (words_[Index(number)] & Bit(number)) != 0;
  }

  [[nodiscard]] std::uint64_t end() const { return end_; }

 private:
  static constexpr std::size_t kWordBits = 64;

  [[nodiscard]] bool IsCovered(std::uint64_t number) const {
    return number < end_ && end_ - number <= words_.size() * kWordBits;
  }
  [[nodiscard]] std::size_t Index(std::uint64_t number) const {
    return static_cast<std::size_t>(number / kWordBits) % words_.size();
  }
  std::uint64_t& Word(std::uint64_t number) { return words_[Index(number)]; }
  static std::uint64_t Bit(std::uint64_t number) {
    return std::uint64_t{1} << (number % kWordBits);
  }

  std::vector<std::uint64_t> words_;  // Number n is bit n modulo the size.
  std::uint64_t end_ = 0;             // The next number to append.
};

}  // namespace pistachioweir
