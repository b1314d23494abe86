// Tables from the admin port's JSON.
#include "src/cli/render.h"

#include <json/value.h>

#include <array>
#include <cstdint>
#include <cstdio>
#include <string_view>
#include <vector>

#include "src/cli/text_table.h"
#include "src/config/json_document.h"

namespace pistachioweir {
namespace {

std::optional<Json::Value> ParseObject(const std::string& json) {
  json_document document = ParseJson(json, "answer");
  if (!document.errors.empty() || !document.root.isObject()) {
    return std::nullopt;
  }
  return std::move(document.root);
}

// The text of a member; empty if it is missing or has no text.
std::string Text(const Json::Value& value, const char* key) {
  const Json::Value& member = value[key];
  if (member.isArray() || member.isObject()) {
    return {};
  }
  std::string text;
  for (const char c : member.asString()) {
    const bool is_control = (c >= 0 && c < ' ') || c == '\x7f';
    if (!is_control) {
      text.push_back(c);
    }
  }
  return text;
}

std::int64_t Number(const Json::Value& value, const char* key) {
  return value[key].isInt64() ? value[key].asInt64() : 0;
}

// "250 ms", "12.5 s", "7 min", "3 h".
std::string Span(const Json::Value& value, const char* key) {
  const std::int64_t millis = Number(value, key);
  if (millis < 1000) {
    return std::to_string(millis) + " ms";
  }
  if (millis < 120000) {
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.1f s",
                  static_cast<double>(millis) / 1000);
    return text.data();
  }
  const std::int64_t minutes = millis / 60000;
  return minutes < 120 ? std::to_string(minutes) + " min"
                       : std::to_string(minutes / 60) + " h";
}

// The objects in an array, none if there is no array.
std::vector<Json::Value> Entries(const Json::Value& value, const char* key) {
  std::vector<Json::Value> entries;
  if (!value[key].isArray()) {
    return entries;
  }
  for (const Json::Value& entry : value[key]) {
    if (entry.isObject()) {
      entries.push_back(entry);
    }
  }
  return entries;
}

std::string Section(std::string_view title, const text_table& table) {
  return table.empty() ? std::string()
                       : "\n" + std::string(title) + "\n" + table.Text();
}

std::string RenderManifests(const Json::Value& status) {
  text_table table({"SERVICE", "VERSION", "HELD"});
  for (const Json::Value& entry : Entries(status, "manifests")) {
    table.Add({Text(entry, "service"), Text(entry, "version"),
               Span(entry, "held_for_ms")});
  }
  return Section("Manifests in force", table);
}

std::string RenderTargets(const Json::Value& status) {
  text_table table(
      {"SERVICE", "VM", "DATA CENTRE", "STATE", "IN FLIGHT", "LEVEL", "HEARD"});
  for (const Json::Value& entry : Entries(status, "targets")) {
    table.Add({Text(entry, "service"), Text(entry, "vm"),
               Text(entry, "data_centre"), Text(entry, "state"),
               Text(entry, "in_flight"), Text(entry, "admission_level"),
               Span(entry, "heard_ago_ms") + " ago"});
  }
  return Section("Targets, as seen from here", table);
}

std::string RenderQuarantines(const Json::Value& status) {
  text_table table({"SERVICE", "METHOD", "FINGERPRINT", "ENDS IN"});
  for (const Json::Value& entry : Entries(status, "quarantines")) {
    table.Add({Text(entry, "service"), Text(entry, "method"),
               Text(entry, "fingerprint"), Span(entry, "remaining_ms")});
  }
  return Section("Quarantined requests", table);
}

std::string RenderReasons(const Json::Value& explanation) {
  std::string text;
  for (const Json::Value& entry : Entries(explanation, "reasons")) {
    text += "\n" + Text(entry, "count") + " x " + Text(entry, "reason") + ": " +
            Text(entry, "meaning") + "\n    " + Text(entry, "advice") + "\n";
  }
  return text;
}

std::string RenderLast(const Json::Value& explanation) {
  text_table table({"AT", "OUTCOME", "REASON", "PRIORITY", "VM", "LEVEL",
                    "QUEUED", "LIMIT", "RETRY AFTER"});
  for (const Json::Value& entry : Entries(explanation, "last")) {
    table.Add({Text(entry, "at"), Text(entry, "outcome"), Text(entry, "reason"),
               Text(entry, "level"), Text(entry, "vm"),
               Text(entry, "admission_level"), Text(entry, "queued"),
               Text(entry, "limit"), Span(entry, "retry_after_ms")});
  }
  return Section("Last of them", table);
}

std::string RetryAdvice(const Json::Value& explanation) {
  return Number(explanation, "retry_after_ms") == 0
             ? "A call may come at once."
             : "A call should come back in " +
                   Span(explanation, "retry_after_ms") + ".";
}

}  // namespace

std::optional<std::string> RenderStatus(const std::string& json) {
  const auto status = ParseObject(json);
  if (!status) {
    return std::nullopt;
  }
  const Json::Value& s = *status;
  std::string text = Text(s, "vm") + " serves " + Text(s, "service") + " in " +
                     Text(s, "data_centre") + ", " + Text(s, "region") + ": " +
                     Text(s, "state") + "\n";
  text += "program    " + Text(s, "version") + ", up " + Span(s, "uptime_ms") +
          ", incarnation " + Text(s, "incarnation") + "\n";
  text += "admission  limit " + Text(s, "concurrency_limit") + ", in flight " +
          Text(s, "in_flight") + ", queued " + Text(s, "queued") + ", level " +
          Text(s, "admission_level") + "\n";
  text += "platform   " +
          std::string(s["platform_reachable"] == true ? "reachable"
                                                      : "not reachable") +
          ", last answer " + Span(s, "platform_age_ms") + " ago\n";
  text += "fleet      " + Text(s, "peers_known") + " peers known, " +
          Text(s, "connections") + " connections\n";
  return text + RenderManifests(s) + RenderTargets(s) + RenderQuarantines(s);
}

std::optional<std::string> RenderAudit(const std::string& json) {
  const auto page = ParseObject(json);
  if (!page) {
    return std::nullopt;
  }
  text_table table({"NUMBER", "AT", "EVENT", "SUBJECT", "BEFORE", "AFTER",
                    "REPEATS", "CAUSE"});
  for (const Json::Value& entry : Entries(*page, "events")) {
    table.Add({Text(entry, "number"), Text(entry, "at"), Text(entry, "kind"),
               Text(entry, "subject"), Text(entry, "before"),
               Text(entry, "after"), Text(entry, "repeats"),
               Text(entry, "cause")});
  }
  return table.empty() ? "No changes recorded.\n" : table.Text();
}

std::optional<std::string> RenderExplanation(const std::string& json) {
  const auto page = ParseObject(json);
  if (!page) {
    return std::nullopt;
  }
  const Json::Value& e = *page;
  const std::string name = Text(e, "service") + "/" + Text(e, "method");
  if (e["known"] != true) {
    return name + ": no manifest in force at this daemon has this method\n" +
           RenderReasons(e);
  }
  std::string text = name + ": " + Text(e, "level") +
                     (e["at_most_once"] == true ? ", at-most-once" : "") +
                     ", timeout " + Span(e, "timeout_ms") + "\n";
  text += RetryAdvice(e) + "\n";
  const std::string reasons = RenderReasons(e);
  if (reasons.empty()) {
    return text + "None of its calls was refused or lost here.\n";
  }
  return text + "\nCalls that were not completed, since the daemon's start:\n" +
         reasons + RenderLast(e);
}

}  // namespace pistachioweir
