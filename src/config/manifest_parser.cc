// Manifests from JSON: the tables of keys, then the clashes between them.
#include "include/config/manifest_parser.h"

#include <set>
#include <utility>

#include "src/config/json_document.h"
#include "src/config/json_schema.h"
#include "src/config/value_parsers.h"

namespace pistachioweir {
namespace {

constexpr std::uint64_t kMaxVersion = std::uint64_t{1} << 53;
constexpr std::uint64_t kMaxSlots = 10000;
constexpr std::uint64_t kMaxConnections = 65535;
// Bodies are held whole in memory, by several daemons at a time.
constexpr std::uint64_t kMaxBodyBytes = 16 << 20;
constexpr std::uint64_t kMinKeyLifetimeMs = 100;
constexpr std::uint64_t kMaxKeyLifetimeMs = 600000;
constexpr std::uint64_t kMaxTimeoutMs = 3600000;
// Every unit may be one more execution of the whole tree.
constexpr std::uint64_t kMaxRetryCredit = 16;
constexpr std::size_t kMaxMethods = 1000;
constexpr std::size_t kMaxCalls = 100;

std::optional<downstream_call> ParseCall(const json_node& node) {
  using enum presence;
  const json_schema<downstream_call> schema{
      {"service", kRequired,
       ReadWith(&downstream_call::service, ParseServiceName)},
      {"method", kRequired, ReadWith(&downstream_call::method, ParseName)},
  };
  downstream_call call;
  schema.Read(node, &call);
  return call;
}

void CheckCalls(const method_spec& method, const json_node& node) {
  std::set<std::pair<std::string, std::string>> seen;
  for (std::size_t i = 0; i < method.calls.size(); ++i) {
    const downstream_call& call = method.calls[i];
    if (!seen.emplace(call.service, call.method).second) {
      node.Member("calls")
          .Entry(static_cast<Json::ArrayIndex>(i))
          .AddError(call.service + "/" + call.method + " stands twice",
                    "each call once");
    }
  }
}

std::optional<method_spec> ParseMethod(const json_node& node) {
  using m = method_spec;
  using enum presence;
  const json_schema<method_spec> schema{
      {"name", kRequired, ReadWith(&m::name, ParseName)},
      {"level", kOptional, ReadWith(&m::level, ParsePriority)},
      {"at_most_once", kOptional, ReadFlag(&m::at_most_once)},
      {"timeout_ms", kOptional,
       ReadMilliseconds(&m::timeout, 1, kMaxTimeoutMs)},
      {"max_timeout_ms", kOptional,
       ReadMilliseconds(&m::max_timeout, 1, kMaxTimeoutMs)},
      {"retry_credit", kOptional,
       ReadNumber(&m::retry_credit, 0, kMaxRetryCredit)},
      {"calls", kOptional, ReadList(&m::calls, 0, kMaxCalls, ParseCall)},
  };
  method_spec method;
  schema.Read(node, &method);
  if (!node.value().isObject()) {
    return std::nullopt;
  }
  if (method.timeout > method.max_timeout) {
    node.Member("timeout_ms")
        .AddError(std::to_string(method.timeout.count()) +
                      " is above max_timeout_ms, which is " +
                      std::to_string(method.max_timeout.count()),
                  "at most max_timeout_ms");
  }
  CheckCalls(method, node);
  return method;
}

json_schema<service_manifest> Schema() {
  using s = service_manifest;
  using enum presence;
  return {
      {"service", kRequired, ReadWith(&s::service, ParseServiceName)},
      {"version", kRequired, ReadNumber(&s::version, 1, kMaxVersion)},
      {"slots", kRequired, ReadNumber(&s::slots, 1, kMaxSlots)},
      {"connections", kRequired,
       ReadNumber(&s::connections, 1, kMaxConnections)},
      {"refusal_is_not_executed", kOptional,
       ReadFlag(&s::refusal_is_not_executed)},
      {"max_body_bytes", kOptional,
       ReadNumber(&s::max_body_bytes, 1, kMaxBodyBytes)},
      {"key_lifetime_ms", kOptional,
       ReadMilliseconds(&s::key_lifetime, kMinKeyLifetimeMs,
                        kMaxKeyLifetimeMs)},
      {"methods", kRequired,
       ReadList(&s::methods, 1, kMaxMethods, ParseMethod)},
  };
}

// A connection carries one call at a time, so with fewer connections than slots
// some slots could never be used.
void CheckConnections(const service_manifest& manifest, const json_node& root) {
  if (manifest.connections != 0 && manifest.connections < manifest.slots) {
    root.Member("connections")
        .AddError(std::to_string(manifest.connections) + " is below slots",
                  "at least " + std::to_string(manifest.slots));
  }
}

void CheckMethodNames(const service_manifest& manifest, const json_node& root) {
  std::set<std::string> seen;
  for (const method_spec& method : manifest.methods) {
    if (!method.name.empty() && !seen.insert(method.name).second) {
      root.Member("methods").AddError(
          "method \"" + method.name + "\" stands twice", "each method once");
    }
  }
}

}  // namespace

parse_result<service_manifest> ParseManifest(std::string_view json,
                                             std::string_view origin) {
  parse_result<service_manifest> result;
  json_document document = ParseJson(json, origin);
  result.errors = std::move(document.errors);
  if (!document.readable) {
    return result;
  }
  const json_node root(document.root, std::string(origin) + ": ",
                       &result.errors);
  Schema().Read(root, &result.value);
  if (document.root.isObject()) {
    CheckConnections(result.value, root);
    CheckMethodNames(result.value, root);
  }
  return result;
}

}  // namespace pistachioweir
