// Telling of suspects.
#include "src/forward/suspect_sharing.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace pistachioweir {
namespace {

// How long what is cleared waits for more.
constexpr milliseconds kClearedDelay{100};
// Requests in one frame, which is read at one go.
constexpr std::size_t kMostCleared = 128;

constexpr std::size_t MostOf(suspects_source source) {
  return source == suspects_source::kHere
             ? std::numeric_limits<std::size_t>::max()
             : kPassedOnTo;
}

}  // namespace

suspect_sharing::suspect_sharing(boost::asio::io_context& context, sender send)
    : timer_(context), send_(std::move(send)) {}

void suspect_sharing::Tell(const suspects_frame& told, suspects_source source) {
  if (!told.entries.empty()) {
    send_({.entries = told.entries}, MostOf(source));
  }
  auto& waiting =
      source == suspects_source::kHere ? cleared_here_ : cleared_elsewhere_;
  waiting.insert(waiting.end(), told.cleared.begin(), told.cleared.end());
  if (!told.cleared.empty()) {
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
  timer_.expires_after(kClearedDelay);
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) {
      armed_ = false;
      TellCleared();
    }
  });
}

void suspect_sharing::TellCleared() {
  for (const auto source :
       {suspects_source::kHere, suspects_source::kOtherDaemon}) {
    auto& waiting =
        source == suspects_source::kHere ? cleared_here_ : cleared_elsewhere_;
    const std::vector<request_fingerprint> cleared = std::exchange(waiting, {});
    for (std::size_t i = 0; i < cleared.size(); i += kMostCleared) {
      const std::size_t end = std::min(cleared.size(), i + kMostCleared);
      suspects_frame told;
      told.cleared.assign(cleared.begin() + static_cast<std::ptrdiff_t>(i),
                          cleared.begin() + static_cast<std::ptrdiff_t>(end));
      send_(told, MostOf(source));
    }
  }
}

}  // namespace pistachioweir
