// Reads a target's behaviour from JSON.
#include "standin/target_config.h"

namespace pistachioweir::standin {
namespace {

target_method ReadMethod(const Json::Value& value) {
  target_method method;
  method.distribution =
      kServiceTimeNames
          .Find(value.get("distribution", "exponential").asString())
          .value_or(service_time::kExponential);
  method.mean_ms = value.get("mean_ms", method.mean_ms).asDouble();
  method.at_most_once = value.get("at_most_once", false).asBool();
  method.answer_bytes = value.get("answer_bytes", method.answer_bytes).asUInt();
  for (const Json::Value& call : value["calls"]) {
    method.calls.push_back({.service = call["service"].asString(),
                            .method = call["method"].asString()});
  }
  return method;
}

}  // namespace

void target_config::Apply(const Json::Value& changes) {
  slots = changes.get("slots", slots).asUInt();
  queue = changes.get("queue", queue).asUInt();
  sheds = changes.get("sheds", sheds).asBool();
  draining = changes.get("draining", draining).asBool();
  hang = changes.get("hang", hang).asBool();
  slow_down = changes.get("slow_down", slow_down).asDouble();
  cold_ms = changes.get("cold_ms", cold_ms).asUInt();
  cold_factor = changes.get("cold_factor", cold_factor).asDouble();
  health = changes.get("health", health).asString();
  const Json::Value& changed_methods = changes["methods"];
  for (const std::string& name : changed_methods.getMemberNames()) {
    methods[name] = ReadMethod(changed_methods[name]);
  }
}

}  // namespace pistachioweir::standin
