// relayed_call: one request of a caller on its way to a target, and what became
// of it, apart from the protocols on both sides.
#pragma once

#include <functional>
#include <string>

#include "include/base/outcome.h"
#include "include/base/time.h"
#include "src/net/relayed_message.h"

namespace pistachioweir {

struct relayed_call {
  // Names this attempt of the caller; may be empty.
  std::string id;
  std::string host;
  // Of the organisation that the caller acts for; empty if it gave none.
  std::string api_key;
  // The headers that the key came in, as a block; not in `request`.
  std::string credential_headers;
  relayed_request request;
  // How long the caller waits; zero if it doesn't say.
  milliseconds caller_timeout{0};
  time_point received;
};

// What the caller is told.
struct relayed_result {
  outcome_kind kind = outcome_kind::kUnknown;
  reason why = reason::kNone;
  milliseconds retry_after{0};
  relayed_response response;  // Only with kCompleted.
};

using relayed_callback = std::function<void(relayed_result)>;

}  // namespace pistachioweir
