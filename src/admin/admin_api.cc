// Pages of the admin port.
#include "include/admin/admin_api.h"

#include <utility>

#include "src/admin/status_json.h"
#include "src/config/value_parsers.h"
#include "src/net/http_message.h"

namespace pistachioweir {
namespace {

constexpr std::size_t kDefaultAuditEvents = 100;
constexpr std::size_t kMaxAuditEvents = 10000;
constexpr std::string_view kJson = "application/json";
// The version of the text format that the serializer writes.
constexpr std::string_view kPrometheusText =
    "text/plain; version=0.0.4; charset=utf-8";

admin_response Respond(int status, std::string body) {
  return {.status = status,
          .content_type = std::string(kJson),
          .body = std::move(body)};
}

admin_response Problem(int status, std::string_view problem) {
  return Respond(status, "{\"error\": \"" + std::string(problem) + "\"}\n");
}

}  // namespace

admin_api::admin_api(admin_sources sources) : sources_(std::move(sources)) {}

admin_response admin_api::Handle(std::string_view verb,
                                 std::string_view target) const {
  if (verb != "GET" && verb != "HEAD") {
    return Problem(405, "only GET: the admin port changes nothing");
  }
  const std::size_t mark = std::min(target.find('?'), target.size());
  const std::string_view path = target.substr(0, mark);
  const std::string_view query =
      target.substr(std::min(mark + 1, target.size()));
  if (path == "/health") {
    return Health();
  }
  if (path == "/status") {
    return Respond(200, ToJson(sources_.status()));
  }
  if (path == "/metrics") {
    return {.status = 200,
            .content_type = std::string(kPrometheusText),
            .body = sources_.metrics()};
  }
  if (path == "/audit") {
    return Audit(query);
  }
  if (path == "/explain") {
    return Explain(query);
  }
  return Problem(404,
                 "no such page; there are /health, /status, /metrics, "
                 "/audit and /explain");
}

admin_response admin_api::Health() const {
  const daemon_state state = sources_.status().state;
  return Respond(
      state == daemon_state::kReady ? 200 : 503,
      "{\"state\": \"" + std::string(kDaemonStateNames.Name(state)) + "\"}\n");
}

admin_response admin_api::Audit(std::string_view query) const {
  std::size_t max = kDefaultAuditEvents;
  if (const auto text = FindParameter(query, "max")) {
    const auto number = ParseNumber(*text);
    if (!number || *number > kMaxAuditEvents) {
      return Problem(400, "max must be a number up to 10000");
    }
    max = *number;
  }
  return Respond(200, ToJson(sources_.audit(max)));
}

admin_response admin_api::Explain(std::string_view query) const {
  const auto service = FindParameter(query, "service");
  const auto method = FindParameter(query, "method");
  if (!service || !method || !IsName(*service) || !IsName(*method)) {
    return Problem(400, "needs service=NAME and method=NAME");
  }
  return Respond(
      200, ToJson(*service, *method, sources_.explain(*service, *method)));
}

}  // namespace pistachioweir
