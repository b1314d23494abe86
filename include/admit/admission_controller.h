// admission_controller: decides for one target which requests run now, which
// are queued and which are refused.
//
// Pure logic: no I/O and no threads; time and random bits are arguments. The
// owner keeps one per target under its own lock, reports every request that
// arrives and ends, and carries out what TakeNext() returns. For demand above
// the target's capacity: it keeps the target at its most effective concurrency
// and the queue no longer than deadlines allow, and refuses the least important
// requests first, at once and with a retry delay.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

#include "include/admit/admission_level.h"
#include "include/admit/admission_rank.h"
#include "include/admit/concurrency_limit.h"
#include "include/admit/rate_limit.h"
#include "include/admit/service_time.h"
#include "include/base/outcome.h"
#include "include/base/priority.h"
#include "include/base/time.h"

namespace pistachioweir {

struct admission_options {
  // Maximum number of concurrent requests, from the manifest.
  std::uint32_t slots = 1;
  // Methods of the service; a request names its method by index.
  std::uint32_t methods = 1;
  // Maximum queue length. Bounds memory; deadlines bound the wait long before.
  std::uint32_t max_queue = 1024;
  // Whether the concurrency limit adapts to latency; otherwise it is `slots`.
  bool adaptive_limit = true;
  // Whether an admission level is used; otherwise it stays at zero.
  bool use_level = true;
  // Whether priorities and deadlines order and bound the queue; otherwise it is
  // a plain bounded FIFO.
  bool use_deadlines = true;
  // Share of the started work, by its expected duration, that less important
  // requests get while more important ones are queued; zero for strict priority
  // order. Without it, a long period of more important work would starve the
  // least important callers completely.
  double assured_share = 0;
};

// Identifies one offered request until it ends.
struct admission_handle {
  std::uint32_t index = 0;
  std::uint32_t generation = 0;

  friend bool operator==(const admission_handle&,
                         const admission_handle&) = default;
};

struct admission_request {
  priority level = priority::kNormal;
  std::uint8_t ticket = 0;
  std::uint32_t method = 0;
  // Other targets have already worked on the root request: its depth is not
  // zero.
  bool is_nested = false;
  time_point deadline;
  // The owner's identifier for the request, returned with events.
  std::uint64_t cookie = 0;
};

enum class admission_action : std::uint8_t { kRun, kQueued, kRefused };

// The decision about a request. With kRefused nothing ran and the request has
// ended; `why` is the reason and `retry_after` when the caller should retry.
// With kRun the owner runs it and calls Finish() once.
struct admission_decision {
  admission_action action = admission_action::kRefused;
  admission_handle handle;
  reason why = reason::kNone;
  milliseconds retry_after{0};
};

// A later decision about a request that was queued: kRun or kRefused.
struct admission_event {
  std::uint64_t cookie = 0;
  admission_decision decision;
};

// How a run ended.
struct finish_report {
  // Time that the run spent waiting for calls that the target made to other
  // services. Their slowness must not lower this target's limit.
  duration downstream{0};
  // Whether the target answered. The duration of a run that was aborted, timed
  // out or was refused by the target is only a lower bound.
  bool answered = true;
  // The target refused the request for lack of capacity.
  bool target_refused = false;
};

// Load information that is piggybacked on every answer.
struct load_report {
  admission_rank admission_level = 0;
  std::uint32_t in_flight = 0;
  std::uint32_t queued = 0;
  std::uint32_t limit = 1;
  // How close calls made by targets, here or further downstream, are to being
  // refused: in thousandths of their maximum intended wait.
  std::uint32_t pressure = 0;
};

// Counts since the start; refusals by priority.
struct admission_counters {
  std::uint64_t offered = 0;
  std::uint64_t started = 0;
  std::uint64_t finished = 0;
  std::uint64_t cancelled = 0;
  std::array<std::uint64_t, kPriorityCount> refused{};
};

class admission_controller {
 public:
  explicit admission_controller(const admission_options& options);

  // Decides about a new request. May evict less important queued requests: call
  // TakeNext() afterwards until it returns nothing.
  admission_decision Offer(const admission_request& request,
                           time_point now,
                           std::uint32_t random);

  // Returns the next queued request to run or to refuse, or nothing. Call it
  // until it returns nothing after Offer(), Finish(), Cancel() and at
  // next_wakeup().
  std::optional<admission_event> TakeNext(time_point now, std::uint32_t random);

  // A running request has ended. Frees its slot.
  void Finish(admission_handle handle,
              const finish_report& report,
              time_point now);

  // The caller has disconnected. Returns true if the request was still queued:
  // it has ended and nothing ran. Returns false if it is running (Finish() is
  // still due) or has ended.
  bool Cancel(admission_handle handle);

  // Requests of `method` below `level` would be refused further downstream;
  // refusing them here saves the work in between. Expires after a short time,
  // so call it again for every downstream answer.
  void SetDownstreamLevel(std::uint32_t method,
                          admission_rank level,
                          time_point now);

