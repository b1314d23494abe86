// Logging of the process's load.
#include "src/forward/process_load.h"

#include <malloc.h>

#include <string>

#include "include/base/log.h"

namespace pistachioweir {
namespace {

// Memory that a daemon may use for control data.
constexpr std::size_t kMaxHeapBytes = 32 << 20;
// Longer than the usual stalls on a machine with a shared processor.
constexpr milliseconds kMaxLag{100};

}  // namespace

std::size_t HeapBytes() {
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

void ReturnLargeBlocks() {
  constexpr int kLargeBlock = 512 << 10;
  // Once the threshold is set, the allocator no longer adapts how much it keeps
  // free at the end of the heap; its 128 KiB would be taken anew in each burst.
  constexpr int kMaxFreeAtEnd = 8 << 20;
  mallopt(M_MMAP_THRESHOLD, kLargeBlock);
  mallopt(M_TRIM_THRESHOLD, kMaxFreeAtEnd);
}

bool ExceedsThresholds(const process_load& load) {
  return load.lag > kMaxLag || load.heap_bytes > kMaxHeapBytes;
}

void LogProcessLoad(const process_load& load) {
  const auto text = [](auto count) { return std::to_string(count); };
  LogWarning(
      "strained",
      {{.name = "lag_ms", .value = text(ToMilliseconds(load.lag).count())},
       {.name = "heap_bytes", .value = text(load.heap_bytes)},
       {.name = "links", .value = text(load.links.open)},
       {.name = "links_unnamed", .value = text(load.links.unnamed)},
       {.name = "links_unsent", .value = text(load.links.unsent_bytes)},
       {.name = "links_most", .value = text(load.links.most_unsent_bytes)},
       {.name = "links_unread", .value = text(load.links.unread_bytes)},
       {.name = "sessions", .value = text(load.sessions.open)},
       {.name = "sessions_unnamed", .value = text(load.sessions.unnamed)},
       {.name = "sessions_unsent", .value = text(load.sessions.unsent_bytes)},
       {.name = "sessions_most",
        .value = text(load.sessions.most_unsent_bytes)},
       {.name = "sessions_unread", .value = text(load.sessions.unread_bytes)},
       {.name = "callers", .value = text(load.callers)},
       {.name = "caller_bytes", .value = text(load.caller_bytes)},
       {.name = "calls", .value = text(load.calls)},
       {.name = "runs", .value = text(load.runs)},
       {.name = "answer_bytes", .value = text(load.answer_bytes)}});
}

}  // namespace pistachioweir
