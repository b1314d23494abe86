// Probing of a target that is down.
#include "src/daemon/target_watch.h"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "include/base/time.h"
#include "src/net/worker_pool.h"

namespace pistachioweir {
namespace {

// Short against the time that a target needs to start, and next to nothing on
// loopback.
constexpr milliseconds kProbeInterval{100};
constexpr milliseconds kProbeTimeout{500};

}  // namespace

target_watch::target_watch(worker_pool& workers,
                           const endpoint& target,
                           listener on_change)
    : workers_(workers),
      target_(target),
      on_change_(std::move(on_change)),
      client_(workers.context(0), {}),
      timer_(workers.context(0)) {}

target_watch::~target_watch() = default;

void target_watch::NoteRefused() {
  if (down_.exchange(true)) {
    return;
  }
  boost::asio::post(workers_.context(0), [this] {
    on_change_(false);
    Probe();
  });
}

void target_watch::Probe() {
  timer_.expires_after(kProbeInterval);
  timer_.async_wait([this](boost::system::error_code error) {
    if (error) {
      return;
    }
    client_.Send(target_, {.verb = "GET", .path = "/health"},
                 monotonic_clock::now() + kProbeTimeout, /*fresh=*/true,
                 [this](const exchange_result& result) {
                   if (result.end == exchange_end::kNotSent) {
                     Probe();
                     return;
                   }
                   down_ = false;
                   on_change_(true);
                 });
  });
}

}  // namespace pistachioweir
