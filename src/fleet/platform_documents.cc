// Reading of the index and of live lists by jsoncpp.
#include "src/fleet/platform_documents.h"

#include <json/json.h>

#include <arpa/inet.h>

#include <charconv>
#include <memory>

namespace pistachioweir {
namespace {

// An object, or null if `json` is not exactly one.
Json::Value ParseObject(std::string_view json) {
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value root;
  try {
    const bool parsed =
        reader->parse(json.data(), json.data() + json.size(), &root, nullptr);
    return parsed && root.isObject() ? root : Json::Value();
  } catch (const Json::Exception&) {
    return {};  // Nested too deep.
  }
}

std::string StringOf(const Json::Value& object, const char* key) {
  const Json::Value& value = object[key];
  return value.isString() ? value.asString() : std::string();
}

std::optional<fleet_target> ToTarget(const Json::Value& entry) {
  if (!entry.isObject()) {
    return std::nullopt;
  }
  const auto peer = ParseEndpoint(StringOf(entry, "peer"));
  const auto state = kMemberStateNames.Find(StringOf(entry, "state"));
  const bool known_state =
      state == member_state::kLive || state == member_state::kLeaving;
  fleet_target target = {.vm = StringOf(entry, "vm"),
                         .data_centre = StringOf(entry, "data_centre"),
                         .region = StringOf(entry, "region")};
  if (target.vm.empty() || !peer || !known_state) {
    return std::nullopt;
  }
  target.peer = *peer;
  target.state = *state;
  return target;
}

}  // namespace

std::optional<endpoint> ParseEndpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  endpoint parsed = {.ip = std::string(text.substr(0, colon))};
  const std::string_view port = text.substr(colon + 1);
  const auto number =
      std::from_chars(port.data(), port.data() + port.size(), parsed.port);
  in_addr address = {};
  if (number.ec != std::errc() || number.ptr != port.data() + port.size() ||
      parsed.port == 0 ||
      inet_pton(AF_INET, parsed.ip.c_str(), &address) != 1) {
    return std::nullopt;
  }
  return parsed;
}

std::optional<std::vector<manifest_version>> ParseIndex(std::string_view json) {
  const Json::Value root = ParseObject(json);
  if (!root.isObject() || !root["manifests"].isObject()) {
    return std::nullopt;
  }
  const Json::Value& manifests = root["manifests"];
  std::vector<manifest_version> versions;
  for (const std::string& service : manifests.getMemberNames()) {
    const Json::Value& version = manifests[service];
    if (!version.isUInt64()) {
      return std::nullopt;
    }
    versions.push_back({.service = service, .version = version.asUInt64()});
  }
  return versions;
}

std::optional<std::vector<fleet_target>> ParseLiveList(std::string_view json) {
  const Json::Value root = ParseObject(json);
  if (!root.isObject() || !root["vms"].isArray()) {
    return std::nullopt;
  }
  std::vector<fleet_target> targets;
  for (const Json::Value& entry : root["vms"]) {
    const auto target = ToTarget(entry);
    if (!target) {
      return std::nullopt;
    }
    targets.push_back(*target);
  }
  return targets;
}

}  // namespace pistachioweir
