// suspect_fanout: selects the daemons that receive suspects besides those that
// are already connected.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace pistachioweir {

// Suspects are published over open connections, and each daemon forwards what
// it receives. Calls stay in their data centre where possible, so with enough
// targets in each data centre no connection links two of them: with 60 daemons
// in three data centres, 40 never received a crash, and one request crashed two
// targets in each of the three instead of two in all.
//
// A daemon with new suspects therefore also connects to a few daemons, chosen
// at random from the whole list, that it has no connection to. With three each,
// at a hundred daemons and more all but one in twenty are chosen by some
// daemon, and the rest are connected to others that are. A larger fan-out would
// open more connections for each crash, and a smaller one would occasionally
// miss a small data centre.
inline constexpr std::size_t kUnconnectedFanout = 3;

// Returns up to `max_count` different elements of `items`, chosen at random.
template <typename T, typename Random>
[[nodiscard]] std::vector<T> RandomSample(std::vector<T> items,
                                          std::size_t max_count,
                                          const Random& random) {
  const std::size_t count = std::min(max_count, items.size());
  for (std::size_t i = 0; i < count; ++i) {
    std::swap(items[i], items[i + random() % (items.size() - i)]);
  }
  items.resize(count);
  return items;
}

// Returns up to kUnconnectedFanout different elements of `unconnected`.
[[nodiscard]] inline std::vector<std::string> ChooseUnconnected(
    std::vector<std::string> unconnected,
    const std::function<std::uint64_t()>& random) {
  return RandomSample(std::move(unconnected), kUnconnectedFanout, random);
}

}  // namespace pistachioweir
