// context_table: the calls that one daemon is serving, found by the token that
// their target repeats on the calls it makes. What a call may pass on, its
// deadline, priority and retry credit, comes from here and never from the
// target or from a caller.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "include/base/outcome.h"
#include "include/base/priority.h"
#include "include/base/time.h"
#include "include/call/envelope.h"
#include "include/once/fingerprint.h"
#include "include/retry/credit_ledger.h"

namespace pistachioweir {

// 128 random bits: names one serving call, and can't be guessed. As text, 32
// hexadecimal digits.
struct context_token {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  friend auto operator<=>(const context_token&, const context_token&) = default;
};

[[nodiscard]] std::string ToString(const context_token& token);
// Nothing if `text` isn't exactly what ToString() gives.
[[nodiscard]] std::optional<context_token> ParseContextToken(
    std::string_view text);
// Draws from the operating system's random source, from a buffer of the calling
// thread.
[[nodiscard]] context_token NewContextToken();

// What a serving call passes on to the calls below it.
struct serving_call {
  std::string service;
  std::string method;
  time_point deadline;
  priority level = priority::kNormal;
  std::uint8_t ticket = 0;
  std::uint32_t depth = 0;
  std::uint32_t retry_credit = 0;
  // Set if the call itself is at-most-once.
  std::optional<execution_binding> binding;
};

// What one child call was given.
struct child_call {
  time_point deadline;
  priority level = priority::kNormal;
  std::uint8_t ticket = 0;
  std::uint32_t depth = 0;         // One below the serving call.
  std::uint32_t retry_credit = 0;  // Lent; goes back by EndChild().
  // Whether the serving call itself runs at most once. Only then may it make an
  // at-most-once call: a call that is tried twice has two contexts, and a key
  // would be derived from each.
  bool bound = false;
};

// What is left when a serving call ends.
struct ended_call {
  // Goes back to the caller with the answer. Credit that children still hold
  // isn't in it.
  std::uint32_t unspent_credit = 0;
  // True if a child call ran, or may have. Then a refusal of the target's own
  // isn't "not executed": something did run, one level down.
  bool child_may_have_run = false;
};

struct context_table_options {
  // Calls being served; each holds a slot or a queue place already, so this
  // only bounds what a fault elsewhere could leave behind.
  std::size_t max_calls = 20000;
  // Different at-most-once calls that one serving call may make.
  std::size_t max_derived_keys = 64;
  // Child calls under way from one serving call.
  std::uint32_t max_children = 256;
};

// One shard: no lock, no clock. The daemon holds several, chosen by
// HashOf(token), each under its own lock (base/sharded.h). Entries end with the
// call; a new start of the daemon begins empty and so refuses the tokens of the
// one before.
//
// A token that isn't known is kNotExecuted/kUnknownContext for a method that
// may be repeated. For an at-most-once method it is unknown: the token may
// belong to a call that has ended, whose own child ran.
class context_table {
 public:
  explicit context_table(const context_table_options& options)
      : options_(options) {}

  // The call is about to go to the target. False if the table is full: refuse
  // the call with kTableFull, nothing has run.
  [[nodiscard]] bool Begin(const context_token& token,
                           const serving_call& call);

  // The target makes a call. Nothing if the token isn't known, or if the
  // serving call has too many children. Must be followed by EndChild().
  std::optional<child_call> BeginChild(const context_token& token);

  // The result of a child call, and what came back of its credit. A call that
  // ended first has lost the credit; then this does nothing.
  void EndChild(const context_token& token,
                const child_call& child,
                outcome_kind result,
                std::uint32_t unspent_credit);

  // The key under which a child call was made before, if it was.
  [[nodiscard]] std::optional<idempotency_key> FindDerivedKey(
      const context_token& token,
      const request_fingerprint& request) const;

  // Makes `fresh` the key of that child call, unless it has one: the first one
  // stays and is returned. Nothing if the token isn't known or the call has too
  // many keys. `fresh` comes from this daemon's key_home.
  std::optional<idempotency_key> AdoptDerivedKey(
      const context_token& token,
      const request_fingerprint& request,
      const idempotency_key& fresh);

  // The call is over. Nothing if the token isn't known.
  std::optional<ended_call> End(const context_token& token);

  [[nodiscard]] const serving_call* Find(const context_token& token) const;
  [[nodiscard]] std::size_t size() const { return calls_.size(); }

  [[nodiscard]] static std::size_t HashOf(const context_token& token) {
    return static_cast<std::size_t>(token.low);
  }

 private:
  struct derived_key {
    request_fingerprint request;
    idempotency_key key;
  };

  struct serving_entry {
    explicit serving_entry(const serving_call& served)
        : call(served), ledger(served.retry_credit) {}

    serving_call call;
    credit_ledger ledger;
    std::uint32_t open_children = 0;
    bool child_ran = false;  // Or may have.
    std::vector<derived_key> keys;
  };

  // Tokens are random already.
  struct token_hash {
    std::size_t operator()(const context_token& token) const {
      return static_cast<std::size_t>(token.high);
    }
  };

  context_table_options options_;
  std::unordered_map<context_token, serving_entry, token_hash> calls_;
};

}  // namespace pistachioweir
