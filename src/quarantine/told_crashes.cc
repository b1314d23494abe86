// Memory of crashes that were told.
#include "include/quarantine/told_crashes.h"

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

told_verdict told_crashes::Add(const request_fingerprint& request,
                               crash_id crash,
                               time_point now) {
  Age(now);
  const std::uint64_t hash = HashOf(request, crash);
  if (older_.contains(hash) || newer_.contains(hash)) {
    return told_verdict::kBefore;
  }
  if (newer_.size() >= options_.most) {
    return told_verdict::kNoRoom;
  }
  newer_.insert(hash);
  return told_verdict::kFirst;
}

void told_crashes::Age(time_point now) {
  if (now - began_ < options_.memory) {
    return;
  }
  const bool both = now - began_ >= 2 * options_.memory;
  older_ =
      both ? std::unordered_set<std::uint64_t>() : std::exchange(newer_, {});
  newer_.clear();
  began_ = now;
}

}  // namespace pistachioweir
