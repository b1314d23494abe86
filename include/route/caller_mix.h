// caller_mix: infers from the origin of calls whether targets make them.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace pistachioweir {

// Nested calls made by targets look like those of outside callers: both arrive
// through the daemon of their VM, and their contents don't differ. But outside
// callers use all VMs, whatever runs there, while a target's calls come only
// from VMs of the service that makes them. So calls of one kind that nearly all
// come from one service are attributed to its targets.
//
// In a deployment with a single service, all calls look nested and none are
// treated as outside calls, which errs on the side of serving them.
//
// Pure logic; the owner keeps one for each kind of calls.
class caller_mix {
 public:
  // Minimum number of calls before anything is concluded.
  static constexpr std::uint32_t kMinCalls = 20;
  // Number of calls after which all counts are halved, so that the estimate
  // adapts when a route is opened to other callers.
  static constexpr std::uint32_t kMaxCalls = 1000;
  // Minimum share of the most frequent service for its targets to be considered
  // the callers. With three services or more, outside callers give each a
  // third.
  static constexpr double kMinShare = 0.8;

  void Add(std::string_view service);
  [[nodiscard]] bool IsMadeByTargets() const;

 private:
  std::unordered_map<std::string, std::uint32_t> counts_;  // By service.
  std::uint32_t total_ = 0;
};

}  // namespace pistachioweir
