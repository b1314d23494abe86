// process_load: memory, connections and event loop delay of the process.
#pragma once

#include <cstddef>

#include "include/base/time.h"
#include "include/memory/memory_budget.h"
#include "src/peer/stream_load.h"

namespace pistachioweir {

struct process_load {
  duration lag{0};             // Delay of the event loop's timers.
  std::size_t heap_bytes = 0;  // In use, by the C library's allocator.
  stream_load links;           // To daemons that this one has called.
  stream_load sessions;        // Of daemons that have called this one.
  std::size_t callers = 0;     // Connections.
  std::size_t caller_bytes = 0;
  // Held by use, of the memory_budget.
  memory_budget::bytes_by_use held{};
  // Reservations that didn't fit, likewise.
  memory_budget::counts_by_use no_room{};
  std::size_t calls = 0;         // Callers' requests in progress.
  std::size_t runs = 0;          // Calls at the target beside this daemon.
  std::size_t answer_bytes = 0;  // Kept until their senders settle them.
};

// Bytes allocated from the C library's allocator.
[[nodiscard]] std::size_t HeapBytes();

// Has the allocator give large blocks back to the kernel as soon as they are
// freed. By default it keeps blocks of sizes that were freed before, and the
// process stays as large as the bodies that it once held.
void ReturnLargeBlocks();

// Whether the lag or the heap exceeds what a daemon normally needs.
[[nodiscard]] bool ExceedsThresholds(const process_load& load);

void LogProcessLoad(const process_load& load);

}  // namespace pistachioweir
