// running_requests: the requests that run at the target beside the daemon, and
// which of them a call that the target makes belongs to.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "include/base/time.h"
#include "include/lineage/call_lineage.h"

namespace pistachioweir {

struct running_request {
  std::string id;
  time_point deadline;  // That the target was given.
  std::uint32_t rank = 0;
  bool has_precedence = false;
  std::uint8_t ticket = 0;
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

  running_requests() = default;
  // A copy would point into the original.
  running_requests(const running_requests&) = delete;
  running_requests& operator=(const running_requests&) = delete;
  running_requests(running_requests&&) = default;
  running_requests& operator=(running_requests&&) = default;
  ~running_requests() = default;

  // `key` identifies the request until Erase(), and isn't kNoParent.
  void Insert(std::uint64_t key, running_request request);
  void Erase(std::uint64_t key);

  // The running request whose id, followed by a dot, begins `call_id`; the
  // longest of several ids. Targets number their calls this way. Several runs
  // with one id, as of a request that was sent twice or whose caller reuses
  // ids, are ambiguous.
  [[nodiscard]] parent_match FindById(std::string_view call_id) const;
  // By the deadline of a call that is known to be made by targets.
  [[nodiscard]] parent_match FindByDeadline(time_point deadline) const;

  [[nodiscard]] const running_request* Find(std::uint64_t key) const;
  [[nodiscard]] std::size_t size() const { return requests_.size(); }

 private:
  using request_map = std::unordered_map<std::uint64_t, running_request>;
  using entry = request_map::value_type;  // Its address is stable.

  // What a search by deadline reads of each request, side by side: it may pass
  // over all of them for each call.
  struct deadline_entry {
    time_point deadline;
    const entry* request = nullptr;
    std::uint32_t rank = 0;
    bool has_precedence = false;
    bool in_repeat = false;
  };

  // What all of several possible parents have.
  struct common_facts {
    const entry* least = nullptr;  // First of the least important ones.
    bool has_precedence = true;
    bool in_repeat = false;

    void Add(const deadline_entry& other);
    [[nodiscard]] parent_match Match() const;
  };

  [[nodiscard]] static deadline_entry EntryOf(const entry& request);
  [[nodiscard]] static parent_match MatchOf(const entry& request,
                                            lineage_evidence evidence);

  request_map requests_;
  // The views point into `requests_`, each to the id of its own request.
  std::unordered_multimap<std::string_view, const entry*> by_id_;
  std::vector<deadline_entry> by_deadline_;  // In order of the deadlines.
};

}  // namespace pistachioweir
