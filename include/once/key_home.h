// key_home: the home's side of at-most-once execution. Issues keys, starts at
// most one execution for each, sends it to one executor after another until one
// accepts it, and stores its result for the lifetime of the key.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "include/base/ids.h"
#include "include/base/outcome.h"
#include "include/base/time.h"
#include "include/call/envelope.h"
#include "include/once/executor_table.h"
#include "include/once/fingerprint.h"
#include "include/once/guards.h"
#include "include/once/sequence_set.h"
#include "include/retry/credit_ledger.h"

namespace pistachioweir {

struct key_home_options {
  daemon_ref self;
  // This shard issues the sequence numbers that are `shard` modulo `shards`.
  std::uint32_t shard = 0;
  std::uint32_t shards = 1;
  // Maximum number of keys with a record: issued, running or finished.
  std::size_t max_keys = 20000;
  // Of these, the maximum issued to one caller's address and not yet settled.
  std::size_t max_keys_per_caller = 4000;
  // Maximum total size of the answers stored for callers that retry.
  std::size_t max_answer_bytes = 8 << 20;
  // Maximum number of callers that wait for one execution.
  std::size_t max_waiters = 16;
  // Maximum number of times that one attempt is sent to its executor, the first
  // one included. A copy causes no second execution; the limit prevents endless
  // resends to an executor that does not answer.
  std::uint32_t max_sends = 3;
  // Delay before an attempt is resent to an executor whose table is full.
  milliseconds busy_retry_delay{20};
};

// Issued keys, or the reason why there are none.
struct issued_keys {
  std::vector<idempotency_key> keys;
  reason refusal = reason::kNone;  // kDraining or kTableFull.
};

// A request of a caller to execute something under a key.
struct begin_request {
  idempotency_key key;
  request_fingerprint fingerprint;
  waiter_id waiter{};
  // Retries that may be spent for the key. Only the value of the first request
  // counts.
  std::uint32_t retry_credit = 0;
};

// The daemon's next action. Each identifies the key and the attempt that it is
// about, so that it can be carried out without the home's lock.

// Nothing to do: the caller waits, or the event was about a settled attempt.
struct no_action {};

// Choose a target that is not in `tried`, then call Placed() or NotPlaced().
struct place_attempt {
  idempotency_key key;
  std::uint32_t attempt = 0;
  std::vector<vm_id> tried;
};

// Send the call to the daemon of `target` after `delay`, then call
// AttemptAnswered() or AttemptLost().
struct send_attempt {
  execution_binding binding;
  vm_id target;
  std::uint32_t credit = 0;  // Retry credit lent with the call.
  milliseconds delay{0};
};

// Send a cancel, then call CancelAnswered() if it is answered.
struct send_cancel {
  execution_binding binding;
  vm_id target;
};

// Answer `waiters` with the result. With `cancel`, also cancel the attempt,
// which may still run.
struct finish_call {
  idempotency_key key;
  std::vector<waiter_id> waiters;
  outcome result;
  std::optional<send_cancel> cancel;
};

using home_action = std::
    variant<no_action, place_attempt, send_attempt, send_cancel, finish_call>;

struct key_home_counters {
  std::uint64_t issued = 0;
  std::uint64_t issue_refused = 0;
  std::uint64_t started = 0;
  std::uint64_t joined = 0;
  std::uint64_t replayed = 0;
  std::uint64_t resent = 0;
  std::uint64_t moved = 0;
  std::uint64_t unknown = 0;
  std::uint64_t evicted = 0;
  std::uint64_t answers_discarded = 0;
};

// One shard: no lock, no clock. The daemon has several (base/sharded.h),
// issues from shard hash(caller address) and finds a key's shard by
// ShardOf(key).
//
// Only the home may declare a request with a key "not executed". A daemon that
// relays such a request and refuses it can't do so by itself: an earlier copy
// may be in a paused daemon and reach the home later. It asks the home to
// Refuse() the key, and answers unknown if the home can't be reached (guard
// HOME_HAS_LAST_WORD in spec/at_most_once.pml).
template <typename Guards>
class basic_key_home {
 public:
  explicit basic_key_home(const key_home_options& options);

