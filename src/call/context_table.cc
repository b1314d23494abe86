// Serving calls and their tokens.
#include "include/call/context_table.h"

#include <openssl/rand.h>

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <stdexcept>

namespace pistachioweir {
namespace {

constexpr std::size_t kHalfDigits = 16;

std::optional<std::uint64_t> ParseHalf(std::string_view text) {
  const bool lower_case = std::ranges::all_of(text, [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
  });
  std::uint64_t value = 0;
  const auto end = text.data() + text.size();
  const auto [stopped, error] = std::from_chars(text.data(), end, value, 16);
  if (!lower_case || error != std::errc() || stopped != end) {
    return std::nullopt;
  }
  return value;
}

}  // namespace

std::string ToString(const context_token& token) {
  std::array<char, 2 * kHalfDigits + 1> text{};
  std::snprintf(text.data(), text.size(), "%016llx%016llx",
                static_cast<unsigned long long>(token.high),
                static_cast<unsigned long long>(token.low));
  return text.data();
}

std::optional<context_token> ParseContextToken(std::string_view text) {
  if (text.size() != 2 * kHalfDigits) {
    return std::nullopt;
  }
  const auto high = ParseHalf(text.substr(0, kHalfDigits));
  const auto low = ParseHalf(text.substr(kHalfDigits));
  if (!high || !low) {
    return std::nullopt;
  }
  return context_token{.high = *high, .low = *low};
}

context_token NewContextToken() {
  context_token token;
  // OpenSSL's generator is seeded by the operating system and kept per thread.
  if (RAND_bytes(reinterpret_cast<unsigned char*>(&token), sizeof(token)) !=
      1) {
    // Tokens that can be guessed would let a caller borrow another's call.
    throw std::runtime_error("no random numbers");
  }
  return token;
}

bool context_table::Begin(const context_token& token,
                          const serving_call& call) {
  if (calls_.size() >= options_.max_calls) {
    return false;
  }
  return calls_.try_emplace(token, call).second;
}

std::optional<child_call> context_table::BeginChild(
    const context_token& token) {
  const auto found = calls_.find(token);
  if (found == calls_.end() ||
      found->second.open_children >= options_.max_children) {
    return std::nullopt;
  }
  serving_entry& entry = found->second;
  ++entry.open_children;
  return child_call{.deadline = entry.call.deadline,
                    .level = entry.call.level,
                    .ticket = entry.call.ticket,
                    .depth = entry.call.depth + 1,
                    .retry_credit = entry.ledger.Lend(),
                    .bound = entry.call.binding.has_value()};
}

void context_table::EndChild(const context_token& token,
                             const child_call& child,
                             outcome_kind result,
                             std::uint32_t unspent_credit) {
  const auto found = calls_.find(token);
  if (found == calls_.end()) {
    return;
  }
  serving_entry& entry = found->second;
  --entry.open_children;
  // Guard CHILD_RAN in spec/outcome_truth.pml. A target may refuse by itself
  // after a call of its own has run one level down.
  entry.child_ran = entry.child_ran || result != outcome_kind::kNotExecuted;
  entry.ledger.Return(child.retry_credit, unspent_credit);
}

std::optional<idempotency_key> context_table::FindDerivedKey(
    const context_token& token,
    const request_fingerprint& request) const {
  const auto found = calls_.find(token);
  if (found == calls_.end()) {
    return std::nullopt;
  }
  const auto& keys = found->second.keys;
  const auto same = std::ranges::find(keys, request, &derived_key::request);
  if (same == keys.end()) {
    return std::nullopt;
  }
  return same->key;
}

std::optional<idempotency_key> context_table::AdoptDerivedKey(
    const context_token& token,
    const request_fingerprint& request,
    const idempotency_key& fresh) {
  if (auto known = FindDerivedKey(token, request)) {
    return known;
  }
  const auto found = calls_.find(token);
  if (found == calls_.end() ||
      found->second.keys.size() >= options_.max_derived_keys) {
    return std::nullopt;
  }
  found->second.keys.push_back({.request = request, .key = fresh});
  return fresh;
}

std::optional<ended_call> context_table::End(const context_token& token) {
  const auto found = calls_.find(token);
  if (found == calls_.end()) {
    return std::nullopt;
  }
  const serving_entry& entry = found->second;
  const ended_call ended{
      .unspent_credit = entry.ledger.available(),
      // Guard OPEN_CHILD_MAY_RUN in spec/outcome_truth.pml. A child without a
      // result yet may run after this call was answered.
      .child_may_have_run = entry.child_ran || entry.open_children > 0};
  // Guard ENDED_CONTEXT in spec/retry_credit.pml. The unspent credit goes back
  // to the caller now; a target that goes on under this token would spend it a
  // second time.
  calls_.erase(found);
  return ended;
}

const serving_call* context_table::Find(const context_token& token) const {
  const auto found = calls_.find(token);
  return found == calls_.end() ? nullptr : &found->second.call;
}

}  // namespace pistachioweir
