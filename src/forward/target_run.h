// target_run: one request handed to the target beside the daemon, and how that
// ended. What a protocol towards targets must offer.
#pragma once

#include <concepts>
#include <cstdint>
#include <string>

#include "include/base/enum_table.h"
#include "include/base/time.h"
#include "include/route/route_table.h"
#include "src/net/http_reader.h"
#include "src/net/relayed_message.h"

namespace pistachioweir {

struct target_run {
  relayed_request request;
  std::string request_id;
  std::string target_id;  // The start of the target that must run it.
  std::string caller_service;
  std::string organisation;  // That the request is for; may be empty.
  repeat_policy repeats = repeat_policy::kAtMostOnce;
  time_point deadline;
};

// How a run ended. Only the first four are definite.
enum class run_end : std::uint8_t {
  kAnswered,
  kNotExecuted,  // The target says that it hasn't run the request.
  kWrongTarget,  // Another start of the target is there; likewise.
  kNotSent,      // No byte of the request has left.
  kLost,         // The connection ended or made no sense.
  kTimedOut,
  kCancelled,
};

inline constexpr enum_table<run_end, 7> kRunEndNames(
    {"answered", "not_executed", "wrong_target", "not_sent", "lost",
     "timed_out", "cancelled"});

struct run_result {
  run_end end = run_end::kLost;
  relayed_response response;  // With kAnswered.
  // No connection could be opened: nobody listens there.
  bool connection_refused = false;
  // The connection ended before any byte of an answer, as all of a target's
  // do when its process ends.
  bool interrupted = false;
  // With kAnswered: the target ended the connection behind its answer.
  bool closing = false;
};

// What one answer on a target's connection says.
enum class target_answer : std::uint8_t {
  kAnswer,        // To this request.
  kNotExecuted,   // Likewise; the request hasn't run.
  kWrongTarget,   // Likewise, since another target was meant.
  kOtherRequest,  // A late or second answer to a request of before.
};

// How one platform speaks to targets, over HTTP/1.1.
template <typename Protocol>
concept target_protocol = requires(const target_run& run,
                                   milliseconds left,
                                   const read_response& r) {
  // Headers besides the caller's own, as a block.
  { Protocol::Headers(run, left) } -> std::same_as<std::string>;
  { Protocol::Classify(run, r) } -> std::same_as<target_answer>;
};

}  // namespace pistachioweir