  // Issues `count` keys, or fewer if the limits allow no more. An issued key
  // can start an execution within `lifetime`.
  issued_keys Issue(std::uint32_t count,
                    const std::string& caller,
                    milliseconds lifetime,
                    time_point now);

  // Starts the key's execution, joins it, or returns its result. A different
  // request under the same key is refused with kBadKey; that applies to this
  // request alone, the first one continues.
  home_action Begin(const begin_request& request, time_point now);

  // A daemon refuses the key's request before it began. Settles the key as not
  // executed, unless it has begun: then joins as Begin() does.
  home_action Refuse(const begin_request& request,
                     const outcome& refusal,
                     time_point now);

  // Results of place_attempt.
  home_action Placed(const idempotency_key& key,
                     std::uint32_t attempt,
                     const daemon_ref& target,
                     epoch_id epoch);
  home_action NotPlaced(const idempotency_key& key,
                        std::uint32_t attempt,
                        const outcome& refusal,
                        time_point now);

  // The executor answered a copy of the attempt.
  home_action AttemptAnswered(const idempotency_key& key,
                              std::uint32_t attempt,
                              const answer_envelope& answer,
                              time_point now);

  // The last requested copy was never sent: no connection could be made.
  // Definite if it was the only copy of the attempt.
  home_action AttemptNotSent(const idempotency_key& key,
                             std::uint32_t attempt,
                             time_point now);

  // No answer arrived: the connection was lost, or the try timed out.
  home_action AttemptLost(const idempotency_key& key,
                          std::uint32_t attempt,
                          time_point now);

  home_action CancelAnswered(const idempotency_key& key,
                             std::uint32_t attempt,
                             const answer_envelope& answer,
                             time_point now);

  // The deadline of the execution has passed: all waiters are answered at once.
  home_action DeadlinePassed(const idempotency_key& key, time_point now);

  // A caller disconnected. Cancels the execution if no waiters are left.
  home_action RemoveWaiter(const idempotency_key& key, waiter_id waiter);

  // True if the key's execution is in progress: waiters may still be answered.
  [[nodiscard]] bool IsRunning(const idempotency_key& key) {
    const record_entry* entry = Find(key);
    return entry != nullptr && (entry->second.state == key_state::kPlacing ||
                                entry->second.state == key_state::kSent);
  }

  // Issues no more keys; keys that were already issued keep working.
  void StartDraining() { draining_ = true; }
  // True if draining and no key is left that could still start or that runs.
  // Scans all records.
  [[nodiscard]] bool drained() const;

  // Removes expired keys.
  void Tick(time_point now);

  [[nodiscard]] std::size_t size() const { return records_.size(); }
  [[nodiscard]] std::size_t answer_bytes() const { return answer_bytes_; }
  [[nodiscard]] const key_home_counters& counters() const { return counters_; }

  [[nodiscard]] static std::size_t ShardOf(const idempotency_key& key) {
    return static_cast<std::size_t>(key.sequence);
  }

 private:
  enum class key_state : std::uint8_t {
    kIssued,    // Not begun.
    kPlacing,   // The daemon is choosing a target.
    kSent,      // Bound to an executor; copies of the attempt were sent.
    kGaveUp,    // Callers received unknown; a late result can settle it.
    kFinished,  // `result` is final.
  };

  // State that only a running key needs.
  struct running_execution {
    explicit running_execution(std::uint32_t credit) : ledger(credit) {}

    credit_ledger ledger;
    std::uint32_t attempt = 0;
    // Of this attempt, since a caller last retried.
    std::uint32_t sends = 0;
    bool only_copy = true;  // No other copy of this attempt was ever sent.
    std::uint32_t lent_credit = 0;  // Credit lent with this attempt.
    daemon_ref target;              // With kSent and kGaveUp.
    epoch_id epoch{};
    std::vector<vm_id> tried;  // Targets that definitely did not execute it.
    std::vector<waiter_id> waiters;
  };

