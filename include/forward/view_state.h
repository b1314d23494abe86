// view_state: how well a daemon keeps up with the platform's store.
#pragma once

#include <cstdint>
#include <optional>

#include "include/base/time.h"

namespace pistachioweir {

struct view_state {
  // The newest change of the store that the daemon has read; zero before the
  // first. Counts up for all daemons alike.
  std::uint64_t revision = 0;
  // When the store last confirmed the view in use, to this daemon or to the one
  // that told it. A daemon that has started with a told view has one although
  // its `revision` is zero.
  std::optional<time_point> confirmed_at;
  // Since when calls to the store have failed, if the last one did.
  std::optional<time_point> lost_since;
  // When the store answered again after it had been away, the last time.
  std::optional<time_point> regained_at;
};

}  // namespace pistachioweir
