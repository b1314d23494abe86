// Non-blocking writing of lines.
#include "src/base/log_buffer.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>

namespace pistachioweir {
namespace {

// What a pipe takes whole.
constexpr std::size_t kPiece = 4096;

std::uint64_t CountLines(std::string_view lines) {
  return static_cast<std::uint64_t>(std::ranges::count(lines, '\n'));
}

}  // namespace

log_buffer::log_buffer(int descriptor, std::size_t max_bytes)
    : descriptor_(descriptor), max_bytes_(max_bytes) {
  const int flags = fcntl(descriptor, F_GETFL);
  if (flags >= 0) {
    // If it is refused, writes may block: the log is then slower, not wrong.
    [[maybe_unused]] const int ignored =
        fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
  }
}

bool log_buffer::Add(std::string_view lines) {
  const std::lock_guard lock(mutex_);
  const bool was_empty = bytes_.empty();
  if (bytes_.size() + lines.size() > max_bytes_) {
    dropped_ += CountLines(lines);
    return false;
  }
  NoteDropped();
  bytes_.append(lines);
  return was_empty;
}

void log_buffer::NoteDropped() {
  if (dropped_ == dropped_told_) {
    return;
  }
  bytes_.append("level=WARNING event=log_lines_dropped count=")
      .append(std::to_string(dropped_ - dropped_told_))
      .append(" since_start=")
      .append(std::to_string(dropped_))
      .append("\n");
  dropped_told_ = dropped_;
}

void log_buffer::Flush() {
  const std::lock_guard lock(mutex_);
  Write();
}

void log_buffer::TryFlush() {
  const std::unique_lock lock(mutex_, std::try_to_lock);
  if (lock) {
    Write();
  }
}

void log_buffer::Write() {
  std::size_t written = 0;
  while (written < bytes_.size()) {
    const ssize_t count =
        write(descriptor_, bytes_.data() + written, NextPiece(written));
    if (count <= 0) {
      break;  // Full, or nobody reads any more; the rest waits.
    }
    written += static_cast<std::size_t>(count);
  }
  bytes_.erase(0, written);
}

// Whole lines of at most kPiece bytes: collectors are known that cut what is
// written in larger pieces.
std::size_t log_buffer::NextPiece(std::size_t begin) const {
  const std::size_t left = bytes_.size() - begin;
  if (left <= kPiece) {
    return left;
  }
  const std::size_t end = bytes_.rfind('\n', begin + kPiece - 1);
  return end == bytes_.npos || end < begin ? kPiece : end + 1 - begin;
}

std::uint64_t log_buffer::dropped() const {
  const std::lock_guard lock(mutex_);
  return dropped_;
}

std::size_t log_buffer::waiting() const {
  const std::lock_guard lock(mutex_);
  return bytes_.size();
}

}  // namespace pistachioweir
