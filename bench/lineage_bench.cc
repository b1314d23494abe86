// Cost of finding the request that a target's call belongs to, among as many
// running requests as a large target has slots.
#include <benchmark/benchmark.h>

#include <cstdint>
#include <string>
#include <vector>

#include "include/lineage/running_requests.h"

namespace pistachioweir {
namespace {

constexpr std::uint64_t kRunning = 350;
constexpr time_point kStart{seconds(1000)};
// Ids of callers are about this long.
constexpr std::size_t kIdLength = 32;

std::string IdOf(std::uint64_t key) {
  std::string id = "request-" + std::to_string(key) + "-";
  id.resize(kIdLength, 'x');
  return id;
}

// Each has another deadline.
running_request RequestOf(std::uint64_t key) {
  return {.id = IdOf(key),
          .deadline = kStart + key * milliseconds(10),
          .rank = static_cast<std::uint32_t>(key % 4),
          .lineage = {.root = "rate-quote", .depth = 2}};
}

running_requests Table() {
  running_requests running;
  for (std::uint64_t key = 1; key <= kRunning; ++key) {
    running.Insert(key, RequestOf(key));
  }
  return running;
}

// The call's id has `separators` dots behind its parent's.
void BM_FindById(benchmark::State& state) {
  const running_requests running = Table();
  std::vector<std::string> calls;
  for (std::uint64_t key = 1; key <= kRunning; ++key) {
    calls.push_back(IdOf(key));
    for (int i = 0; i < state.range(0); ++i) {
      calls.back() += ".1";
    }
  }
  std::size_t next = 0;
  for (auto _ : state) {
    benchmark::DoNotOptimize(running.FindById(calls[next]));
    next = (next + 1) % calls.size();
  }
}
BENCHMARK(BM_FindById)->Arg(1)->Arg(running_requests::kMaxSeparators);

// The longest id that is searched, of no running request.
void BM_FindByIdInVain(benchmark::State& state) {
  const running_requests running = Table();
  std::string call(
      running_requests::kMaxIdLength - 2 * running_requests::kMaxSeparators,
      'x');
  for (std::size_t i = 0; i < running_requests::kMaxSeparators; ++i) {
    call += ".1";
  }
  for (auto _ : state) {
    benchmark::DoNotOptimize(running.FindById(call));
  }
}
BENCHMARK(BM_FindByIdInVain);

void BM_FindByDeadline(benchmark::State& state) {
  const running_requests running = Table();
  std::uint64_t key = 0;
  for (auto _ : state) {
    key = key % kRunning + 1;
    benchmark::DoNotOptimize(
        running.FindByDeadline(kStart + key * milliseconds(10)));
  }
}
BENCHMARK(BM_FindByDeadline);

// The call's own timeout is short: all running requests are possible parents.
void BM_FindByDeadlineAmongAll(benchmark::State& state) {
  const running_requests running = Table();
  for (auto _ : state) {
    benchmark::DoNotOptimize(running.FindByDeadline(kStart));
  }
}
BENCHMARK(BM_FindByDeadlineAmongAll);

// One run ends and another starts.
void BM_EraseAndInsert(benchmark::State& state) {
  running_requests running = Table();
  std::uint64_t key = 0;
  for (auto _ : state) {
    ++key;
    running.Erase(key);
    running.Insert(key + kRunning, RequestOf(key + kRunning));
  }
}
BENCHMARK(BM_EraseAndInsert);

}  // namespace
}  // namespace pistachioweir
