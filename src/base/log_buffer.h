// log_buffer: lines on their way to a descriptor that may not take them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace pistachioweir {

// Made for a reader of the log that has stopped reading: a write that blocks
// would stop every request of the daemon for the sake of its log. The
// descriptor is written without blocking; what it doesn't take waits here, up
// to a bound, and what comes beyond that is dropped and counted. The count is
// itself a line as soon as there is room again.
//
// Thread-safe.
class log_buffer {
 public:
  // `descriptor` stays the caller's.
  log_buffer(int descriptor, std::size_t max_bytes);

  // Takes whole lines, all or none. True if nothing was waiting before.
  bool Add(std::string_view lines);
  // Writes what the descriptor takes now.
  void Flush();
  // The same unless the lock is held.
  void TryFlush();

  [[nodiscard]] std::uint64_t dropped() const;
  [[nodiscard]] std::size_t waiting() const;

 private:
  // With the lock.
  void Write();
  void NoteDropped();
  [[nodiscard]] std::size_t NextPiece(std::size_t begin) const;

  const int descriptor_;
  const std::size_t max_bytes_;
  mutable std::mutex mutex_;
  std::string bytes_;               // At most max_bytes_ and one line.
  std::uint64_t dropped_ = 0;       // Lines, since the start.
  std::uint64_t dropped_told_ = 0;  // Of them, told in a line.
};

}  // namespace pistachioweir
