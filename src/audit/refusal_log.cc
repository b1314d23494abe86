// Last refusals of each method.
#include "include/audit/refusal_log.h"

#include <functional>

namespace pistachioweir {

std::size_t refusal_log::ShardOf(std::string_view service,
                                 std::string_view method) {
  const std::hash<std::string_view> hash;
  return (hash(service) * 31 + hash(method)) % kShards;
}

void refusal_log::Add(std::string_view service,
                      std::string_view method,
                      const refusal& what) {
  if (what.why == reason::kUnknownService ||
      what.why == reason::kUnknownMethod) {
    service = {};
    method = {};
  }
  using name = std::pair<std::string_view, std::string_view>;
  shard& home = shards_[ShardOf(service, method)];
  const std::lock_guard lock(home.mutex);
  auto found = home.methods.find(name(service, method));
  if (found == home.methods.end()) {
    if (home.methods.size() >= kMaxMethodsPerShard) {
      return;
    }
    found =
        home.methods.try_emplace({std::string(service), std::string(method)})
            .first;
  }
  history& entry = found->second;
  ++entry.counts[static_cast<std::size_t>(what.why)];
  if (entry.ring.size() < kLastPerMethod) {
    entry.ring.push_back(what);
    return;
  }
  entry.ring[entry.next] = what;
  entry.next = (entry.next + 1) % kLastPerMethod;
}

refusal_history refusal_log::Find(std::string_view service,
                                  std::string_view method) const {
  using name = std::pair<std::string_view, std::string_view>;
  const shard& home = shards_[ShardOf(service, method)];
  const std::lock_guard lock(home.mutex);
  const auto found = home.methods.find(name(service, method));
  if (found == home.methods.end()) {
    return {};
  }
  const history& entry = found->second;
  refusal_history result{.counts = entry.counts, .last = {}};
  result.last.reserve(entry.ring.size());
  for (std::size_t i = 0; i < entry.ring.size(); ++i) {
    result.last.push_back(entry.ring[(entry.next + i) % entry.ring.size()]);
  }
  return result;
}

}  // namespace pistachioweir
