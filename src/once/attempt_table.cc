// Attempt records by sender.
#include "include/once/attempt_table.h"

#include <utility>

namespace pistachioweir {
namespace {

std::uint64_t KeyOf(incarnation_id sender) {
  return static_cast<std::uint64_t>(sender);
}

}  // namespace

// Guards SETTLED_BELOW and ATTEMPT_DEDUP in spec/peer_attempts.pml.
attempt_verdict attempt_table::Begin(const attempt_key& attempt) {
  sender& owner = senders_[KeyOf(attempt.sender)];
  if (attempt.number < owner.settled_below) {
    return attempt_verdict::kRefused;
  }
  const auto [found, added] = owner.records.try_emplace(attempt.number);
  if (added) {
    return attempt_verdict::kStart;
  }
  switch (found->second.state) {
    case progress::kRunning:
      return attempt_verdict::kRunning;
    case progress::kFinished:
      return attempt_verdict::kFinished;
    case progress::kRefused:
      break;
  }
  return attempt_verdict::kRefused;
}

// Guard ASK_TOMBSTONE in spec/peer_attempts.pml: an attempt that is reported as
// not run must not start when its bytes arrive later.
attempt_verdict attempt_table::Query(const attempt_key& attempt) {
  const attempt_verdict verdict = Begin(attempt);
  if (verdict != attempt_verdict::kStart) {
    return verdict;
  }
  senders_[KeyOf(attempt.sender)].records[attempt.number].state =
      progress::kRefused;
  return attempt_verdict::kRefused;
}

bool attempt_table::Finish(const attempt_key& attempt, stored_answer answer) {
  const auto owner = senders_.find(KeyOf(attempt.sender));
  if (owner == senders_.end()) {
    return false;
  }
  const auto found = owner->second.records.find(attempt.number);
  if (found == owner->second.records.end() ||
      found->second.state != progress::kRunning) {
    return false;
  }
  bytes_ += answer->size();
  found->second = {.state = progress::kFinished, .answer = std::move(answer)};
  return true;
}

attempt_table::stored_answer attempt_table::AnswerOf(
    const attempt_key& attempt) const {
  const auto owner = senders_.find(KeyOf(attempt.sender));
  if (owner == senders_.end()) {
    return nullptr;
  }
  const auto found = owner->second.records.find(attempt.number);
  return found == owner->second.records.end() ? nullptr : found->second.answer;
}

void attempt_table::ReleaseAnswer(const record& released) {
  if (released.answer != nullptr) {
    bytes_ -= released.answer->size();
  }
}

void attempt_table::Settle(incarnation_id from, std::uint64_t number) {
  sender& settled = senders_[KeyOf(from)];
  if (number <= settled.settled_below) {
    return;
  }
  settled.settled_below = number;
  const auto end = settled.records.lower_bound(number);
  for (auto found = settled.records.begin(); found != end; ++found) {
    ReleaseAnswer(found->second);
  }
  settled.records.erase(settled.records.begin(), end);
}

void attempt_table::OnConnected(incarnation_id from) {
  senders_[KeyOf(from)].connected = true;
}

void attempt_table::OnDisconnected(incarnation_id from, time_point now) {
  const auto found = senders_.find(KeyOf(from));
  if (found != senders_.end()) {
    found->second.connected = false;
    found->second.disconnected_at = now;
  }
}

void attempt_table::Expire(time_point now) {
  std::erase_if(senders_, [&](const auto& entry) {
    const sender& owner = entry.second;
    if (owner.connected || now - owner.disconnected_at < kRetention) {
      return false;
    }
    for (const auto& [number, expired] : owner.records) {
      ReleaseAnswer(expired);
    }
    return true;
  });
}

}  // namespace pistachioweir
