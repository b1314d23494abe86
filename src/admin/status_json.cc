// JSON of the admin port, by jsoncpp. Numbers of 64 bits that name something
// are hexadecimal strings, since many readers of JSON round them.
#include "src/admin/status_json.h"

#include <json/value.h>
#include <json/writer.h>

#include <array>
#include <cstdio>
#include <ctime>

#include "src/admin/reason_text.h"

namespace pistachioweir {
namespace {

Json::Value Text(std::string_view text) {
  return {text.data(), text.data() + text.size()};
}

Json::Value Count(std::uint64_t count) {
  return static_cast<Json::UInt64>(count);
}

Json::Value Millis(milliseconds value) {
  return static_cast<Json::Int64>(value.count());
}

Json::Value Hex(std::uint64_t value) {
  std::array<char, 17> text{};
  const int size = std::snprintf(text.data(), text.size(), "%016llx",
                                 static_cast<unsigned long long>(value));
  return {text.data(), text.data() + size};
}

std::string Write(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  builder["emitUTF8"] = true;
  return Json::writeString(builder, value) + "\n";
}

Json::Value ToValue(const manifest_status& manifest) {
  Json::Value value;
  value["service"] = manifest.service;
  value["version"] = Count(manifest.version);
  value["held_for_ms"] = Millis(manifest.held_for);
  return value;
}

Json::Value ToValue(const target_status& target) {
  Json::Value value;
  value["service"] = target.service;
  value["vm"] = target.vm;
  value["data_centre"] = target.data_centre;
  value["state"] = Text(kTargetStateNames.Name(target.state));
  value["in_flight"] = target.in_flight;
  value["admission_level"] = target.admission_level;
  value["heard_ago_ms"] = Millis(target.heard_ago);
  return value;
}

Json::Value ToValue(const quarantine_status& quarantine) {
  Json::Value value;
  value["service"] = quarantine.service;
  value["method"] = quarantine.method;
  value["fingerprint"] = Hex(quarantine.fingerprint);
  value["remaining_ms"] = Millis(quarantine.remaining);
  return value;
}

Json::Value ToValue(const audit_event& event) {
  Json::Value value;
  value["number"] = Count(event.number);
  value["at"] = ToIsoTime(event.at);
  value["kind"] = Text(kAuditKindNames.Name(event.kind));
  value["subject"] = event.subject;
  value["before"] = event.before;
  value["after"] = event.after;
  value["cause"] = event.cause;
  value["repeats"] = event.repeats;
  return value;
}

Json::Value ToValue(const refusal& what) {
  Json::Value value;
  value["at"] = ToIsoTime(what.at);
  value["outcome"] = Text(kOutcomeKindNames.Name(what.kind));
  value["reason"] = Text(kReasonNames.Name(what.why));
  value["retry_after_ms"] = Millis(what.retry_after);
  value["level"] = Text(kPriorityNames.Name(what.level));
  value["vm"] = what.vm;
  value["admission_level"] = what.admission_level;
  value["queued"] = what.queued;
  value["limit"] = what.limit;
  return value;
}

template <typename T>
Json::Value ToArray(const std::vector<T>& entries) {
  Json::Value array(Json::arrayValue);
  for (const T& entry : entries) {
    array.append(ToValue(entry));
  }
  return array;
}

Json::Value ReasonsOf(const refusal_history& history) {
  Json::Value reasons(Json::arrayValue);
  for (std::size_t i = 0; i < kReasonCount; ++i) {
    if (history.counts[i] == 0) {
      continue;
    }
    const auto why = static_cast<reason>(i);
    Json::Value entry;
    entry["reason"] = Text(kReasonNames.Name(why));
    entry["count"] = Count(history.counts[i]);
    entry["meaning"] = Text(TextOf(why).meaning);
    entry["advice"] = Text(TextOf(why).advice);
    reasons.append(std::move(entry));
  }
  return reasons;
}

}  // namespace

std::string ToIsoTime(wall_time at) {
  const auto millis =
      std::chrono::duration_cast<milliseconds>(at.time_since_epoch()).count();
  const std::time_t whole =
      std::chrono::system_clock::to_time_t(std::chrono::floor<seconds>(at));
  std::tm parts{};
  gmtime_r(&whole, &parts);
  std::array<char, 40> date{};
  std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  std::array<char, 48> text{};
  std::snprintf(text.data(), text.size(), "%s.%03dZ", date.data(),
                static_cast<int>((millis % 1000 + 1000) % 1000));
  return text.data();
}

std::string ToJson(const daemon_status& status) {
  Json::Value value;
  value["vm"] = status.vm;
  value["incarnation"] = Hex(static_cast<std::uint64_t>(status.incarnation));
  value["version"] = status.version;
  value["service"] = status.service;
  value["data_centre"] = status.data_centre;
  value["region"] = status.region;
  value["state"] = Text(kDaemonStateNames.Name(status.state));
  value["uptime_ms"] = Millis(status.uptime);
  value["concurrency_limit"] = status.concurrency_limit;
  value["in_flight"] = status.in_flight;
  value["queued"] = status.queued;
  value["admission_level"] = status.admission_level;
  value["connections"] = status.connections;
  value["peers_known"] = status.peers_known;
  value["platform_reachable"] = status.platform_reachable;
  value["platform_age_ms"] = Millis(status.platform_age);
  value["manifests"] = ToArray(status.manifests);
  value["targets"] = ToArray(status.targets);
  value["quarantines"] = ToArray(status.quarantines);
  return Write(value);
}

std::string ToJson(const std::vector<audit_event>& events) {
  Json::Value value;
  value["events"] = ToArray(events);
  return Write(value);
}

std::string ToJson(std::string_view service,
                   std::string_view method,
                   const method_explanation& explanation) {
  Json::Value value;
  value["service"] = Text(service);
  value["method"] = Text(method);
  value["known"] = explanation.known;
  value["level"] = Text(kPriorityNames.Name(explanation.level));
  value["at_most_once"] = explanation.at_most_once;
  value["timeout_ms"] = Millis(explanation.timeout);
  value["retry_after_ms"] = Millis(explanation.retry_after);
  value["reasons"] = ReasonsOf(explanation.refusals);
  value["last"] = ToArray(explanation.refusals.last);
  return Write(value);
}

}  // namespace pistachioweir
