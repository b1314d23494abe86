// caller_protocol: what a protocol towards callers must offer.
#pragma once

#include <concepts>

#include "include/base/time.h"
#include "src/forward/relayed_call.h"
#include "src/net/http_reader.h"

namespace pistachioweir {

// How one platform's callers speak to the daemon, over HTTP/1.1.
template <typename Protocol>
concept caller_protocol = requires(read_request request,
                                   time_point now,
                                   const relayed_result& r) {
  // A request as it came, as a call.
  { Protocol::Decode(std::move(request), now) } -> std::same_as<relayed_call>;
  // The answer of the daemon itself; only for what isn't completed.
  { Protocol::Encode(r) } -> std::same_as<relayed_response>;
};

}  // namespace pistachioweir
