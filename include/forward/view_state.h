// view_state: how well a daemon keeps up with the platform's store.
#pragma once

#include <cstdint>
#include <optional>

#include "include/base/boot_clock.h"
#include "include/base/time.h"

namespace pistachioweir {

struct view_state {
  // The newest change of the store that the view has; zero before the first.
  // Counts up for all daemons alike.
  std::uint64_t revision = 0;
  // When the store was asked last for its newest state, and answered. The view
  // holds all that the store had then.
  std::optional<boot_time> store_asked;
  // The store's last answer to this daemon, if it reads the store.
  std::optional<time_point> store_answered;
  // Whether this daemon reads the store, and its last call there went well.
  bool last_read_ok = false;
  // Since when this daemon can't reach the store, if that was so last.
  std::optional<time_point> lost_since;
  // When this daemon had the store back, the last time.
  std::optional<time_point> regained_at;
};

}  // namespace pistachioweir
