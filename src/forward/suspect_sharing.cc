// Publishing of suspects.
#include "src/forward/suspect_sharing.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace pistachioweir {
namespace {

// Time for which cleared requests are collected into a batch.
constexpr milliseconds kClearedBatchDelay{100};
// Maximum number of cleared requests in one frame, as a frame is read in one
// go.
constexpr std::size_t kMaxClearedPerFrame = 128;

constexpr std::size_t MaxPeers(suspects_source source) {
  return source == suspects_source::kLocal
             ? std::numeric_limits<std::size_t>::max()
             : kForwardFanout;
}

}  // namespace

suspect_sharing::suspect_sharing(boost::asio::io_context& context, sender send)
    : timer_(context), send_(std::move(send)) {}

void suspect_sharing::Publish(const suspects_frame& frame,
                              suspects_source source) {
  if (!frame.entries.empty()) {
    send_({.entries = frame.entries}, MaxPeers(source));
  }
  auto& pending =
      source == suspects_source::kLocal ? cleared_locally_ : cleared_remotely_;
  pending.insert(pending.end(), frame.cleared.begin(), frame.cleared.end());
  if (!frame.cleared.empty()) {
    Arm();
  }
}

void suspect_sharing::Stop() {
  timer_.cancel();
}

void suspect_sharing::Arm() {
  if (std::exchange(armed_, true)) {
    return;
  }
  timer_.expires_after(kClearedBatchDelay);
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) {
      armed_ = false;
      PublishCleared();
    }
  });
}

void suspect_sharing::PublishCleared() {
  for (const auto source :
       {suspects_source::kLocal, suspects_source::kRemote}) {
    auto& pending = source == suspects_source::kLocal ? cleared_locally_
                                                      : cleared_remotely_;
    const std::vector<request_fingerprint> cleared = std::exchange(pending, {});
    for (std::size_t i = 0; i < cleared.size(); i += kMaxClearedPerFrame) {
      const std::size_t end = std::min(cleared.size(), i + kMaxClearedPerFrame);
      suspects_frame frame;
      frame.cleared.assign(cleared.begin() + static_cast<std::ptrdiff_t>(i),
                           cleared.begin() + static_cast<std::ptrdiff_t>(end));
      send_(frame, MaxPeers(source));
    }
  }
}

}  // namespace pistachioweir
