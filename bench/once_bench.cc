// Cost of at-most-once execution: time of each operation with 20,000 keys in
// the table, and memory per key.
#include <benchmark/benchmark.h>
#include <malloc.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "include/call/context_table.h"
#include "include/once/executor_table.h"
#include "include/once/key_codec.h"
#include "include/once/key_home.h"

namespace pistachioweir {
namespace {

constexpr std::size_t kKeys = 20000;
constexpr time_point kStart{};
constexpr milliseconds kLifetime{30000};
constexpr incarnation_id kExecutor{77};

// Heap memory in use by the process, in bytes.
std::size_t HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

outcome ShortAnswer() {
  return Completed({.status = 200,
                    .content_type = "application/json",
                    .body = std::string(200, 'x')});
}

execution_binding Attempt(std::uint64_t sequence) {
  return {.key = {.home = {.vm = "vm-1", .incarnation = incarnation_id{5}},
                  .sequence = sequence},
          .attempt = 1,
          .executor = kExecutor,
          .epoch = epoch_id{1}};
}

executor_table MakeTable() {
  return executor_table({.self = kExecutor,
                         .started = kStart,
                         .max_records = kKeys + 1000,
                         .cancel_reserve = 0,
                         .max_answer_bytes = 64 << 20});
}

key_home MakeHome() {
  return key_home({.self = {.vm = "vm-0", .incarnation = incarnation_id{1}},
                   .max_keys = kKeys,
                   .max_keys_per_caller = kKeys,
                   .max_answer_bytes = 64 << 20});
}

// Runs one key from its issue to its result.
idempotency_key RunOne(key_home& home, const outcome& result) {
  idempotency_key key = home.Issue(1, "10.0.0.1", kLifetime, kStart).keys.at(0);
  home.Begin({.key = key,
              .fingerprint = {.high = 1, .low = key.sequence},
              .waiter = waiter_id{key.sequence},
              .retry_credit = 2},
             kStart);
  const daemon_ref target{.vm = "vm-1", .incarnation = kExecutor};
  home.Placed(key, 1, target, epoch_id{1});
  answer_envelope answer;
  answer.executor = kExecutor;
  answer.result = result;
  home.AttemptAnswered(key, 1, answer, kStart);
  return key;
}

// The table is full of settled keys, so that each new key evicts the oldest.
void BM_HomeWholeExecution(benchmark::State& state) {
  key_home home = MakeHome();
  const outcome result = ShortAnswer();
  const std::size_t before = HeapBytes();
  for (std::size_t i = 0; i < kKeys; ++i) {
    RunOne(home, result);
  }
  state.counters["bytes_per_key"] =
      static_cast<double>(HeapBytes() - before) / kKeys;
  for (auto _ : state) {
    benchmark::DoNotOptimize(RunOne(home, result));
  }
}
BENCHMARK(BM_HomeWholeExecution);

void BM_HomeIssuedKey(benchmark::State& state) {
  for (auto _ : state) {
    key_home home = MakeHome();
    const std::size_t before = HeapBytes();
    benchmark::DoNotOptimize(home.Issue(kKeys, "10.0.0.1", kLifetime, kStart));
    state.counters["bytes_per_key"] =
        static_cast<double>(HeapBytes() - before) / kKeys;
  }
  state.SetItemsProcessed(static_cast<std::int64_t>(kKeys) *
                          state.iterations());
}
BENCHMARK(BM_HomeIssuedKey);

// A caller resends after its answer was lost.
void BM_HomeReplay(benchmark::State& state) {
  key_home home = MakeHome();
  const outcome result = ShortAnswer();
  std::vector<idempotency_key> keys;
  for (std::size_t i = 0; i < kKeys; ++i) {
    keys.push_back(RunOne(home, result));
  }
  std::size_t next = 0;
  for (auto _ : state) {
    const idempotency_key& key = keys[next++ % kKeys];
    benchmark::DoNotOptimize(
        home.Begin({.key = key,
                    .fingerprint = {.high = 1, .low = key.sequence},
                    .waiter = waiter_id{1}},
                   kStart));
  }
}
BENCHMARK(BM_HomeReplay);

void RunOne(executor_table& table,
            std::uint64_t sequence,
            const outcome& result,
            time_point now) {
  execution_binding attempt = Attempt(sequence);
  attempt.epoch = table.epoch();
  table.Accept(attempt, waiter_id{sequence}, now);
  benchmark::DoNotOptimize(table.Start(attempt));
  benchmark::DoNotOptimize(table.Finish(attempt, result, now));
}

// Attempts arrive at a rate that keeps 20,000 records; the mean includes the
// end of an epoch, which removes half of them at once.
void BM_ExecutorWholeAttempt(benchmark::State& state) {
  executor_table table = MakeTable();
  const outcome result = ShortAnswer();
  const std::size_t before = HeapBytes();
  for (std::uint64_t i = 0; i < kKeys; ++i) {
    RunOne(table, i, result, kStart);
  }
  state.counters["bytes_per_key"] =
      static_cast<double>(HeapBytes() - before) / kKeys;
  const duration step = 2 * seconds(30) / kKeys;
  time_point now = kStart + seconds(60);
  std::uint64_t sequence = kKeys;
  for (auto _ : state) {
    now += step;
    table.Tick(now);
    RunOne(table, sequence++, result, now);
  }
  state.counters["records"] = static_cast<double>(table.size());
}
BENCHMARK(BM_ExecutorWholeAttempt);

void BM_ExecutorCopy(benchmark::State& state) {
  executor_table table = MakeTable();
  const outcome result = ShortAnswer();
  for (std::uint64_t i = 0; i < kKeys; ++i) {
    RunOne(table, i, result, kStart);
  }
  std::uint64_t next = 0;
  for (auto _ : state) {
    benchmark::DoNotOptimize(
        table.Accept(Attempt(next++ % kKeys), waiter_id{1}, kStart));
  }
}
BENCHMARK(BM_ExecutorCopy);

void BM_SealKey(benchmark::State& state) {
  const key_codec codec({"a fleet key of thirty-two bytes."});
  const sealed_key key{.key = Attempt(1234567).key, .lifetime = kLifetime};
  for (auto _ : state) {
    benchmark::DoNotOptimize(
        codec.Seal(key, {.service = "contracts", .method = "sign"}));
  }
}
BENCHMARK(BM_SealKey);

void BM_OpenKey(benchmark::State& state) {
  const key_codec codec({"a fleet key of thirty-two bytes."});
  const key_scope scope{.service = "contracts", .method = "sign"};
  const std::string text =
      codec.Seal({.key = Attempt(1234567).key, .lifetime = kLifetime}, scope);
  for (auto _ : state) {
    benchmark::DoNotOptimize(codec.Open(text, scope));
  }
}
BENCHMARK(BM_OpenKey);

// A serving call with one child call, in a table with 1,000 others.
void BM_ContextWholeCall(benchmark::State& state) {
  context_table table({});
  for (std::uint64_t i = 0; i < 1000; ++i) {
    benchmark::DoNotOptimize(table.Begin({.high = i, .low = i}, {}));
  }
  const serving_call call{.service = "contracts",
                          .method = "sign",
                          .deadline = kStart + seconds(1),
                          .retry_credit = 2,
                          .binding = std::nullopt};
  for (auto _ : state) {
    const context_token token = NewContextToken();
    benchmark::DoNotOptimize(table.Begin(token, call));
    const auto child = table.BeginChild(token);
    table.EndChild(token, *child, outcome_kind::kCompleted, 0);
    benchmark::DoNotOptimize(table.End(token));
  }
}
BENCHMARK(BM_ContextWholeCall);

}  // namespace
}  // namespace pistachioweir
