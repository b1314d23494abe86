// Cost of the admission by downstream cost for one call: its attribution, the
// measurement of demand, and the share for its answer.
#include <benchmark/benchmark.h>

#include <cstdint>
#include <string>
#include <vector>

#include "src/forward/entrance_control.h"

namespace pistachioweir {
namespace {

// Calls of `kinds` root kinds, as the daemon beside the called target sees
// them. The assignment every 200 ms is included, at 10,000 calls per second.
void BM_CallWithLineage(benchmark::State& state) {
  const auto kinds = static_cast<std::uint32_t>(state.range(0));
  entrance_control control;
  control.SetTargets(4);
  control.SetSlots(170);
  std::vector<call_frame> calls;
  for (std::uint32_t i = 0; i < 1024; ++i) {
    const std::string root = std::to_string(i / 4);
    calls.push_back(
        {.route = "look-up",
         .rank = i % 3,
         .request_id = "0b6f1ce5e80dad34-" + root + ".1." + std::to_string(i),
         .lineage = call_lineage{.root = "kind-" + std::to_string(i % kinds),
                                 .depth = 2,
                                 .admitted_share = 0.5}});
  }
  time_point now{seconds(1000)};
  std::uint32_t next = 0;
  for (auto _ : state) {
    now += microseconds(100);
    const call_frame& call = calls[next++ % calls.size()];
    const auto arrived = control.OnArrival(call, true, now);
    control.OnSucceeded(arrived, milliseconds(50));
    benchmark::DoNotOptimize(control.ShareOf(call, now));
  }
}
BENCHMARK(BM_CallWithLineage)->Arg(4)->Arg(63);

// Root requests at the entrance: the answer of a service below, the admission,
// and the share for the answer.
void BM_RootRequest(benchmark::State& state) {
  entrance_control control;
  control.SetTargets(4);
  control.SetSlots(170);
  const call_frame call{.route = "rate-quote",
                        .rank = 2,
                        .request_id = "0b6f1ce5e80dad34",
                        .lineage = call_lineage{.root = "rate-quote"}};
  time_point now{seconds(1000)};
  for (auto _ : state) {
    now += microseconds(100);
    control.UpdateBelow(call.route, "small-service", 0.5, now);
    const auto arrived = control.OnArrival(call, false, now);
    if (control.MayAdmit(arrived, false, now)) {
      control.Spend(arrived);
      control.OnSucceeded(arrived, milliseconds(50));
    }
    benchmark::DoNotOptimize(control.ShareOf(call, now));
  }
}
BENCHMARK(BM_RootRequest);

}  // namespace
}  // namespace pistachioweir
