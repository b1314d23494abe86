// Places of the targets on the ring.
#include "include/route/target_ring.h"

#include <xxhash.h>

namespace pistachioweir {
namespace {

std::pair<std::uint64_t, std::uint32_t> PlaceOf(std::string_view name,
                                                std::uint32_t index) {
  return {XXH3_64bits(name.data(), name.size()), index};
}

template <typename T>
void InsertSorted(std::vector<T>* sorted, const T& value) {
  sorted->insert(std::ranges::lower_bound(*sorted, value), value);
}

template <typename T>
void EraseSorted(std::vector<T>* sorted, const T& value) {
  const auto found = std::ranges::lower_bound(*sorted, value);
  if (found != sorted->end() && *found == value) {
    sorted->erase(found);
  }
}

}  // namespace

void target_ring::Add(std::string_view name, std::uint32_t index) {
  InsertSorted(&targets_, index);
  InsertSorted(&ring_, PlaceOf(name, index));
}

void target_ring::Remove(std::string_view name, std::uint32_t index) {
  EraseSorted(&targets_, index);
  EraseSorted(&ring_, PlaceOf(name, index));
}

}  // namespace pistachioweir
