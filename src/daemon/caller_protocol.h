// The HTTP face of a daemon as pure functions: from a request to the call that
// it asks for, and from an outcome to the answer. No sockets;
// docs/INTERFACES.md is the reference.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "include/base/outcome.h"
#include "include/base/time.h"
#include "src/net/http_message.h"

namespace pistachioweir {

// POST /SERVICE/METHOD
struct caller_call {
  std::string service;
  std::string method;
  std::optional<milliseconds> timeout;  // As asked for, not yet bounded.
  std::optional<std::string> key;       // As sent, not yet checked.
  std::optional<std::string> context;   // Likewise.
  std::string label;                    // Tells equal calls apart.
};

// POST /keys/SERVICE/METHOD?count=N
struct caller_key_request {
  std::string service;
  std::string method;
  std::uint32_t count = 1;
};

inline constexpr std::uint32_t kMaxKeysPerRequest = 256;

// A request that isn't one of the two, with the answer to give.
struct caller_error {
  outcome refusal;
  std::string detail;
};

using caller_request =
    std::variant<caller_call, caller_key_request, caller_error>;

[[nodiscard]] caller_request ParseCallerRequest(const http_request& request);

// `detail` is a sentence for people; `fresh_key` goes with kKeyRequired.
[[nodiscard]] http_response RenderOutcome(outcome result,
                                          const std::string& detail = {},
                                          const std::string& fresh_key = {});

// HTTP status for an answer that the system makes itself.
[[nodiscard]] int StatusOf(const outcome& result);

}  // namespace pistachioweir
