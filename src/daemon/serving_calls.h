// serving_calls: the calls that the target beside this daemon runs right now,
// as the calls that it makes meanwhile need to see them.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

#include "include/base/sharded.h"
#include "include/base/time.h"
#include "include/call/context_table.h"

namespace pistachioweir {

struct serving_summary {
  bool child_may_have_run = false;
  std::uint32_t unspent_credit = 0;
  duration downstream{0};  // Time spent waiting for calls to other services.
};

// A child call with the serving call's method, as an index in the manifest.
struct started_child {
  child_call given;
  std::uint32_t parent_method = 0;
};

// Owns the context tables. Thread-safe; each operation locks one shard.
class serving_calls {
 public:
  serving_calls();

  // The token to give to the target; nothing if the tables are full.
  std::optional<context_token> Open(const serving_call& call,
                                    std::uint32_t method);
  serving_summary Close(const context_token& token);

  // Nothing if the token names no call that is served here right now.
  std::optional<started_child> BeginChild(const context_token& token);
  void EndChild(const context_token& token,
                const started_child& child,
                outcome_kind result,
                std::uint32_t unspent_credit,
                duration waited);

  // The key under which the serving call made this child call before.
  std::optional<idempotency_key> FindDerivedKey(
      const context_token& token,
      const request_fingerprint& request);
  // See context_table.
  std::optional<idempotency_key> AdoptDerivedKey(
      const context_token& token,
      const request_fingerprint& request,
      const idempotency_key& fresh);

 private:
  struct waiting_time {
    std::uint32_t method = 0;
    duration downstream{0};
  };

  struct shard {
    context_table contexts;
    // One entry for each call in `contexts`, by the token's lower half.
    std::unordered_map<std::uint64_t, waiting_time> times;
  };

  sharded<shard> shards_;
};

}  // namespace pistachioweir
