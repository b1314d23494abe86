// target_run: one request sent to the target beside the daemon, and its result.
// Also the concept that a protocol towards targets must satisfy.
#pragma once

#include <concepts>
#include <cstdint>
#include <string>

#include "include/base/enum_table.h"
#include "include/base/time.h"
#include "include/forward/target_notice.h"
#include "include/route/route_table.h"
#include "src/net/http_reader.h"
#include "src/net/relayed_message.h"

namespace pistachioweir {

struct target_run {
  relayed_request request;
  std::string request_id;
  std::string target_id;  // The instance of the target that must run it.
  std::string caller_service;
  std::string organisation;  // On whose behalf; may be empty.
  repeat_policy repeats = repeat_policy::kAtMostOnce;
  time_point deadline;
};

// How a run ended. Only the first four tell for certain whether it ran.
enum class run_end : std::uint8_t {
  kAnswered,
  kNotExecuted,  // The target reports that it hasn't run the request.
  kWrongTarget,  // Not run: another instance of the target answers.
  kNotSent,      // No byte of the request was sent.
  kLost,         // The connection ended or the response was malformed.
  kTimedOut,
  kCancelled,
};

inline constexpr enum_table<run_end, 7> kRunEndNames(
    {"answered", "not_executed", "wrong_target", "not_sent", "lost",
     "timed_out", "cancelled"});

struct run_result {
  run_end end = run_end::kLost;
  relayed_response response;  // With kAnswered.
  // The connection was refused: no process listens on the port.
  bool connection_refused = false;
  // The connection ended before any byte of a response, as all connections of
  // a target do when its process ends.
  bool interrupted = false;
  // With kLost: why the response was refused; kNone if it was cut.
  read_problem problem = read_problem::kNone;
  // With kAnswered: the target closes the connection after its response.
  bool closing = false;
  // With kAnswered and kNotExecuted: what the target says about itself.
  target_notice notice;
  // The connection's number; answers to other requests that came on it before
  // this run ended.
  std::uint64_t connection = 0;
  std::uint32_t stray_answers = 0;
};

// Classification of a response on a target's connection.
enum class target_answer : std::uint8_t {
  kAnswer,        // A response to this request.
  kNotExecuted,   // Same, and the request hasn't run.
  kWrongTarget,   // Same, because another target was addressed.
  kOtherRequest,  // A late or duplicate response to an earlier request.
  // May be a response to this request or to an earlier one.
  kUnattributable,
  // A success without the proof that the platform asks for: callers must not
  // take it for one, and the request may have run.
  kUnproven,
};

// A platform's protocol towards targets, over HTTP/1.1.
template <typename Protocol>
concept target_protocol = requires(const target_run& run,
                                   milliseconds left,
                                   const read_response& r,
                                   bool first) {
  // Headers to add to the caller's own, as a block.
  { Protocol::Headers(run, left) } -> std::same_as<std::string>;
  // `first` if the connection has carried no other request.
  { Protocol::Classify(run, r, first) } -> std::same_as<target_answer>;
  // What the target says about itself in a response.
  { Protocol::Notice(r) } -> std::same_as<target_notice>;
};

}  // namespace pistachioweir
