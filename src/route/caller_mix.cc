// Counts of calls by the service of the calling VM.
#include "include/route/caller_mix.h"

#include <algorithm>

namespace pistachioweir {

void caller_mix::Add(std::string_view service) {
  ++counts_[std::string(service)];
  ++total_;
  if (total_ < kMaxCalls) {
    return;
  }
  total_ = 0;
  for (auto& [name, count] : counts_) {
    count /= 2;
    total_ += count;
  }
  std::erase_if(counts_, [](const auto& entry) { return entry.second == 0; });
}

bool caller_mix::IsMadeByTargets() const {
  std::uint32_t max_count = 0;
  for (const auto& [name, count] : counts_) {
    max_count = std::max(max_count, count);
  }
  return total_ >= kMinCalls && max_count >= kMinShare * total_;
}

}  // namespace pistachioweir
