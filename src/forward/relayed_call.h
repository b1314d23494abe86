// relayed_call: a caller's request to be forwarded to a target, and its
// outcome, independent of the protocols on both sides.
#pragma once

#include <functional>
#include <string>

#include "include/base/outcome.h"
#include "include/base/time.h"
#include "src/net/relayed_message.h"

namespace pistachioweir {

struct relayed_call {
  // The caller's identifier of this attempt; may be empty.
  std::string id;
  std::string host;
  // API key of the organisation that the caller acts for; empty if none was
  // sent.
  std::string api_key;
  // Raw block of the headers that carried the key; removed from `request`.
  std::string credential_headers;
  relayed_request request;
  // Timeout that the caller sent; zero if none.
  milliseconds caller_timeout{0};
  time_point received;
};

// The outcome reported to the caller.
struct relayed_result {
  outcome_kind kind = outcome_kind::kUnknown;
  reason why = reason::kNone;
  milliseconds retry_after{0};
  relayed_response response;  // Set only for kCompleted.
  // The request may run once only, so that its caller may send it again only if
  // it is known not to have run.
  bool at_most_once = false;
};

using relayed_callback = std::function<void(relayed_result)>;

}  // namespace pistachioweir
