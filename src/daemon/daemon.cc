// Runs a daemon and stops it gracefully.
#include "include/daemon/daemon.h"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <csignal>
#include <cstdint>
#include <string>

#include "include/base/log.h"
#include "include/base/time.h"
#include "include/config/settings.h"
#include "src/base/stop_signals.h"
#include "src/daemon/daemon_parts.h"

namespace pistachioweir {
namespace {

constexpr milliseconds kTickInterval{1000};
constexpr milliseconds kStopPollInterval{20};
// A stopping daemon stays for this long at least and at most where only new
// requests keep it, and goes once none has come for the quiet time.
constexpr milliseconds kLeastLinger{1000};
constexpr milliseconds kQuietTime{500};
constexpr milliseconds kMostLinger{3000};

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
    ReleaseStopSignals();
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
      stopping_since_ = monotonic_clock::now();
      AwaitSignal();
      AwaitIdle();
    });
  }

  // Ends once nothing is in progress and nothing new comes. Keys that are out
  // are waited for as well: without their home, callers could only be told
  // unknown.
  void AwaitIdle() {
    const time_point now = monotonic_clock::now();
    const bool busy = parts_.Busy();
    const bool late = now >= stopping_since_ + settings_.stop_timeout;
    if (late || (!busy && IsQuiet(now) && !parts_.HoldsKeys())) {
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

  // Other daemons hear of the stop within moments, and until then send calls on
  // connections that they keep. A process that ended at once would cut those
  // off, and their callers could only be told unknown. Callers outside may go
  // on for ever; they aren't waited for.
  [[nodiscard]] bool IsQuiet(time_point now) {
    const std::uint64_t requests = parts_.Requests();
    if (std::exchange(requests_, requests) != requests) {
      last_request_ = now;
    }
    const duration stopping = now - stopping_since_;
    return stopping >= kLeastLinger &&
           (now - last_request_ >= kQuietTime || stopping >= kMostLinger);
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
  time_point stopping_since_;
  time_point last_request_;  // Of IsQuiet(), as below.
  std::uint64_t requests_ = 0;
};

}  // namespace

int RunDaemon(const daemon_settings& settings) {
  daemon_loop loop(settings);
  loop.Run();
  return 0;
}

}  // namespace pistachioweir
