// refusal_log: for each method, how often and why calls were not completed, and
// the last of them in detail. `pistachioweir explain` reads it.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "include/audit/audit_log.h"
#include "include/base/ids.h"
#include "include/base/outcome.h"
#include "include/base/priority.h"
#include "include/base/time.h"

namespace pistachioweir {

// One call that was not completed, as its caller was told.
struct refusal {
  wall_time at{};
  outcome_kind kind = outcome_kind::kNotExecuted;
  reason why = reason::kNone;
  milliseconds retry_after{0};
  priority level = priority::kNormal;
  vm_id vm;  // The VM whose daemon decided.
  // State of that daemon at the decision.
  std::uint32_t admission_level = 0;
  std::uint32_t queued = 0;
  std::uint32_t limit = 0;
};

struct refusal_history {
  std::array<std::uint64_t, kReasonCount> counts{};  // By reason, since start.
  std::vector<refusal> last;                         // Oldest first.
};

// Bounded in methods and in refusals a method. Thread-safe, in shards by
// method, because in an overload most calls pass here.
class refusal_log {
 public:
  static constexpr std::size_t kShards = 16;
  static constexpr std::size_t kMaxMethodsPerShard = 64;
  static constexpr std::size_t kLastPerMethod = 16;

  // Calls of an unknown service or method are kept under empty names: they are
  // whatever a caller sends, and would fill the table with it.
  void Add(std::string_view service,
           std::string_view method,
           const refusal& what);

  // What is known of one method; empty if none of its calls were refused.
  [[nodiscard]] refusal_history Find(std::string_view service,
                                     std::string_view method) const;

 private:
  struct history {
    std::array<std::uint64_t, kReasonCount> counts{};
    // A ring: the oldest entry is at `next` once it is full.
    std::vector<refusal> ring;
    std::size_t next = 0;
  };

  // Compared without building strings.
  struct method_name_less {
    using is_transparent = void;
    template <typename A, typename B>
    bool operator()(const A& a, const B& b) const {
      return std::pair<std::string_view, std::string_view>(a) <
             std::pair<std::string_view, std::string_view>(b);
    }
  };

  struct alignas(64) shard {
    mutable std::mutex mutex;
    // By service and method; at most kMaxMethodsPerShard.
    std::map<std::pair<std::string, std::string>, history, method_name_less>
        methods;
  };

  [[nodiscard]] static std::size_t ShardOf(std::string_view service,
                                           std::string_view method);

  std::array<shard, kShards> shards_;
};

}  // namespace pistachioweir
