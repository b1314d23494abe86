// Readers of the small values that settings and manifests share.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "include/base/priority.h"
#include "include/base/time.h"
#include "include/config/settings.h"
#include "src/config/json_node.h"

namespace pistachioweir {

// Longest name of a VM, service, method, data centre or region.
inline constexpr std::size_t kMaxNameLength = 64;

// A name that can stand in a URL, a log line and a metric's label as it is:
// letters, digits, '.', '_' and '-', not starting with '.'.
[[nodiscard]] bool IsName(std::string_view text);
[[nodiscard]] std::optional<std::string> ParseName(const json_node& node);

// A service's name: not one that the callers' interface uses itself.
[[nodiscard]] std::optional<std::string> ParseServiceName(
    const json_node& node);

// "127.0.0.1:7001" or "[::1]:7001": one address of one interface, no name and
// no wildcard, because daemons tell each other these addresses.
[[nodiscard]] std::optional<endpoint> ParseEndpointText(std::string_view text);
[[nodiscard]] std::optional<endpoint> ParseEndpoint(const json_node& node);

// "1500ms", "2.5s": a time with its unit, not negative; or nothing.
[[nodiscard]] std::optional<milliseconds> ParseDurationText(
    std::string_view text);
[[nodiscard]] std::optional<milliseconds> ParseDuration(const json_node& node);

// A number, whole or not, from `min` to `max`.
[[nodiscard]] std::optional<double> ParseFraction(const json_node& node,
                                                  double min,
                                                  double max);

[[nodiscard]] bool IsLoopback(const endpoint& address);

[[nodiscard]] std::optional<priority> ParsePriority(const json_node& node);

}  // namespace pistachioweir
