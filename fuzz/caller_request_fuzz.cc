// Fuzzes a caller's request: any path, query and headers become a call, a
// request for keys, or a refusal that says that nothing ran.
#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>
#include <variant>

#include "src/daemon/caller_protocol.h"

namespace pistachioweir {
namespace {

// Takes the next line off `text`.
std::string TakeLine(std::string_view* text) {
  const std::size_t end = std::min(text->find('\n'), text->size());
  const std::string line(text->substr(0, end));
  text->remove_prefix(std::min(end + 1, text->size()));
  return line;
}

// The first two lines are path and query, each further one a header's value.
http_request ToRequest(std::string_view text) {
  http_request request;
  request.path = TakeLine(&text);
  request.query = TakeLine(&text);
  for (const char* name :
       {"Pw-Timeout-Ms", "Idempotency-Key", "Pw-Context", "Pw-Call-Label"}) {
    if (!text.empty()) {
      request.headers.push_back({.name = name, .value = TakeLine(&text)});
    }
  }
  request.body = std::string(text);
  return request;
}

void CheckRequest(std::string_view text) {
  const caller_request parsed = ParseCallerRequest(ToRequest(text));
  if (const auto* error = std::get_if<caller_error>(&parsed)) {
    const http_response answer = RenderOutcome(error->refusal, error->detail);
    if (error->refusal.kind != outcome_kind::kNotExecuted ||
        answer.status < 400) {
      std::abort();
    }
  }
  if (const auto* call = std::get_if<caller_call>(&parsed)) {
    const bool negative = call->timeout && call->timeout->count() < 0;
    if (call->service.empty() || call->method.empty() || negative) {
      std::abort();
    }
  }
  if (const auto* keys = std::get_if<caller_key_request>(&parsed)) {
    if (keys->count == 0 || keys->count > kMaxKeysPerRequest) {
      std::abort();
    }
  }
}

}  // namespace
}  // namespace pistachioweir

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  pistachioweir::CheckRequest({reinterpret_cast<const char*>(data), size});
  return 0;
}
