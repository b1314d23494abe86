// target_ring: the few targets of a large service among which one caller's
// calls are placed.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <utility>
#include <vector>

namespace pistachioweir {

// For many callers with few calls each to a service with many targets. If each
// caller used all targets, nearly every call would go to one that the caller
// has hardly met: over a new connection, with no recent knowledge of the
// target's load, speed and failures. The number of connections of a daemon
// would grow with the fleet.
//
// The targets form a ring in the order of a hash, the same for all callers.
// Each caller has a position on it, and the positions are evenly spaced, so
// that every target is within reach of equally many callers, give or take one.
// A caller uses the targets that follow its position. One that can't take the
// call, or is full, doesn't count: the next ones take its place, so that a
// caller reaches any target that is left after a loss, and more targets the
// more calls it makes. A target that joins or leaves shifts the ring by one.
//
// Pure logic; a balancer keeps one for its own data centre and one for the
// others.
class target_ring {
 public:
  // Targets with capacity that a caller uses. Enough to go round the slow and
  // the failed ones among them, few enough to know them.
  static constexpr std::size_t kTargets = 12;

  // The target's name decides its place on the ring; `index` identifies it to
  // the owner.
  void Add(std::string_view name, std::uint32_t index);
  void Remove(std::string_view name, std::uint32_t index);
  // Sets the caller's position, from 0 up to 1.
  void SetPosition(double position) { position_ = position; }

  // Indices in ascending order.
  [[nodiscard]] const std::vector<std::uint32_t>& targets() const {
    return targets_;
  }

  // Appends the eligible targets to `chosen` until kTargets of them have
  // capacity.
  template <typename Eligible, typename HasCapacity>
  void Choose(Eligible is_eligible,
              HasCapacity has_capacity,
              std::vector<std::uint32_t>* chosen) const {
    const std::size_t size = ring_.size();
    const auto start =
        static_cast<std::size_t>(position_ * static_cast<double>(size));
    std::size_t with_capacity = 0;
    for (std::size_t i = 0; i < size && with_capacity < kTargets; ++i) {
      const std::uint32_t index = ring_[(start + i) % size].second;
      if (is_eligible(index)) {
        chosen->push_back(index);
        with_capacity += has_capacity(index) ? 1 : 0;
      }
    }
  }

 private:
  std::vector<std::uint32_t> targets_;
  // The same with the hashes of their names, in the order of those.
  std::vector<std::pair<std::uint64_t, std::uint32_t>> ring_;
  double position_ = 0;
};

}  // namespace pistachioweir
