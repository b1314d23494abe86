// token_pool: repeats that a daemon may send on the account of others, each
// until it expires.
#pragma once

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <vector>

#include "include/base/time.h"

namespace pistachioweir {

struct repeat_tokens {
  std::uint32_t count = 0;
  time_point expires;

  friend bool operator==(const repeat_tokens&, const repeat_tokens&) = default;
};

// Pure logic. Groups whose expiries differ by less than kMergeWidth are merged
// and expire with the first of them, which bounds their number.
class token_pool {
 public:
  static constexpr milliseconds kMergeWidth{100};

  void Add(const repeat_tokens& tokens) {
    if (tokens.count == 0) {
      return;
    }
    const auto later = std::ranges::upper_bound(groups_, tokens.expires, {},
                                                &repeat_tokens::expires);
    if (later != groups_.begin() &&
        tokens.expires - std::prev(later)->expires < kMergeWidth) {
      std::prev(later)->count += tokens.count;
    } else {
      groups_.insert(later, tokens);
    }
    size_ += tokens.count;
  }

  void Expire(time_point now) {
    const auto live =
        std::ranges::upper_bound(groups_, now, {}, &repeat_tokens::expires);
    for (auto group = groups_.begin(); group != live; ++group) {
      size_ -= group->count;
    }
    groups_.erase(groups_.begin(), live);
  }

  // Removes up to `count` tokens, the first to expire first.
  std::vector<repeat_tokens> Take(std::uint32_t count) {
    std::vector<repeat_tokens> taken;
    while (count > 0 && !groups_.empty()) {
      repeat_tokens& first = groups_.front();
      const std::uint32_t part = std::min(count, first.count);
      taken.push_back({.count = part, .expires = first.expires});
      Drop(part);
      count -= part;
    }
    return taken;
  }

  // Removes one token; there must be one.
  void TakeOne() { Drop(1); }

  [[nodiscard]] std::uint32_t size() const { return size_; }

 private:
  // Removes `count` of the first group, which has as many.
  void Drop(std::uint32_t count) {
    groups_.front().count -= count;
    size_ -= count;
    if (groups_.front().count == 0) {
      groups_.erase(groups_.begin());
    }
  }

  std::vector<repeat_tokens> groups_;  // By expiry; none is empty.
  std::uint32_t size_ = 0;             // Tokens in `groups_`.
};

}  // namespace pistachioweir
