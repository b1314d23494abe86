// retry_ratio: bounds a daemon's retries towards one service to a share of its
// first tries.
//
// Made for a service that fails for everyone at once: every call then wants its
// retries, and the load on the failing service grows just when it can't bear
// it. The share keeps that growth to a tenth, whatever each single call may
// still spend. The owner keeps one per called service under its own lock.
#pragma once

#include <algorithm>
#include <cstdint>

namespace pistachioweir {

struct retry_ratio_options {
  // Tokens that a first try earns; a retry costs one.
  double ratio = 0.1;
  // Most tokens that can be saved up: a burst of retries after a quiet time,
  // as when one target dies with its calls in progress.
  double max_tokens = 20;
};

class retry_ratio {
 public:
  explicit retry_ratio(const retry_ratio_options& options = {})
      : options_(options), tokens_(options.max_tokens) {}

  void OnFirstTry() {
    tokens_ = std::min(options_.max_tokens, tokens_ + options_.ratio);
  }

  // Takes a token. False if there is none: the retry must not be made.
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
