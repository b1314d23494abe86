// Smooth weighted round robin.
#include "include/route/weighted_split.h"

#include <cassert>

namespace pistachioweir {
namespace {

// Upper bound of the initial position in a cycle; a cycle is at most as long as
// the sum of the weights, usually 100.
constexpr std::uint64_t kMaxInitialSteps = 100;

}  // namespace

std::string_view weighted_split::Next(const std::vector<route_part>& parts) {
  assert(!parts.empty());
  if (parts.size() == 1) {
    return parts.front().service;
  }
  if (parts != parts_) {
    Restart(parts);
  }
  return parts[Step()].service;
}

void weighted_split::Restart(const std::vector<route_part>& parts) {
  parts_ = parts;
  credit_.assign(parts.size(), 0);
  total_ = 0;
  for (const route_part& part : parts) {
    total_ += part.weight;
  }
  for (std::uint64_t i = random_ % kMaxInitialSteps; i > 0; --i) {
    [[maybe_unused]] const std::size_t skipped = Step();
  }
}

std::size_t weighted_split::Step() {
  std::size_t selected = 0;
  for (std::size_t i = 0; i < parts_.size(); ++i) {
    credit_[i] += parts_[i].weight;
    if (credit_[i] > credit_[selected]) {
      selected = i;
    }
  }
  credit_[selected] -= total_;
  return selected;
}

}  // namespace pistachioweir
