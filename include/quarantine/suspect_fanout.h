// suspect_spread: who is told of suspects besides the daemons that are
// connected already.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace pistachioweir {

// News of requests that crash targets travels over open connections, and each
// daemon passes on what it hears. Calls stay in their data centre while they
// can, so with enough targets in each no connection leads from one to another:
// with 60 daemons in three, 40 never heard of a crash, and one request crashed
// two targets in each of the three instead of two in all.
//
// So whoever has news tells some daemons that it has no connection to as well,
// at random, of the whole list. With three each, of a hundred daemons and more
// all but one in twenty are picked by somebody, and those are connected to
// others that are. More would cost more connections for each crash, and fewer
// would leave a small data centre out now and then.
inline constexpr std::size_t kUnconnectedFanout = 3;

// Up to `most` different ones of `all`.
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

// Up to kUnconnectedFanout different ones of `others`.
[[nodiscard]] inline std::vector<std::string> ChooseUnconnected(
    std::vector<std::string> unconnected,
    const std::function<std::uint64_t()>& random) {
  return RandomSample(std::move(unconnected), kUnconnectedFanout, random);
}

}  // namespace pistachioweir
