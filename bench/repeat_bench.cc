// Cost of one decision about a repeat: the window holds 12,000 requests and as
// many repeats as they allow.
#include <benchmark/benchmark.h>

#include <cstdint>

#include "include/retry/ranked_repeat_budget.h"

namespace pistachioweir {
namespace {

void BM_TrySpend(benchmark::State& state) {
  ranked_repeat_budget budget({.ratio = 0.17, .reserve = 1});
  time_point now{seconds(1000)};
  std::uint32_t number = 0;
  for (auto _ : state) {
    now += microseconds(830);
    const auto level = static_cast<priority>(number++ % kPriorityCount);
    budget.OnRequest(level, now);
    benchmark::DoNotOptimize(budget.TrySpend({.level = level}, now));
  }
}
BENCHMARK(BM_TrySpend);

}  // namespace
}  // namespace pistachioweir
