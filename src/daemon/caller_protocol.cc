// Parsing and rendering of the callers' HTTP.
#include "src/daemon/caller_protocol.h"

#include <json/json.h>

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace pistachioweir {
namespace {

// Names end up in metrics and tables, so they are kept short.
constexpr std::size_t kMaxNameSize = 128;
constexpr std::size_t kMaxTokenSize = 512;

constexpr int kBadGateway = 502;
constexpr int kGatewayTimeout = 504;

// Of refusals, indexed by reason.
constexpr std::array<int, kReasonCount> kStatuses = {
    200,  // kNone
    400,  // kBadRequest
    413,  // kTooLarge
    404,  // kUnknownService
    404,  // kUnknownMethod
    428,  // kKeyRequired
    422,  // kBadKey
    410,  // kKeyExpired
    409,  // kUnknownContext
    503,  // kNotReady
    503,  // kDraining
    503,  // kNoTarget
    404,  // kNoRoute
    401,  // kUnauthenticated
    503,  // kKeysUnconfirmed
    429,  // kOverQuota
    503,  // kWrongTarget
    503,  // kOverload
    503,  // kWasted
    503,  // kQueueFull
    408,  // kDeadlinePassed
    503,  // kDeadlineInfeasible
    503,  // kTableFull
    503,  // kQuarantined
    499,  // kCancelled
    503,  // kTargetRefused
    504,  // kTimeout
    502,  // kConnectionLost
    502,  // kTargetFailed
    502,  // kHomeUnreachable
    502,  // kAnswerDiscarded
    502,  // kStale
    503,  // kRateLimited
};
// A reason that is new in the enum alone would shift all behind it.
static_assert(kStatuses.back() != 0);

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
}

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameSize &&
         std::ranges::all_of(text, IsNameCharacter);
}

// Splits "/a/b/c" at the slashes; nothing if a part isn't a name.
std::optional<std::vector<std::string>> SplitPath(std::string_view path) {
  std::vector<std::string> parts;
  while (!path.empty()) {
    if (path.front() != '/') {
      return std::nullopt;
    }
    path.remove_prefix(1);
    const std::string_view part = path.substr(0, path.find('/'));
    if (!IsName(part)) {
      return std::nullopt;
    }
    parts.emplace_back(part);
    path.remove_prefix(part.size());
  }
  return parts;
}

caller_error Error(reason why, std::string detail) {
  return {.refusal = NotExecuted(why), .detail = std::move(detail)};
}

std::optional<std::string> TokenHeader(const http_request& request,
                                       std::string_view name) {
  const auto value = FindHeader(request.headers, name);
  if (!value) {
    return std::nullopt;
  }
  return std::string(*value);
}

caller_request ParseKeyRequest(const http_request& request,
                               std::string service,
                               std::string method) {
  caller_key_request keys{.service = std::move(service),
                          .method = std::move(method)};
  const auto count = FindParameter(request.query, "count");
  if (!count) {
    return keys;
  }
  const auto number = ParseNumber(*count);
  if (!number || *number == 0 || *number > kMaxKeysPerRequest) {
    return Error(reason::kBadRequest, "count must be a number from 1 to " +
                                          std::to_string(kMaxKeysPerRequest));
  }
  keys.count = static_cast<std::uint32_t>(*number);
  return keys;
}

caller_request ParseCall(const http_request& request,
                         std::string service,
                         std::string method) {
  caller_call call{.service = std::move(service), .method = std::move(method)};
  if (const auto text = FindHeader(request.headers, "Pw-Timeout-Ms")) {
    const auto number = ParseNumber(*text);
    if (!number) {
      return Error(reason::kBadRequest,
                   "Pw-Timeout-Ms must be a whole number of milliseconds");
    }
    // An absurd wait is bounded by the manifest; this only keeps the number
    // inside its type.
    constexpr std::uint64_t kLongest =
        std::chrono::duration_cast<milliseconds>(std::chrono::hours(24))
            .count();
    call.timeout = milliseconds(std::min(*number, kLongest));
  }
  call.key = TokenHeader(request, "Idempotency-Key");
  call.context = TokenHeader(request, "Pw-Context");
  call.label = TokenHeader(request, "Pw-Call-Label").value_or("");
  const bool too_long =
      (call.key && call.key->size() > kMaxTokenSize) ||
      (call.context && call.context->size() > kMaxTokenSize) ||
      call.label.size() > kMaxNameSize;
  if (too_long) {
    return Error(reason::kBadRequest, "a Pw- header is too long");
  }
  return call;
}

}  // namespace

caller_request ParseCallerRequest(const http_request& request) {
  if (request.verb != "POST") {
    return Error(reason::kBadRequest, "only POST is served here");
  }
  auto parts = SplitPath(request.path);
  if (parts && parts->size() == 2) {
    return ParseCall(request, std::move((*parts)[0]), std::move((*parts)[1]));
  }
  if (parts && parts->size() == 3 && (*parts)[0] == "keys") {
    return ParseKeyRequest(request, std::move((*parts)[1]),
                           std::move((*parts)[2]));
  }
  return Error(reason::kBadRequest,
               "the path must be /SERVICE/METHOD or /keys/SERVICE/METHOD");
}

int StatusOf(const outcome& result) {
  if (result.kind == outcome_kind::kCompleted) {
    return result.reply.status;
  }
  // Whatever the reason, a caller that only looks at the status must not take
  // "unknown" for a refusal.
  if (result.kind == outcome_kind::kUnknown) {
    return result.why == reason::kTimeout ? kGatewayTimeout : kBadGateway;
  }
  return kStatuses[static_cast<std::size_t>(result.why)];
}

http_response RenderOutcome(outcome result,
                            const std::string& detail,
                            const std::string& fresh_key) {
  http_response response{.status = StatusOf(result)};
  const std::string kind(kOutcomeKindNames.Name(result.kind));
  response.headers.push_back({.name = "Pw-Outcome", .value = kind});
  if (result.kind == outcome_kind::kCompleted) {
    response.content_type = std::move(result.reply.content_type);
    response.body = std::move(result.reply.body);
    return response;
  }
  const std::string why(kReasonNames.Name(result.why));
  response.headers.push_back({.name = "Pw-Reason", .value = why});
  const auto wait_ms = result.retry_after.count();
  if (wait_ms > 0) {
    constexpr std::int64_t kMsPerSecond = 1000;
    const auto whole = (wait_ms + kMsPerSecond - 1) / kMsPerSecond;
    response.headers.push_back(
        {.name = "Pw-Retry-After-Ms", .value = std::to_string(wait_ms)});
    response.headers.push_back(
        {.name = "Retry-After", .value = std::to_string(whole)});
  }
  if (!fresh_key.empty()) {
    response.headers.push_back({.name = "Idempotency-Key", .value = fresh_key});
  }
  Json::Value body(Json::objectValue);
  body["outcome"] = kind;
  body["reason"] = why;
  if (wait_ms > 0) {
    body["retry_after_ms"] = Json::Int64{wait_ms};
  }
  if (!detail.empty()) {
    body["detail"] = detail;
  }
  Json::StreamWriterBuilder writer;
  writer["indentation"] = "";
  response.content_type = "application/json";
  response.body = Json::writeString(writer, body) + "\n";
  return response;
}

}  // namespace pistachioweir
