// Text of a config_error.
#include "include/config/config_error.h"

namespace pistachioweir {

std::string ToLine(const config_error& error) {
  return error.place + ": " + error.problem + "; expected " + error.expected;
}

}  // namespace pistachioweir
