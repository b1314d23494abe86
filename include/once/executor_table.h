// executor_table: the executor's side of at-most-once execution. Keeps a record
// of each attempt that reached this daemon for as long as a copy of it could
// still be accepted, so that a copy joins the first one and never runs on its
// own.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include "include/base/ids.h"
#include "include/base/outcome.h"
#include "include/base/time.h"
#include "include/call/envelope.h"
#include "include/once/guards.h"

namespace pistachioweir {

// Identifies one waiting request of this daemon. Assigned by the daemon.
enum class waiter_id : std::uint64_t {};

struct executor_table_options {
  // The incarnation of this daemon.
  incarnation_id self{};
  // Start of the first epoch on the daemon's clock.
  time_point started;
  // A record is kept for as long as its attempt is acceptable, which is one to
  // two epochs. A longer epoch makes "stale" rarer and costs memory.
  duration epoch_length = seconds(30);
  // Maximum number of records: waiting, running, answered, refused or
  // cancelled.
  std::size_t max_records = 20000;
  // Of these, reserved for cancels, so that a flood of attempts can't prevent a
  // home from confirming that its attempt won't run.
  std::size_t cancel_reserve = 1000;
  // Maximum total size of the answers stored for later copies.
  std::size_t max_answer_bytes = 4 << 20;
  // Maximum number of copies of one attempt that wait for its result.
  std::size_t max_waiters = 8;
};

// How the daemon handles an attempt that arrived.
enum class attempt_step : std::uint8_t {
  kAdmit,   // First copy: admit it, then Start() and Finish() it.
  kWait,    // A copy: answered when the first one finishes.
  kAnswer,  // Answer with `result` now.
};

struct attempt_decision {
  attempt_step step = attempt_step::kAnswer;
  outcome result;  // With kAnswer only.
};

// How the daemon handles a cancel that arrived.
struct cancel_decision {
  // kNotExecuted is definite: the attempt has not run and never will run.
  outcome result;
  // True if the attempt is running: the daemon may ask its target to stop.
  bool running = false;
  // Copies that waited for the attempt, to be answered with `result`.
  std::vector<waiter_id> waiters;
};

struct finished_attempt {
  std::vector<waiter_id> waiters;  // To be answered with `result`.
  outcome result;
};

struct executor_counters {
  std::uint64_t admitted = 0;
  std::uint64_t joined = 0;
  std::uint64_t replayed = 0;
  std::uint64_t busy = 0;
  std::uint64_t stale = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t answers_discarded = 0;
};

// One shard: no lock, no clock. The daemon has several, chosen by
// HashOf(binding), each under its own lock (base/sharded.h).
//
// "Busy" (a full table) and "stale" (an expired epoch, or an attempt for
// another incarnation) are kUnknown with kTableFull and kStale: an earlier copy
// of the attempt may have run. A daemon must not answer a bound attempt with a
// kNotExecuted of its own that did not pass through Accept() and Finish(): only
// these leave the tombstone that makes it true for later copies.
template <typename Guards>
class basic_executor_table {
 public:
  explicit basic_executor_table(const executor_table_options& options);

  // An attempt arrived. Each kAdmit must eventually be followed by Finish().
  attempt_decision Accept(const execution_binding& attempt,
                          waiter_id waiter,
                          time_point now);

  // Call immediately before the request is sent to the target. Returns false if
  // the attempt was cancelled first: the request must not be sent and is
  // already finished.
  [[nodiscard]] bool Start(const execution_binding& attempt);

  // Stores the result of an admitted attempt for later copies: the target's
  // result, or kNotExecuted if the attempt was refused before it reached the
  // target. Returns no waiters if a cancel came first.
  finished_attempt Finish(const execution_binding& attempt,
                          const outcome& result,
                          time_point now);

  // The home cancels the attempt. Leaves a tombstone if there is no record.
  cancel_decision Cancel(const execution_binding& attempt, time_point now);

  // Removes the records that no copy can reach any more.
  void Tick(time_point now);

  [[nodiscard]] epoch_id epoch() const { return epoch_; }
  [[nodiscard]] std::size_t size() const { return records_.size(); }
  [[nodiscard]] std::size_t answer_bytes() const { return answer_bytes_; }
  [[nodiscard]] const executor_counters& counters() const { return counters_; }

  [[nodiscard]] static std::size_t HashOf(const execution_binding& attempt);

 private:
  // The VM's name isn't needed: incarnations are unique in the fleet.
  struct record_key {
    incarnation_id home{};
    std::uint64_t sequence = 0;
    std::uint32_t attempt = 0;

    friend bool operator==(const record_key&, const record_key&) = default;
  };

  struct record_key_hash {
    std::size_t operator()(const record_key& key) const;
  };

  enum class record_state : std::uint8_t { kWaiting, kRunning, kFinished };

  struct record {
    record_state state = record_state::kWaiting;
    std::vector<waiter_id> waiters;
    outcome result;  // With kFinished only.
  };

  using record_map = std::unordered_map<record_key, record, record_key_hash>;

  static record_key KeyOf(const execution_binding& attempt);

  // Advances the epoch. Ignores a time that is earlier than the last one.
  void AdvanceTo(time_point now);
  // Return true, and count it as stale, if this table can't determine whether
  // the attempt has run.
  bool IsForOtherIncarnation(const execution_binding& attempt);
  bool IsEpochExpired(const execution_binding& attempt);
  [[nodiscard]] bool IsAcceptable(epoch_id epoch) const;
  record& Insert(const record_key& key);
  void StoreResult(const record_key& key, record& entry, const outcome& result);
  void EraseRecord(const record_key& key);
  void DiscardOldAnswers();
  void DropOldestEpoch();

  executor_table_options options_;
  epoch_id epoch_{1};
  record_map records_;
  // Records by the epoch in which they were created or last retained, the
  // oldest epoch first. An attempt names that epoch or an older one, so it
  // stops being acceptable before its record is removed. The key of each record
  // is in exactly one entry.
  struct epoch_records {
    epoch_id epoch{};
    std::vector<record_key> keys;
  };
  std::deque<epoch_records> by_epoch_;
  // Finished records with a stored answer, the oldest first. May contain keys
  // of removed records.
  std::deque<record_key> answered_;
  // Total size of the answers stored in records_.
  std::size_t answer_bytes_ = 0;
  executor_counters counters_;
};

using executor_table = basic_executor_table<once_guards>;

}  // namespace pistachioweir
