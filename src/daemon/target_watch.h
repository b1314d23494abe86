// target_watch: notices when the target beside the daemon is up again.
#pragma once

#include <atomic>
#include <functional>
#include <memory>

#include <boost/asio/steady_timer.hpp>

#include "include/config/settings.h"
#include "src/net/http_client.h"

namespace pistachioweir {

class worker_pool;

// Made for a target whose process has ended: each call sent here would be a try
// wasted, so the daemon refuses for it until it accepts connections again. That
// is all that is asked; what its health page says lags or misleads.
//
// Owns a timer and a client on worker 0.
class target_watch {
 public:
  // Called on worker 0 with whether the target is up, at each change.
  using listener = std::function<void(bool up)>;

  target_watch(worker_pool& workers,
               const endpoint& target,
               listener on_change);
  ~target_watch();

  // A connection to the target was refused. Thread-safe.
  void NoteRefused();

 private:
  void Probe();

  worker_pool& workers_;
  const endpoint target_;
  const listener on_change_;
  std::atomic<bool> down_{false};
  http_client client_;
  boost::asio::steady_timer timer_;
};

}  // namespace pistachioweir
