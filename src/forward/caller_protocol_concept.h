// caller_protocol: concept that a protocol towards callers must satisfy.
#pragma once

#include <concepts>

#include "include/base/time.h"
#include "src/forward/relayed_call.h"
#include "src/net/http_reader.h"

namespace pistachioweir {

// A platform's protocol between callers and the daemon, over HTTP/1.1.
template <typename Protocol>
concept caller_protocol = requires(read_request request,
                                   time_point now,
                                   const relayed_result& r,
                                   int status) {
  // Converts a received request to a call.
  { Protocol::Decode(std::move(request), now) } -> std::same_as<relayed_call>;
  // The daemon's own response to a call that was not completed.
  { Protocol::Encode(r) } -> std::same_as<relayed_response>;
  // Whether callers take a response with this status as the promise that the
  // request has not run and never will.
  { Protocol::PromisesNotExecuted(status) } -> std::same_as<bool>;
};

}  // namespace pistachioweir
