// request_payload and answer_payload: the bodies that the load tool sends and
// the targets' stand-ins answer. They carry the root request down the chain,
// and a checksum by which a mixed or cut answer is noticed.
#pragma once

#include <optional>
#include <string>

namespace pistachioweir::standin {

struct request_payload {
  std::string root;   // The root request, the same at every depth.
  std::string path;   // The call within the tree, as "contracts.sign/...".
  std::string crash;  // Service whose target crashes on this request.
};

struct answer_payload {
  std::string root;
  std::string path;
  std::string vm;
  std::string padding;
};

[[nodiscard]] std::string ToBody(const request_payload& payload);
[[nodiscard]] std::string ToBody(const answer_payload& payload);

[[nodiscard]] std::optional<request_payload> ParseRequestPayload(
    const std::string& body);

// Nothing if `body` isn't one whole answer as it was made.
[[nodiscard]] std::optional<answer_payload> ParseAnswerPayload(
    const std::string& body);

}  // namespace pistachioweir::standin
