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
  // Since when calls to the store have failed, if the last one did.
  std::optional<time_point> lost_since;
  // When the store answered again after it had been away, the last time.
  std::optional<time_point> regained_at;
};

}  // namespace pistachioweir
