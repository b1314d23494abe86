// What each reason means to a caller, and what to do about it.
#pragma once

#include <string_view>

#include "include/base/outcome.h"

namespace pistachioweir {

struct reason_text {
  std::string_view meaning;
  std::string_view advice;
};

[[nodiscard]] const reason_text& TextOf(reason why);

}  // namespace pistachioweir
