// crash_dedup_cache: which crashes of which requests a daemon has been told of.
#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_set>

#include "include/base/time.h"
#include "include/once/fingerprint.h"
#include "include/quarantine/quarantine.h"

namespace pistachioweir {

struct crash_dedup_options {
  // Longer than daemons tell of a crash, which they do for the period of its
  // quarantine.
  milliseconds retention{120000};
  // Crashes of requests within `memory`.
  std::size_t max_entries = 16384;
};

enum class dedup_result : std::uint8_t {
  kNew,
  kDuplicate,  // It was told within the memory.
  kFull,  // It may have been; it isn't remembered, and must not be passed on.
};

// Daemons pass on what they hear for the first time, so many copies come of
// each. Telling ends only if nothing is forgotten while
// copies of it may come. What is known of a request doesn't serve: it changes
// as the request is suspected, cleared and suspected again, and its places are
// taken by other requests. A daemon that was late then passed old copies on as
// news, and so did those that it told, without end.
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
  // Hashes of request and crash: those that were added since
  // `generation_start_`, and for as long before that. At most `most` each.
  std::unordered_set<std::uint64_t> current_;
  std::unordered_set<std::uint64_t> previous_;
  time_point generation_start_;
};

}  // namespace pistachioweir
