// Cost of one decision: admission and target selection in the steady state,
// with few and with many queued calls.
#include <benchmark/benchmark.h>

#include <cstdint>
#include <cstdlib>
#include <new>
#include <random>
#include <string>
#include <vector>

#include "include/admit/admission_controller.h"
#include "include/route/balancer.h"

namespace {

std::uint64_t allocations = 0;

}  // namespace

// GCC matches the inlined library calls with these operators and warns.
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"

void* operator new(std::size_t size) {
  ++allocations;
  if (void* const memory = std::malloc(size)) {
    return memory;
  }
  throw std::bad_alloc();
}

void operator delete(void* memory) noexcept {
  std::free(memory);
}

void operator delete(void* memory, std::size_t) noexcept {
  std::free(memory);
}

namespace pistachioweir {
namespace {

constexpr std::uint32_t kSlots = 140;
constexpr std::uint32_t kMethods = 8;

balancer MakeBalancer(std::uint32_t targets, time_point now) {
  balancer chooser({.data_centre = "dc-0", .methods = kMethods});
  std::vector<target_info> list;
  for (std::uint32_t i = 0; i < targets; ++i) {
    list.push_back({.vm = "vm-" + std::to_string(i),
                    .data_centre = "dc-" + std::to_string(i % 3)});
  }
  chooser.SetTargets(list, now);
  return chooser;
}

// One iteration places a call, offers it to a queue of `known` calls, finishes
// the oldest running one and starts the next.
void BM_AdmitAndPlace(benchmark::State& state) {
  const auto known = static_cast<std::uint32_t>(state.range(0));
  time_point now{seconds(1000)};
  balancer chooser = MakeBalancer(3, now);
  admission_controller controller(
      {.slots = kSlots, .methods = kMethods, .max_queue = known + 8});
  std::vector<admission_handle> running;
  running.reserve(kSlots);
  std::mt19937_64 random(1);
  admission_request request{.level = priority::kNormal,
                            .deadline = now + std::chrono::hours(1)};
  for (std::uint32_t i = 0; i < known + kSlots; ++i) {
    const auto decision = controller.Offer(request, now, 0);
    if (decision.action == admission_action::kRun) {
      running.push_back(decision.handle);
    }
  }
  std::size_t oldest = 0;
  const std::uint64_t before = allocations;
  for (auto _ : state) {
    now += microseconds(10);
    const std::uint64_t bits = random();
    request.method = bits % kMethods;
    request.deadline = now + std::chrono::hours(1);
    const placement_request call{.method = request.method};
    const placement placed = chooser.Place(call, now, bits);
    benchmark::DoNotOptimize(controller.Offer(request, now, bits));
    controller.Finish(running[oldest], {}, now);
    if (const auto next = controller.TakeNext(now, bits)) {
      running[oldest] = next->decision.handle;
    }
    oldest = (oldest + 1) % running.size();
    const load_report report = controller.Report(request.method, now);
    chooser.Finish(placed.target, request.method, call_result::kAnswered,
                   milliseconds(10), &report, now);
  }
  state.counters["allocations"] = benchmark::Counter(
      static_cast<double>(allocations - before), benchmark::Counter::kDefaults);
  state.counters["queued"] = controller.queued();
}
BENCHMARK(BM_AdmitAndPlace)->Arg(0)->Arg(100)->Arg(1000)->Arg(20000);

void BM_Place(benchmark::State& state) {
  const time_point now{seconds(1000)};
  balancer chooser =
      MakeBalancer(static_cast<std::uint32_t>(state.range(0)), now);
  std::mt19937_64 random(1);
  for (auto _ : state) {
    const placement placed = chooser.Place({}, now, random());
    chooser.Finish(placed.target, 0, call_result::kCancelled, {}, nullptr, now);
  }
}
BENCHMARK(BM_Place)->Arg(3)->Arg(18)->Arg(200);

}  // namespace
}  // namespace pistachioweir
