// Records of attempts by sender.
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
  sender& from = senders_[KeyOf(attempt.sender)];
  if (attempt.number < from.settled_below) {
    return attempt_verdict::kRefused;
  }
  const auto [place, added] = from.records.try_emplace(attempt.number);
  if (added) {
    return attempt_verdict::kStart;
  }
  switch (place->second.state) {
    case progress::kRunning:
      return attempt_verdict::kRunning;
    case progress::kFinished:
      return attempt_verdict::kFinished;
    case progress::kRefused:
      break;
  }
  return attempt_verdict::kRefused;
}

// Guard ASK_TOMBSTONE in spec/peer_attempts.pml: what is denied here must not
// start when its bytes arrive later.
attempt_verdict attempt_table::Ask(const attempt_key& attempt) {
  const attempt_verdict verdict = Begin(attempt);
  if (verdict != attempt_verdict::kStart) {
    return verdict;
  }
  senders_[KeyOf(attempt.sender)].records[attempt.number].state =
      progress::kRefused;
  return attempt_verdict::kRefused;
}

bool attempt_table::Finish(const attempt_key& attempt, stored_answer answer) {
  const auto from = senders_.find(KeyOf(attempt.sender));
  if (from == senders_.end()) {
    return false;
  }
  const auto place = from->second.records.find(attempt.number);
  if (place == from->second.records.end() ||
      place->second.state != progress::kRunning) {
    return false;
  }
  bytes_ += answer->size();
  place->second = {.state = progress::kFinished, .answer = std::move(answer)};
  return true;
}

attempt_table::stored_answer attempt_table::AnswerOf(
    const attempt_key& attempt) const {
  const auto from = senders_.find(KeyOf(attempt.sender));
  if (from == senders_.end()) {
    return nullptr;
  }
  const auto place = from->second.records.find(attempt.number);
  return place == from->second.records.end() ? nullptr : place->second.answer;
}

void attempt_table::Drop(const record& dropped) {
  if (dropped.answer != nullptr) {
    bytes_ -= dropped.answer->size();
  }
}

void attempt_table::Settle(incarnation_id from, std::uint64_t number) {
  sender& settled = senders_[KeyOf(from)];
  if (number <= settled.settled_below) {
    return;
  }
  settled.settled_below = number;
  const auto end = settled.records.lower_bound(number);
  for (auto place = settled.records.begin(); place != end; ++place) {
    Drop(place->second);
  }
  settled.records.erase(settled.records.begin(), end);
}

void attempt_table::OnConnected(incarnation_id from) {
  senders_[KeyOf(from)].connected = true;
}

void attempt_table::OnDisconnected(incarnation_id from, time_point now) {
  const auto place = senders_.find(KeyOf(from));
  if (place != senders_.end()) {
    place->second.connected = false;
    place->second.disconnected_at = now;
  }
}

void attempt_table::Expire(time_point now) {
  std::erase_if(senders_, [&](const auto& entry) {
    const sender& from = entry.second;
    if (from.connected || now - from.disconnected_at < kRetention) {
      return false;
    }
    for (const auto& [number, kept] : from.records) {
      Drop(kept);
    }
    return true;
  });
}

}  // namespace pistachioweir
