// once_network: simulates callers, relaying daemons, one home and three
// executors of the real protocol classes, connected by a network that loses,
// duplicates, delays and reorders messages. A schedule of steps determines what
// happens; after each step the invariants are checked against what the targets
// ran and which outcomes the callers received.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <ostream>
#include <string>
#include <variant>
#include <vector>

#include "include/once/executor_table.h"
#include "include/once/fingerprint.h"
#include "include/once/key_home.h"

namespace pistachioweir {

enum class network_op : std::uint8_t {
  kNewRequest,
  kResend,
  kReuseKey,
  kRelayRefuses,
  kDeliver,
  kDeliverAndKeep,
  kDrop,
  kStartQueued,
  kRefuseQueued,
  kFinishRunning,
  kCrashTarget,
  kLoseAttempt,
  kPassDeadline,
  kDisconnectCaller,
  kAdvanceClock,
  kRestartExecutor,
  kRestartHome,
  kPause,
  kPartition,
  kCount,
};

struct network_step {
  network_op op = network_op::kDeliver;
  std::uint32_t pick = 0;  // Selects the message, request or daemon.
  std::uint32_t bits = 0;  // Further choices.
};

// Prints a step of a failed schedule; RapidCheck finds this function by its
// name.
inline void showValue(const network_step& step, std::ostream& out) {
  out << "{" << static_cast<int>(step.op) << ", " << step.pick << ", "
      << step.bits << "}";
}

// Events that a run reached, to show that the schedules cover what they are
// meant to test.
struct network_coverage {
  std::uint64_t completed = 0;
  std::uint64_t not_executed = 0;
  std::uint64_t unknown = 0;
  std::uint64_t moved = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t joined = 0;
  std::uint64_t busy = 0;
  std::uint64_t stale = 0;
  std::uint64_t evicted = 0;
  std::uint64_t discarded = 0;
};

// `Guards` is once_guards, or has one disabled; it also has kHomeHasLastWord,
// the guard of the relaying daemons.
template <typename Guards>
class once_network {
 public:
  once_network() {
    StartHome();
    for (std::size_t i = 0; i < kExecutors; ++i) {
      StartExecutor(i);
    }
  }

  void Run(const network_step& step);

  // The first violated invariant, if any.
  [[nodiscard]] const std::optional<std::string>& violation() const {
    return violation_;
  }
  [[nodiscard]] network_coverage coverage() const;

 private:
  static constexpr std::size_t kExecutors = 3;
  static constexpr std::uint32_t kCredit = 2;
  static constexpr std::size_t kMaxRequests = 1000;
  static constexpr milliseconds kLifetime{20000};

  // A request of a caller, under one key.
  struct request {
    idempotency_key key;
    std::string body;
    std::uint32_t ran = 0;
    bool reported_completed = false;
    bool reported_not_executed = false;
  };

  struct caller_message {
    std::size_t request = 0;
    bool refused = false;  // A relaying daemon asks the home to refuse it.
  };
  struct attempt_message {
    execution_binding binding;
    std::size_t executor = 0;
    std::size_t request = 0;
  };
  struct cancel_message {
    execution_binding binding;
    std::size_t executor = 0;
  };
  struct answer_message {
    idempotency_key key;
    std::uint32_t attempt = 0;
    std::size_t executor = 0;
    answer_envelope answer;
    bool to_cancel = false;
  };
  using message = std::
      variant<caller_message, attempt_message, cancel_message, answer_message>;

  struct admitted_attempt {
    execution_binding binding;
    std::size_t request = 0;
  };
  struct executor {
    incarnation_id self{};
    std::optional<basic_executor_table<Guards>> table;
    std::vector<admitted_attempt> queue;
    std::vector<admitted_attempt> running;
    bool paused = false;
    bool partitioned = false;  // Partitioned from the home.
    // The state of the executor as last received by the home.
    incarnation_id known_incarnation{};
    epoch_id known_epoch{};
  };

  // Mostly the current time; sometimes an earlier one, as read by a thread that
  // was preempted.
  [[nodiscard]] time_point Now(std::uint32_t bits) const {
    return bits % 8 == 0 ? now_ - seconds(bits % 30) : now_;
  }

  void StartHome();
  void StartExecutor(std::size_t index);
  void NewRequest(std::uint32_t bits);
  void SendCopy(const network_step& step, bool refused);
  void ReuseKey(const network_step& step);
  void RelayRefuses(const network_step& step);
  void Deliver(const network_step& step, bool keep);
  [[nodiscard]] bool IsBlocked(const message& sent) const;
  void Receive(const caller_message& received, std::uint32_t bits);
  void Receive(const attempt_message& received, std::uint32_t bits);
  void Receive(const cancel_message& received, std::uint32_t bits);
  void Receive(const answer_message& received, std::uint32_t bits);
  void Answer(const attempt_message& to, const outcome& result);
  void FinishAdmitted(std::size_t index,
                      const admitted_attempt& attempt,
                      const outcome& result);
  void StartQueued(const network_step& step);
  void RefuseQueued(const network_step& step);
  void FinishRunning(const network_step& step, bool crash);
  void ChooseKeyEvent(const network_step& step);
  void DisconnectCaller(const idempotency_key& key);
  void Execute(const home_action& action, std::uint32_t bits);
  void Place(const place_attempt& place, std::uint32_t bits);
  void Send(const send_attempt& send);
  void FinishCall(const finish_call& finish);
  void ReportOutcome(std::size_t index, const outcome& result);
  void Check(std::size_t index);
  std::size_t IndexOf(const vm_id& vm) const {
    return static_cast<std::size_t>(vm.back() - '0');
  }

  time_point now_ = time_point(seconds(1000));
  std::uint64_t last_incarnation_ = 0;
  std::uint64_t last_waiter_ = 0;
  std::optional<basic_key_home<Guards>> home_;
  std::array<executor, kExecutors> executors_;
  std::vector<request> requests_;
  std::vector<message> network_;
  // Callers that wait at the current home or at an executor.
  std::map<std::uint64_t, std::size_t> waiting_requests_;
  std::map<std::uint64_t, attempt_message> waiting_attempts_;
  // The request that the home began for a key, and its current attempt.
  std::map<idempotency_key, std::size_t> begun_;
  std::map<idempotency_key, std::uint32_t> attempts_;
  std::optional<std::string> violation_;
  network_coverage coverage_;
};

}  // namespace pistachioweir
