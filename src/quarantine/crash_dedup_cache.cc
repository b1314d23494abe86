// Deduplication of received crashes.
#include "include/quarantine/crash_dedup_cache.h"

#include <xxhash.h>

#include <array>
#include <utility>

namespace pistachioweir {
namespace {

std::uint64_t HashOf(const request_fingerprint& request, crash_id crash) {
  const std::array<std::uint64_t, 3> parts{request.high, request.low,
                                           static_cast<std::uint64_t>(crash)};
  return XXH3_64bits(parts.data(), sizeof(parts));
}

}  // namespace

dedup_result crash_dedup_cache::Add(const request_fingerprint& request,
                                    crash_id crash,
                                    time_point now) {
  RotateGenerations(now);
  const std::uint64_t hash = HashOf(request, crash);
  if (previous_.contains(hash) || current_.contains(hash)) {
    return dedup_result::kDuplicate;
  }
  if (current_.size() >= options_.max_entries) {
    return dedup_result::kFull;
  }
  current_.insert(hash);
  return dedup_result::kNew;
}

void crash_dedup_cache::RotateGenerations(time_point now) {
  if (now - generation_start_ < options_.retention) {
    return;
  }
  const bool both_expired = now - generation_start_ >= 2 * options_.retention;
  previous_ = both_expired ? std::unordered_set<std::uint64_t>()
                           : std::exchange(current_, {});
  current_.clear();
  generation_start_ = now;
}

}  // namespace pistachioweir
