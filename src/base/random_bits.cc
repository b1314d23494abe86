// One generator a thread, so that no lock is needed.
#include "include/base/random_bits.h"

#include <random>

namespace pistachioweir {
namespace {

std::mt19937_64 MakeGenerator() {
  std::random_device device;
  std::seed_seq seed{device(), device(), device(), device()};
  return std::mt19937_64(seed);
}

}  // namespace

std::uint64_t RandomBits64() {
  thread_local std::mt19937_64 generator = MakeGenerator();
  return generator();
}

}  // namespace pistachioweir
