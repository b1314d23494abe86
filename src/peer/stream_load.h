// stream_load: how many connections to other daemons there are, and what waits
// on them.
#pragma once

#include <algorithm>
#include <cstddef>

namespace pistachioweir {

struct stream_load {
  std::size_t open = 0;
  // Connected, but without a hello or welcome yet.
  std::size_t unnamed = 0;
  std::size_t unsent_bytes = 0;
  std::size_t most_unsent_bytes = 0;  // Of one connection.
  std::size_t unread_bytes = 0;       // Of frames that have come in part.

  void Add(const stream_load& other) {
    open += other.open;
    unnamed += other.unnamed;
    unsent_bytes += other.unsent_bytes;
    most_unsent_bytes = std::max(most_unsent_bytes, other.most_unsent_bytes);
    unread_bytes += other.unread_bytes;
  }
};

}  // namespace pistachioweir
