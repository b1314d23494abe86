// call_log: one line for each decision about a request, kept or thinned when
// the request's end is known.
#pragma once

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <unordered_map>

#include "include/base/log.h"
#include "include/base/time.h"

namespace pistachioweir {

struct call_log_options {
  // Of the requests that went well, one in this many keeps its lines. Which
  // ones follows from the request's id, so that all daemons keep the same.
  std::uint32_t keep_one_in = 64;
  // Most bytes of lines of requests in progress; beyond it, requests are not
  // logged until some have ended.
  std::size_t max_bytes = 4 << 20;
};

// Made for people who have to explain one failed request out of millions: the
// lines of requests that fail are all there, and writing those of the others
// would cost more processor time than serving them. Lines are held back until
// the request has ended, then written or dropped.
//
// Used on one thread.
class call_log {
 public:
  explicit call_log(const call_log_options& options) : options_(options) {}

  // Adds a line about the request that `key` names in this daemon.
  void Add(std::uint64_t key,
           std::string_view request_id,
           std::string_view event,
           std::initializer_list<log_field> fields = {});
  // The request has ended. Its lines are written if it failed, or if it is one
  // of those that are kept anyway.
  void End(std::uint64_t key, std::string_view request_id, bool failed);

  // Lines that were dropped for want of room.
  [[nodiscard]] std::uint64_t dropped() const { return dropped_; }

 private:
  const call_log_options options_;
  std::unordered_map<std::uint64_t, std::string> lines_;
  std::size_t bytes_ = 0;  // Of `lines_`.
  std::uint64_t dropped_ = 0;
};

}  // namespace pistachioweir
