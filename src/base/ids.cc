// Random identities, from the operating system's source.
#include "include/base/ids.h"

#include <random>

namespace pistachioweir {

incarnation_id NewIncarnation() {
  std::random_device device;
  std::uint64_t value = 0;
  while (value == 0) {
    value = (std::uint64_t{device()} << 32) | device();
  }
  return incarnation_id{value};
}

}  // namespace pistachioweir
