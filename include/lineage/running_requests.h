// running_requests: the requests that run at the target beside the daemon, and
// which of them a call that the target makes belongs to.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

#include "include/base/time.h"
#include "include/lineage/call_lineage.h"

namespace pistachioweir {

struct running_request {
  std::string id;
  time_point deadline;  // That the target was given.
  std::uint32_t rank = 0;
  bool has_precedence = false;
  std::uint8_t ticket = 0;
  bool is_idempotent = false;
  call_lineage lineage;
};

// The request that a call belongs to, and what the call inherits from it.
struct parent_match {
  static constexpr std::uint64_t kNoParent = 0;

  lineage_evidence evidence = lineage_evidence::kNone;
  std::uint64_t parent = kNoParent;  // Key of the only possible one.
  std::uint32_t rank = 0;
  bool has_precedence = false;
  std::uint8_t ticket = 0;
  call_lineage lineage;  // Of the call.

  [[nodiscard]] bool found() const {
    return evidence != lineage_evidence::kNone;
  }
};

// For an overload of a service at the end of a call chain: it can serve the
// most important requests first only if it knows which requests its calls are
// made for. A target's call doesn't say so, and a caller could claim anything.
// So the evidence counts only against requests that run at the same target at
// that moment, and where several are possible, the call is taken for one of the
// least important.
//
// Pure logic; the executor keeps one.
class running_requests {
 public:
  // A call expires with its parent. Its deadline passes through two headers in
  // whole milliseconds.
  static constexpr milliseconds kDeadlineTolerance{2};
  // Longer ids, or ids with more separators, are not searched for a parent's.
  static constexpr std::size_t kMaxIdLength = 256;
  static constexpr std::size_t kMaxSeparators = 16;

  // `key` identifies the request until Erase(), and isn't kNoParent.
  void Insert(std::uint64_t key, running_request request);
  void Erase(std::uint64_t key);

  // The running request whose id, followed by a dot, begins `call_id`; the
  // longest of several. Targets number their calls this way.
  [[nodiscard]] parent_match FindById(std::string_view call_id) const;
  // By the deadline of a call that is known to be made by targets.
  [[nodiscard]] parent_match FindByDeadline(time_point deadline) const;

  [[nodiscard]] const running_request* Find(std::uint64_t key) const;
  [[nodiscard]] std::size_t size() const { return requests_.size(); }

 private:
  using deadline_map = std::multimap<time_point, std::uint64_t>;

  [[nodiscard]] parent_match MatchOf(std::uint64_t key,
                                     lineage_evidence evidence) const;
  // What all of the requests in [first, last) have.
  [[nodiscard]] parent_match Common(deadline_map::const_iterator first,
                                    deadline_map::const_iterator last) const;

  std::unordered_map<std::uint64_t, running_request> requests_;
  // The views point into `requests_`. Of several runs with one id, the last.
  std::unordered_map<std::string_view, std::uint64_t> by_id_;
  deadline_map by_deadline_;
};

}  // namespace pistachioweir
