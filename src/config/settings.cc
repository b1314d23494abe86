// Settings from JSON: the table of keys, then the clashes between them.
#include "include/config/settings.h"

#include <algorithm>
#include <array>
#include <utility>

#include "src/config/json_document.h"
#include "src/config/json_schema.h"
#include "src/config/value_parsers.h"

namespace pistachioweir {
namespace {

constexpr std::size_t kMaxPlatformAddresses = 8;
// One that signs, one that is being rotated in, and room for a mistake.
constexpr std::size_t kMaxFleetKeys = 4;
// Shorter keys can be guessed from captured datagrams.
constexpr std::size_t kMinFleetKeyLength = 16;
constexpr std::size_t kMaxFleetKeyLength = 256;
constexpr std::uint32_t kMaxThreads = 64;
constexpr std::uint32_t kMaxConnections = 65535;
constexpr std::uint64_t kMaxStopTimeoutMs = 600000;

std::optional<std::string> ParseFleetKey(const json_node& node) {
  auto text = node.ReadString();
  if (text && (text->size() < kMinFleetKeyLength ||
               text->size() > kMaxFleetKeyLength)) {
    // The key itself is a secret and stays out of the message.
    node.AddError("a key of " + std::to_string(text->size()) + " characters",
                  "16 to 256 characters");
    return std::nullopt;
  }
  return text;
}

json_schema<daemon_settings> Schema() {
  using s = daemon_settings;
  using enum presence;
  return {
      {"vm", kRequired, ReadWith(&s::vm, ParseName)},
      {"service", kRequired, ReadWith(&s::service, ParseServiceName)},
      {"data_centre", kRequired, ReadWith(&s::data_centre, ParseName)},
      {"region", kRequired, ReadWith(&s::region, ParseName)},
      {"caller", kRequired, ReadWith(&s::caller, ParseEndpoint)},
      {"local", kRequired, ReadWith(&s::local, ParseEndpoint)},
      {"peer", kRequired, ReadWith(&s::peer, ParseEndpoint)},
      {"advertised_peer", kOptional,
       ReadWith(&s::advertised_peer, ParseEndpoint)},
      {"admin", kRequired, ReadWith(&s::admin, ParseEndpoint)},
      {"target", kRequired, ReadWith(&s::target, ParseEndpoint)},
      {"platform", kRequired,
       ReadList(&s::platform, 1, kMaxPlatformAddresses, ParseEndpoint)},
      {"fleet_keys", kRequired,
       ReadList(&s::fleet_keys, 1, kMaxFleetKeys, ParseFleetKey)},
      {"threads", kOptional, ReadNumber(&s::threads, 1, kMaxThreads)},
      {"max_connections", kOptional,
       ReadNumber(&s::max_connections, 1, kMaxConnections)},
      {"stop_timeout_ms", kOptional,
       ReadMilliseconds(&s::stop_timeout, 0, kMaxStopTimeoutMs)},
  };
}

struct named_endpoint {
  std::string key;
  const endpoint& address;
};

// Two listeners on one address: the second fails to bind. The target's address
// at one of the daemon's own: the daemon would call itself without end.
void CheckAddresses(const daemon_settings& settings, const json_node& root) {
  const std::array<named_endpoint, 5> addresses{
      named_endpoint{"caller", settings.caller},
      named_endpoint{"local", settings.local},
      named_endpoint{"peer", settings.peer},
      named_endpoint{"admin", settings.admin},
      named_endpoint{"target", settings.target}};
  for (std::size_t i = 0; i < addresses.size(); ++i) {
    for (std::size_t j = 0; j < i; ++j) {
      const endpoint& address = addresses[i].address;
      if (address.port != 0 && address == addresses[j].address) {
        root.Member(addresses[i].key)
            .AddError("same address as /" + addresses[j].key + ", " +
                          ToString(address),
                      "an address of its own");
      }
    }
  }
  // Whoever reaches the local port is taken for the target beside the daemon.
  if (settings.local.port != 0 && !IsLoopback(settings.local)) {
    root.Member("local").AddError(
        ToString(settings.local) + " can be reached from outside",
        "a loopback address such as \"127.0.0.1:7002\"");
  }
}

template <typename T>
void CheckUnique(const std::vector<T>& values, const json_node& list) {
  for (auto value = values.begin(); value != values.end(); ++value) {
    if (std::find(values.begin(), value, *value) != value) {
      list.AddError("an entry stands twice", "each entry once");
    }
  }
}

}  // namespace

parse_result<daemon_settings> ParseSettings(std::string_view json,
                                            std::string_view origin) {
  parse_result<daemon_settings> result;
  json_document document = ParseJson(json, origin);
  result.errors = std::move(document.errors);
  if (!document.readable) {
    return result;
  }
  const json_node root(document.root, std::string(origin) + ": ",
                       &result.errors);
  Schema().Read(root, &result.value);
  if (document.root.isObject()) {
    if (!document.root.isMember("advertised_peer")) {
      result.value.advertised_peer = result.value.peer;
    }
    CheckAddresses(result.value, root);
    CheckUnique(result.value.platform, root.Member("platform"));
    CheckUnique(result.value.fleet_keys, root.Member("fleet_keys"));
  }
  return result;
}

}  // namespace pistachioweir
