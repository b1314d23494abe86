// retry_ratio: bounds a daemon's retries towards one service to a fraction of
// its first attempts.
//
// For a service that fails for all callers at once: every call is then retried,
// and the load on the failing service grows when it can least handle it. The
// ratio limits that growth to a tenth, whatever credit each single call has
// left. The owner keeps one per called service under its own lock.
#pragma once

#include <algorithm>
#include <cstdint>

namespace pistachioweir {

struct retry_ratio_options {
  // Tokens that a first attempt earns; a retry costs one.
  double ratio = 0.1;
  // Maximum number of saved tokens: a burst of retries after a quiet period, as
  // when one target fails with its calls in progress.
  double max_tokens = 20;
};

class retry_ratio {
 public:
  explicit retry_ratio(const retry_ratio_options& options = {})
      : options_(options), tokens_(options.max_tokens) {}

  void OnFirstTry() {
    tokens_ = std::min(options_.max_tokens, tokens_ + options_.ratio);
  }

  // Takes a token. Returns false if there is none: the retry must not be made.
  bool TrySpend() {
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

  [[nodiscard]] double tokens() const { return tokens_; }

 private:
  retry_ratio_options options_;
  double tokens_;  // Between 0 and max_tokens.
};

}  // namespace pistachioweir
