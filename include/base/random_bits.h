// Random bits for decisions that only need to be spread, not to be secret.
#pragma once

#include <cstdint>

namespace pistachioweir {

// From a generator of the calling thread, seeded by the operating system.
[[nodiscard]] std::uint64_t RandomBits64();

[[nodiscard]] inline std::uint32_t RandomBits32() {
  return static_cast<std::uint32_t>(RandomBits64());
}

}  // namespace pistachioweir
