// transit_time: how long messages of another daemon wait before this one
// handles them.
#pragma once

#include <chrono>

#include "include/base/boot_clock.h"
#include "include/base/recent_extreme.h"
#include "include/base/time.h"

namespace pistachioweir {

// Messages wait in the sender's buffers, on the network, and unread in the
// socket while the receiver's event loop is late. The clocks of two VMs differ
// by an unknown offset, so one message doesn't show its wait. But the smallest
// difference between sending and handling is that of a message which hardly
// waited, and any other one has waited for as long as it exceeds that. A wait
// is underestimated if all recent messages waited, and never overestimated.
//
// Both clocks have to run while a VM is suspended, else the offset changes.
//
// Pure logic; one for each incarnation of a sender.
class transit_time {
 public:
  // A message that was sent at `sent`, by the sender's clock, is handled at
  // `now`. Returns how long it waited.
  milliseconds OnMessage(milliseconds sent, boot_time now) {
    const time_point at(now.time_since_epoch());
    const duration difference = at.time_since_epoch() - sent;
    smallest_.Add(difference, at);
    last_message_ = now;
    return ToMilliseconds(difference - smallest_.Get(at).value_or(difference));
  }

  [[nodiscard]] boot_time last_message() const { return last_message_; }

 private:
  // Long enough to cover an overload, and short enough that two clocks, which
  // are adjusted by up to 500 ppm, drift apart by less than 0.1 s.
  static constexpr milliseconds kWindow{60000};

  recent_minimum smallest_{kWindow};
  boot_time last_message_;
};

}  // namespace pistachioweir
