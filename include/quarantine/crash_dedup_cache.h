// crash_dedup_cache: remembers which crashes of which requests a daemon has
// received.
#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_set>

#include "include/base/time.h"
#include "include/once/fingerprint.h"
#include "include/quarantine/quarantine.h"

namespace pistachioweir {

struct crash_dedup_options {
  // Longer than daemons publish a crash, which they do for the period of its
  // quarantine.
  milliseconds retention{120000};
  // Maximum number of (request, crash) pairs added within `retention`.
  std::size_t max_entries = 16384;
};

enum class dedup_result : std::uint8_t {
  kNew,
  kDuplicate,  // Received within the retention.
  // The cache is full: the pair may be a duplicate. It is not stored and must
  // not be forwarded.
  kFull,
};

// Deduplicates received crashes. Daemons forward what they receive for the
// first time, so each crash arrives in many copies. Forwarding terminates only
// if a crash is remembered for as long as copies of it may arrive. The
// quarantine state of the request cannot serve as this memory: it changes as
// the request is suspected, cleared and suspected again, and other requests
// take over its slots. With it, a delayed daemon forwarded old copies as new
// ones, and so did the daemons that received them, without end.
//
// Pure logic; the owner keeps one beside its quarantine.
class crash_dedup_cache {
 public:
  explicit crash_dedup_cache(const crash_dedup_options& options = {})
      : options_(options) {}

  dedup_result Add(const request_fingerprint& request,
                   crash_id crash,
                   time_point now);

 private:
  void RotateGenerations(time_point now);

  const crash_dedup_options options_;
  // Hashes of request and crash: those added since `generation_start_`, and
  // those of the generation before. At most `max_entries` each.
  std::unordered_set<std::uint64_t> current_;
  std::unordered_set<std::uint64_t> previous_;
  time_point generation_start_;
};

}  // namespace pistachioweir
