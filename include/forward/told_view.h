// told_view: a view that one daemon tells another, and how far it may be
// believed.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "include/base/time.h"
#include "include/forward/service_view.h"

namespace pistachioweir {

struct told_view {
  // The newest change of the platform's store that is in it. Counts up for all
  // daemons alike, so that of two views the newer one can be told.
  std::uint64_t revision = 0;
  // For how long the store has not confirmed it to whoever read it there.
  milliseconds age{0};
  std::string from;  // The VM whose daemon told it.
  std::shared_ptr<const service_view> view;
};

}  // namespace pistachioweir
