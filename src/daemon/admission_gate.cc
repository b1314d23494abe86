// Locking and waking of the admission state.
#include "src/daemon/admission_gate.h"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <atomic>

#include "include/base/random_bits.h"
#include "src/net/worker_pool.h"

namespace pistachioweir {

// Armed only while requests are queued.
class admission_gate::wakeup_timer {
 public:
  explicit wakeup_timer(boost::asio::io_context& context) : timer(context) {}

  boost::asio::steady_timer timer;
  std::atomic<bool> armed{false};
};

admission_gate::admission_gate(worker_pool& workers, listener on_event)
    : workers_(workers),
      on_event_(std::move(on_event)),
      controller_(admission_options{}),
      wakeup_(std::make_unique<wakeup_timer>(workers.context(0))) {}

admission_gate::~admission_gate() = default;

std::uint32_t admission_gate::Random() {
  return RandomBits32();
}

void admission_gate::Reconfigure(std::uint32_t slots, std::uint32_t methods) {
  const std::lock_guard lock(mutex_);
  controller_.Reconfigure(std::max<std::uint32_t>(1, slots),
                          std::max<std::uint32_t>(1, methods));
}

void admission_gate::Finish(admission_handle handle,
                            const finish_report& report) {
  const time_point now = monotonic_clock::now();
  Change(now, [&](admission_controller& controller, std::uint32_t /*random*/) {
    controller.Finish(handle, report, now);
    return true;
  });
}

bool admission_gate::Cancel(admission_handle handle) {
  return Change(monotonic_clock::now(), [&](admission_controller& controller,
                                            std::uint32_t /*random*/) {
    return controller.Cancel(handle);
  });
}

void admission_gate::SetDownstreamLevel(std::uint32_t method,
                                        admission_rank level) {
  const std::lock_guard lock(mutex_);
  controller_.SetDownstreamLevel(method, level, monotonic_clock::now());
}

void admission_gate::SetAvailable(bool available) {
  const std::lock_guard lock(mutex_);
  controller_.SetAvailable(available);
}

void admission_gate::Wake() {
  Change(monotonic_clock::now(), [](admission_controller& /*controller*/,
                                    std::uint32_t /*random*/) { return true; });
}

load_report admission_gate::Report(std::uint32_t method) const {
  const std::lock_guard lock(mutex_);
  return controller_.Report(method, monotonic_clock::now());
}

admission_counters admission_gate::counters() const {
  const std::lock_guard lock(mutex_);
  return controller_.counters();
}

std::vector<admission_event> admission_gate::TakeEvents(time_point now) {
  std::vector<admission_event> events;
  while (const auto event = controller_.TakeNext(now, Random())) {
    events.push_back(*event);
  }
  if (controller_.queued() > 0) {
    ArmWakeup();
  }
  return events;
}

void admission_gate::ArmWakeup() {
  if (wakeup_->armed.exchange(true)) {
    return;
  }
  boost::asio::post(
      workers_.context(0), [this, when = controller_.next_wakeup()] {
        wakeup_->timer.expires_at(when);
        wakeup_->timer.async_wait([this](boost::system::error_code error) {
          if (!error) {
            wakeup_->armed = false;
            Wake();
          }
        });
      });
}

}  // namespace pistachioweir
