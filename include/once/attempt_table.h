// attempt_table: records the attempts that other daemons sent to the daemon
// beside a target, so that each runs at most once however often it arrives.
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

// Identifies one attempt: the incarnation of the daemon that sends it, and a
// sequence number of that daemon.
struct attempt_key {
  incarnation_id sender{};
  std::uint64_t number = 0;
};

// How to handle an attempt that arrived or that its sender queried.
enum class attempt_verdict : std::uint8_t {
  kStart,     // New: run it.
  kRunning,   // A duplicate; not finished, its answer follows.
  kFinished,  // A duplicate; the answer is available.
  kRefused,   // Has not run here and never will.
};

inline constexpr enum_table<attempt_verdict, 4> kAttemptVerdictNames(
    {"start", "running", "finished", "refused"});

// Handles connections between daemons that are reset or stall after a request
// was sent. The sender can't know whether it arrived: resending it might run it
// twice, and dropping it might lose it. So the sender queries it over a new
// connection. An attempt with a record is never started again. An attempt
// without one is refused from then on, so that it can't run if its bytes arrive
// late and the answer "not executed" is true.
//
// Records do not outlive the process. A sender that connects to another
// incarnation of this daemon must treat the outcome of its attempts as unknown.
//
// No I/O and no locking; the owner synchronises access.
class attempt_table {
 public:
  using stored_answer = std::shared_ptr<const std::string>;

  // An attempt arrived. Returns kStart at most once for each key.
  attempt_verdict Begin(const attempt_key& attempt);
  // The sender queries the state of an attempt. Never returns kStart.
  attempt_verdict Query(const attempt_key& attempt);
  // Stores the answer of the attempt until its sender settles it. Returns false
  // if the sender will not query it again.
  bool Finish(const attempt_key& attempt, stored_answer answer);
  // Returns the answer of an attempt that is kFinished, else nullptr.
  [[nodiscard]] stored_answer AnswerOf(const attempt_key& attempt) const;

  // The sender has an answer to each of its attempts below `number` and will
  // not query them again. Copies of these that arrive later are refused.
  void Settle(incarnation_id sender, std::uint64_t number);

  // The sender's last connection closed at `now`, or a new one opened.
  void OnDisconnected(incarnation_id sender, time_point now);
  void OnConnected(incarnation_id sender);
  // Removes senders that have had no connection for kRetention. Attempts arrive
  // over connections only, so no more of theirs can arrive.
  void Expire(time_point now);

  [[nodiscard]] std::size_t senders() const { return senders_.size(); }
  // Total size of the stored answers.
  [[nodiscard]] std::size_t bytes() const { return bytes_; }

  // Longer than a sender tries to fetch an answer: no caller waits beyond its
  // deadline, which is a matter of seconds.
  static constexpr milliseconds kRetention{30000};

 private:
  enum class progress : std::uint8_t { kRunning, kFinished, kRefused };

  struct record {
    progress state = progress::kRunning;
    stored_answer answer;  // Only with kFinished.
  };

  struct sender {
    std::uint64_t settled_below = 0;
    std::map<std::uint64_t, record> records;  // None below settled_below.
    bool connected = true;
    time_point disconnected_at;
  };

  void ReleaseAnswer(const record& released);

  std::unordered_map<std::uint64_t, sender> senders_;  // By incarnation.
  std::size_t bytes_ = 0;
};

}  // namespace pistachioweir
