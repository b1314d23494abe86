// Runs a daemon and stops it gracefully.
#include "include/daemon/daemon.h"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <csignal>

#include "include/base/log.h"
#include "include/base/time.h"
#include "include/config/settings.h"
#include "src/daemon/daemon_parts.h"

namespace pistachioweir {
namespace {

constexpr milliseconds kTickInterval{1000};
constexpr milliseconds kStopPollInterval{20};

// Waits for signals and drives the ticks, on the calling thread.
class daemon_loop {
 public:
  explicit daemon_loop(const daemon_settings& settings)
      : settings_(settings),
        parts_(settings),
        signals_(context_, SIGTERM, SIGINT),
        tick_(context_),
        stop_(context_) {}

  void Run() {
    parts_.Start();
    AwaitSignal();
    Tick();
    context_.run();
    parts_.Stop();
    parts_.AuditStopped();
  }

 private:
  void AwaitSignal() {
    signals_.async_wait([this](boost::system::error_code error, int signal) {
      if (error) {
        return;
      }
      LogEvent("signal", {{.name = "number", .value = std::to_string(signal)}});
      if (std::exchange(stopping_, true)) {
        context_.stop();
        return;
      }
      parts_.Drain();
      give_up_ = monotonic_clock::now() + settings_.stop_timeout;
      AwaitSignal();
      AwaitIdle();
    });
  }

  // Ends once nothing is in progress. Keys that are out are waited for as well:
  // without their home, callers could only be told unknown.
  void AwaitIdle() {
    const bool late = monotonic_clock::now() >= give_up_;
    const bool busy = parts_.Busy();
    if (late || (!busy && !parts_.HoldsKeys())) {
      if (late && busy) {
        LogWarning("stop_timeout", {{.name = "vm", .value = settings_.vm}});
      }
      context_.stop();
      return;
    }
    stop_.expires_after(kStopPollInterval);
    stop_.async_wait([this](boost::system::error_code error) {
      if (!error) {
        AwaitIdle();
      }
    });
  }

  void Tick() {
    parts_.Tick();
    tick_.expires_after(kTickInterval);
    tick_.async_wait([this](boost::system::error_code error) {
      if (!error) {
        Tick();
      }
    });
  }

  const daemon_settings& settings_;
  boost::asio::io_context context_;
  daemon_parts parts_;
  boost::asio::signal_set signals_;
  boost::asio::steady_timer tick_;
  boost::asio::steady_timer stop_;
  bool stopping_ = false;
  time_point give_up_;
};

}  // namespace

int RunDaemon(const daemon_settings& settings) {
  daemon_loop loop(settings);
  loop.Run();
  return 0;
}

}  // namespace pistachioweir
