// Order of the ring.
#include "include/route/target_ring.h"

#include <xxhash.h>

namespace pistachioweir {

void target_ring::SetTargets(
    std::vector<std::pair<std::string, std::uint32_t>> targets) {
  std::vector<std::pair<std::uint64_t, std::uint32_t>> hashed;
  hashed.reserve(targets.size());
  targets_.clear();
  for (const auto& [name, index] : targets) {
    hashed.emplace_back(XXH3_64bits(name.data(), name.size()), index);
    targets_.push_back(index);
  }
  std::ranges::sort(targets_);
  std::ranges::sort(hashed);
  ring_.clear();
  for (const auto& [hash, index] : hashed) {
    ring_.push_back(index);
  }
}

}  // namespace pistachioweir