  // Number of unsettled keys by the address of the caller they were issued to.
  using caller_map = std::unordered_map<std::string, std::size_t>;

  struct key_record {
    key_state state = key_state::kIssued;
    bool evictable = false;  // If and only if settled_ contains it.
    // Entry of callers_; null if and only if the key was ever settled.
    caller_map::value_type* caller = nullptr;
    time_point expires;
    milliseconds lifetime{0};
    request_fingerprint fingerprint;             // Not with kIssued.
    std::unique_ptr<running_execution> running;  // With kPlacing to kGaveUp.
    std::unique_ptr<outcome> result;             // With kGaveUp and kFinished.
  };

  using record_map = std::unordered_map<std::uint64_t, key_record>;
  using record_entry = typename record_map::value_type;

  struct expiry {
    time_point at;
    std::uint64_t sequence = 0;

    friend bool operator>(const expiry& left, const expiry& right) {
      return left.at > right.at;
    }
  };

  // Number of bits that record whether removed keys had begun: at 20,000 keys
  // in 30 s they cover the last 26 minutes and take 128 KiB, over all shards.
  static constexpr std::size_t kBegunWindow = 1 << 20;

  [[nodiscard]] idempotency_key KeyOf(std::uint64_t sequence) const;
  [[nodiscard]] std::uint64_t IndexOf(std::uint64_t sequence) const;
  record_entry* Find(const idempotency_key& key);
  // Returns the key's record if it is at `attempt` and bound to an executor,
  // else nullptr.
  record_entry* FindSent(const idempotency_key& key, std::uint32_t attempt);

  // Advances the time. Ignores a time that is earlier than the last one.
  void AdvanceTo(time_point now);
  bool EnsureCapacity(std::uint32_t count);
  void Insert(std::uint64_t sequence,
              caller_map::value_type& caller,
              milliseconds lifetime);
  void Erase(std::uint64_t sequence);

  // The outcome to report for a key without a record.
  outcome OutcomeOfMissing(const idempotency_key& key) const;
  static finish_call MakeFinishCall(const begin_request& request,
                                    const outcome& result);
  home_action BeginIssued(record_entry& entry, const begin_request& request);
  home_action Join(record_entry& entry, const begin_request& request);
  home_action ResendForResult(record_entry& entry,
                              const begin_request& request);

  home_action Place(record_entry& entry);
  home_action TryNextTarget(record_entry& entry, const outcome& refusal);
  home_action Resend(record_entry& entry, milliseconds delay, reason why);
  home_action GiveUp(record_entry& entry, reason why, bool cancel);
  home_action Settle(record_entry& entry, const outcome& result);
  void StoreResult(record_entry& entry, const outcome& result);
  void MarkSettled(record_entry& entry);
  void ReleaseCaller(key_record& record);
  void DiscardOldAnswers();
  void CompactQueues();
  [[nodiscard]] execution_binding BindingOf(const record_entry& entry) const;

  key_home_options options_;
  bool draining_ = false;
  time_point now_;  // Never goes backwards.
  record_map records_;
  // Counts are never zero; their sum is the number of records with a caller.
  caller_map callers_;
  // An entry for each record, at its expiry or earlier; the earliest on top.
  std::priority_queue<expiry, std::vector<expiry>, std::greater<>> expiries_;
  // Keys that may be evicted, the least recently settled first. May contain
  // removed keys.
  std::deque<std::uint64_t> settled_;
  // Keys with stored answers, the oldest first. May contain removed keys.
  std::deque<std::uint64_t> answered_;
  // Total size of the answers stored in records_.
  std::size_t answer_bytes_ = 0;
  // Whether a key has ever begun, by IndexOf().
  sequence_set begun_;
  key_home_counters counters_;
};

using key_home = basic_key_home<once_guards>;

}  // namespace pistachioweir
