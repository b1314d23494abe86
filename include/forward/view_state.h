// view_state: how up to date a daemon's view of the platform's store is.
#pragma once

#include <cstdint>
#include <optional>

#include "include/base/boot_clock.h"
#include "include/base/time.h"

namespace pistachioweir {

struct view_state {
  // The newest revision of the store that the view contains; zero before the
  // first. Revisions are the same at all daemons.
  std::uint64_t revision = 0;
  // When the last answered request for the store's newest state was sent. The
  // view contains everything that the store had then.
  std::optional<boot_time> store_asked;
  // The store's last answer to this daemon, if it reads the store.
  std::optional<time_point> store_answered;
  // Whether this daemon reads the store and its last call there succeeded.
  bool last_read_ok = false;
  // Since when this daemon can't reach the store; empty if its last call
  // succeeded.
  std::optional<time_point> lost_since;
  // When this daemon last regained contact with the store.
  std::optional<time_point> regained_at;
};

}  // namespace pistachioweir
