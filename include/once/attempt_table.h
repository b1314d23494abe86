// attempt_table: what the daemon beside a target remembers of the attempts that
// other daemons sent it, so that each runs at most once however often it comes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "include/base/enum_table.h"
#include "include/base/ids.h"
#include "include/base/time.h"

namespace pistachioweir {

// Names one attempt: the start of the daemon that sends it, and that daemon's
// own count.
struct attempt_key {
  incarnation_id sender{};
  std::uint64_t number = 0;
};

// What is to be done with an attempt that came, or was asked about.
enum class attempt_verdict : std::uint8_t {
  kStart,     // New: run it.
  kRunning,   // Came before and isn't finished; its answer follows.
  kFinished,  // Came before; the answer is here.
  kRefused,   // Must not run here, now or later, and has not.
};

inline constexpr enum_table<attempt_verdict, 4> kAttemptVerdictNames(
    {"start", "running", "finished", "refused"});

// Made for connections between daemons that are reset or fall silent behind a
// request. The sender can't know whether it arrived: to send it again might run
// it twice, and to give it up loses it. So it asks over a new connection. An
// attempt that is known here is never started again; one that is not known is
// refused from then on, so that it can't run when its bytes arrive late, and
// the sender may truthfully be told that it didn't run.
//
// Nothing here outlives the process. A sender that meets another incarnation of
// this daemon must take its attempts as unknown.
//
// Pure logic; the owner keeps it under its own lock.
class attempt_table {
 public:
  using stored_answer = std::shared_ptr<const std::string>;

  // An attempt came. Never kStart twice for one key.
  attempt_verdict Begin(const attempt_key& attempt);
  // Its sender asks what became of it. Never kStart.
  attempt_verdict Query(const attempt_key& attempt);
  // The attempt has its answer, which is kept until the sender has settled it.
  // False if nobody will ask for it any more.
  bool Finish(const attempt_key& attempt, stored_answer answer);
  // The answer of an attempt that is kFinished, else nullptr.
  [[nodiscard]] stored_answer AnswerOf(const attempt_key& attempt) const;

  // The sender has an answer to all its attempts below `number` and will not
  // ask for them. Whatever of them comes later is refused.
  void Settle(incarnation_id sender, std::uint64_t number);

  // The last connection of this sender has ended at `now`; a new one came.
  void OnDisconnected(incarnation_id sender, time_point now);
  void OnConnected(incarnation_id sender);
  // Forgets senders that have had no connection for kRetention. Attempts come
  // over connections only, so none of theirs can arrive any more.
  void Expire(time_point now);

  [[nodiscard]] std::size_t senders() const { return senders_.size(); }
  // Bytes of the answers that are kept.
  [[nodiscard]] std::size_t bytes() const { return bytes_; }

  // Longer than a sender tries to come back for an answer: no caller waits
  // longer than its deadline, of seconds.
  static constexpr milliseconds kRetention{30000};

 private:
  enum class progress : std::uint8_t { kRunning, kFinished, kRefused };

  struct record {
    progress state = progress::kRunning;
    stored_answer answer;  // Only if finished.
  };

  struct sender {
    std::uint64_t settled_below = 0;
    std::map<std::uint64_t, record> records;  // None below settled_below.
    bool connected = true;
    time_point disconnected_at;
  };

  void ReleaseAnswer(const record& dropped);

  std::unordered_map<std::uint64_t, sender> senders_;  // By incarnation.
  std::size_t bytes_ = 0;
};

}  // namespace pistachioweir
