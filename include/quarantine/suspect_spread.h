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
inline constexpr std::size_t kFurtherDaemons = 3;

// Up to `most` different ones of `all`.
template <typename T, typename Random>
[[nodiscard]] std::vector<T> SomeAtRandom(std::vector<T> all,
                                          std::size_t most,
                                          const Random& random) {
  const std::size_t count = std::min(most, all.size());
  for (std::size_t i = 0; i < count; ++i) {
    std::swap(all[i], all[i + random() % (all.size() - i)]);
  }
  all.resize(count);
  return all;
}

// Up to kFurtherDaemons different ones of `others`.
[[nodiscard]] inline std::vector<std::string> FurtherDaemons(
    std::vector<std::string> others,
    const std::function<std::uint64_t()>& random) {
  return SomeAtRandom(std::move(others), kFurtherDaemons, random);
}

}  // namespace pistachioweir