  // Whether the target beside the daemon is up. While it is down, every request
  // is refused as kNotReady and the level reported to callers refuses
  // everything, so that they don't spend attempts here.
  void SetAvailable(bool available) { available_ = available; }

  // How many requests a second the target takes, as it says itself; nothing for
  // any number. Bounds all starts, also those from the queue. Requests that it
  // would delay beyond their deadlines are refused as kRateLimited.
  void SetRateLimit(std::optional<double> per_second, time_point now) {
    rate_.Set(per_second, now);
  }

  // A newer manifest is in force; its method indices apply from now on.
  // Requests in progress are kept.
  void Reconfigure(std::uint32_t slots, std::uint32_t methods);

  // When TakeNext() must be called at the latest, even without another event.
  [[nodiscard]] time_point next_wakeup() const;
  // Expected queueing time of a request with this priority that arrives now.
  [[nodiscard]] duration EstimatedWait(priority level, time_point now) const;
  [[nodiscard]] load_report Report(std::uint32_t method, time_point now) const;
  [[nodiscard]] const admission_counters& counters() const { return counters_; }
  // The target's own level, without the downstream ones.
  [[nodiscard]] admission_rank own_level() const { return level_.level(); }
  [[nodiscard]] std::uint32_t limit() const;
  [[nodiscard]] const rate_limit& rate() const { return rate_; }
  [[nodiscard]] std::uint32_t running() const { return running_; }
  [[nodiscard]] std::uint32_t queued() const { return queued_; }

 private:
  enum class item_state : std::uint8_t { kFree, kQueued, kRunning, kEvicted };

  static constexpr std::uint32_t kNone = UINT32_MAX;

  struct item {
    admission_request request;
    time_point arrived;
    time_point started;
    duration expected{0};  // Counted in its queue's `work` while queued.
    std::uint32_t generation = 0;
    std::uint32_t previous = kNone;
    std::uint32_t next = kNone;
    reason why = reason::kNone;
    item_state state = item_state::kFree;
  };

  // Doubly linked through `previous` and `next`, oldest first.
  struct item_list {
    std::uint32_t first = kNone;
    std::uint32_t last = kNone;
    std::uint32_t count = 0;
    duration work{0};  // Sum of `expected`.
  };

  struct downstream_level {
    admission_rank level = 0;
    time_point until;
  };

  [[nodiscard]] std::size_t QueueOf(priority level) const;
  [[nodiscard]] admission_rank LevelFor(std::uint32_t method,
                                        time_point now) const;
  [[nodiscard]] duration QueueDelay(std::size_t queue, time_point now) const;
  [[nodiscard]] bool HasCapacity(time_point now) const;
  [[nodiscard]] reason InfeasibleReason() const;
  void LimitByRate(time_point now, load_report* report) const;
  [[nodiscard]] bool CanFinish(const item& entry,
                               duration wait,
                               time_point now) const;
  [[nodiscard]] milliseconds RetryAfter(admission_rank rank,
                                        admission_rank level,
                                        time_point now,
                                        std::uint32_t random) const;
  admission_decision Refuse(const admission_request& request,
                            reason why,
                            time_point now,
                            std::uint32_t random);
  bool EvictForSpace(std::size_t queue);
  void EvictLowerThan(std::size_t queue);
  void Evict(std::uint32_t index, reason why);
  void EvictInfeasible(time_point now);
  [[nodiscard]] std::uint32_t PickQueued() const;
  void AccrueAssuredShare(std::size_t queue, duration work);
  std::uint32_t Allocate(const admission_request& request, time_point now);
  void Release(std::uint32_t index);
  void Start(std::uint32_t index, time_point now);
  void Append(item_list& list, std::uint32_t index);
  void Remove(item_list& list, std::uint32_t index);
  [[nodiscard]] item* Find(admission_handle handle);

  admission_options options_;
  std::vector<item> items_;  // A fixed pool; never grows while serving.
  std::uint32_t first_free_ = kNone;
  std::array<item_list, kPriorityCount> queues_;  // Most important first.
  // Work that each priority may start ahead of more important ones; zero for
  // those with an empty queue.
  std::array<duration, kPriorityCount> assured_{};
  item_list evicted_;          // Not yet returned by TakeNext().
  std::uint32_t queued_ = 0;   // Items in `queues_`; at most max_queue.
  std::uint32_t running_ = 0;  // At most the limit that held when started.
  time_point next_sweep_;
  bool available_ = true;
  std::vector<service_time> service_times_;   // By method.
  std::vector<downstream_level> downstream_;  // By method.
  service_time overall_service_time_;
  concurrency_limit limit_;
  rate_limit rate_;
  admission_level level_;
  admission_counters counters_;
};

}  // namespace pistachioweir
