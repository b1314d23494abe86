// admission_gate: the admission state of the target beside this daemon, for use
// by several threads.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include "include/admit/admission_controller.h"
#include "include/base/time.h"

namespace pistachioweir {

class worker_pool;

// Owns an admission_controller under one lock, and the timer that wakes it when
// the time of a queued request runs out although no request comes or ends.
class admission_gate {
 public:
  // Hears of queued requests that are to run or are given up. Called without
  // the lock, on whichever thread brought it about.
  using listener = std::function<void(const admission_event&)>;

  admission_gate(worker_pool& workers, listener on_event);
  ~admission_gate();

  void Reconfigure(std::uint32_t slots, std::uint32_t methods);

  // Decides about a request. `placed` gets the handle before any other thread
  // can hear of the request.
  template <typename Placed>
  admission_decision Offer(const admission_request& request,
                           time_point now,
                           Placed&& placed) {
    return Change(now,
                  [&](admission_controller& controller, std::uint32_t random) {
                    const admission_decision decision =
                        controller.Offer(request, now, random);
                    placed(decision.handle);
                    return decision;
                  });
  }

  // See admission_controller.
  void Finish(admission_handle handle, const finish_report& report);
  bool Cancel(admission_handle handle);
  void SetDownstreamLevel(std::uint32_t method, admission_rank level);

  void SetAvailable(bool available);

  // Lets time pass.
  void Wake();

  [[nodiscard]] load_report Report(std::uint32_t method) const;
  [[nodiscard]] admission_counters counters() const;

 private:
  class wakeup_timer;

  // Runs `change(controller, random)` under the lock, then tells the listener
  // what followed from it.
  template <typename Work>
  auto Change(time_point now, Work&& change) {
    std::unique_lock lock(mutex_);
    auto result = change(controller_, Random());
    const std::vector<admission_event> events = TakeEvents(now);
    lock.unlock();
    for (const admission_event& event : events) {
      on_event_(event);
    }
    return result;
  }

  [[nodiscard]] static std::uint32_t Random();
  // With the lock.
  [[nodiscard]] std::vector<admission_event> TakeEvents(time_point now);
  void ArmWakeup();

  worker_pool& workers_;
  const listener on_event_;
  mutable std::mutex mutex_;
  admission_controller controller_;  // Guarded by mutex_.
  std::unique_ptr<wakeup_timer> wakeup_;
};

}  // namespace pistachioweir
