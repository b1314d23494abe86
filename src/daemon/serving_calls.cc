// Context tables in shards, with the time that calls wait for others.
#include "src/daemon/serving_calls.h"

namespace pistachioweir {
namespace {

constexpr std::size_t kShards = 16;

}  // namespace

serving_calls::serving_calls()
    : shards_(kShards, [](std::size_t /*shard*/) {
        context_table_options options;
        options.max_calls /= kShards;
        return shard{.contexts = context_table(options), .times = {}};
      }) {}

std::optional<context_token> serving_calls::Open(const serving_call& call,
                                                 std::uint32_t method) {
  const context_token token = NewContextToken();
  const bool opened =
      shards_.With(context_table::HashOf(token), [&](shard& chosen) {
        if (!chosen.contexts.Begin(token, call)) {
          return false;
        }
        chosen.times[token.low] = {.method = method};
        return true;
      });
  if (!opened) {
    return std::nullopt;
  }
  return token;
}

serving_summary serving_calls::Close(const context_token& token) {
  return shards_.With(context_table::HashOf(token), [&](shard& chosen) {
    const auto ended = chosen.contexts.End(token);
    if (!ended) {
      return serving_summary{};
    }
    const duration downstream = chosen.times[token.low].downstream;
    chosen.times.erase(token.low);
    return serving_summary{.child_may_have_run = ended->child_may_have_run,
                           .unspent_credit = ended->unspent_credit,
                           .downstream = downstream};
  });
}

std::optional<started_child> serving_calls::BeginChild(
    const context_token& token) {
  return shards_.With(context_table::HashOf(token),
                      [&](shard& chosen) -> std::optional<started_child> {
                        const auto given = chosen.contexts.BeginChild(token);
                        if (!given) {
                          return std::nullopt;
                        }
                        return started_child{
                            .given = *given,
                            .parent_method = chosen.times[token.low].method};
                      });
}

void serving_calls::EndChild(const context_token& token,
                             const started_child& child,
                             outcome_kind result,
                             std::uint32_t unspent_credit,
                             duration waited) {
  shards_.With(context_table::HashOf(token), [&](shard& chosen) {
    chosen.contexts.EndChild(token, child.given, result, unspent_credit);
    const auto found = chosen.times.find(token.low);
    if (found != chosen.times.end()) {
      found->second.downstream += waited;
    }
  });
}

std::optional<idempotency_key> serving_calls::FindDerivedKey(
    const context_token& token,
    const request_fingerprint& request) {
  return shards_.With(context_table::HashOf(token), [&](shard& chosen) {
    return chosen.contexts.FindDerivedKey(token, request);
  });
}

std::optional<idempotency_key> serving_calls::AdoptDerivedKey(
    const context_token& token,
    const request_fingerprint& request,
    const idempotency_key& fresh) {
  return shards_.With(context_table::HashOf(token), [&](shard& chosen) {
    return chosen.contexts.AdoptDerivedKey(token, request, fresh);
  });
}

}  // namespace pistachioweir
