// caller_mix: tells from where calls come whether they are made by targets.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace pistachioweir {

// Calls that targets make while they serve look like those of callers outside:
// both come over the daemon of their VM, and nothing in them tells. But callers
// outside sit on all VMs, whatever runs there, while a target's calls come only
// from VMs of the service that makes them. So calls of one kind that nearly all
// come from one service are made by its targets.
//
// Where a deployment has a single service, everything looks so; nothing is then
// treated as work of callers, which errs on the side of serving it.
//
// Pure logic; the owner keeps one for each kind of work.
class caller_mix {
 public:
  // Calls needed before anything is concluded.
  static constexpr std::uint32_t kMinCalls = 20;
  // Calls after which older ones count half, so that a route that is given to
  // other callers is noticed.
  static constexpr std::uint32_t kMaxCalls = 1000;
  // Share of the most frequent service from which on its targets make the
  // calls. With three services or more, callers outside give each a third.
  static constexpr double kMinShare = 0.8;

  void Add(std::string_view service);
  [[nodiscard]] bool IsMadeByTargets() const;

 private:
  std::unordered_map<std::string, std::uint32_t> counts_;  // By service.
  std::uint32_t total_ = 0;
};

}  // namespace pistachioweir
