// Names, addresses and priorities.
#include "src/config/value_parsers.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>

namespace pistachioweir {
namespace {

// POST /keys/SERVICE/METHOD issues keys; a service of that name would make
// paths ambiguous.
constexpr std::string_view kReservedService = "keys";

bool IsNameChar(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
}

std::optional<std::uint16_t> ParsePort(std::string_view text) {
  std::uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, port);
  if (error != std::errc() || stop != end || port == 0) {
    return std::nullopt;
  }
  return port;
}

// An IP number of either family, not the wildcard.
bool IsUsableIp(const std::string& ip, bool bracketed) {
  in_addr v4{};
  in6_addr v6{};
  if (bracketed) {
    return inet_pton(AF_INET6, ip.c_str(), &v6) == 1 &&
           !IN6_IS_ADDR_UNSPECIFIED(&v6);
  }
  return inet_pton(AF_INET, ip.c_str(), &v4) == 1 && v4.s_addr != INADDR_ANY;
}

}  // namespace

std::string ToString(const endpoint& address) {
  const bool is_v6 = address.ip.find(':') != address.ip.npos;
  const std::string host = is_v6 ? "[" + address.ip + "]" : address.ip;
  return host + ":" + std::to_string(address.port);
}

bool IsName(std::string_view text) {
  // A name such as ".." would mean something else in a path.
  return !text.empty() && text.size() <= kMaxNameLength &&
         text.front() != '.' && std::ranges::all_of(text, IsNameChar);
}

std::optional<std::string> ParseName(const json_node& node) {
  auto text = node.ReadString();
  if (text && !IsName(*text)) {
    node.AddError(
        node.Describe(),
        "1 to 64 letters, digits, '.', '_' or '-', not starting with '.'");
    return std::nullopt;
  }
  return text;
}

std::optional<std::string> ParseServiceName(const json_node& node) {
  auto name = ParseName(node);
  if (name && *name == kReservedService) {
    node.AddError(node.Describe(), "a name that is not reserved");
    return std::nullopt;
  }
  return name;
}

std::optional<endpoint> ParseEndpointText(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == text.npos || colon == 0) {
    return std::nullopt;
  }
  const auto port = ParsePort(text.substr(colon + 1));
  std::string_view ip = text.substr(0, colon);
  const bool bracketed =
      ip.size() > 2 && ip.starts_with('[') && ip.ends_with(']');
  if (bracketed) {
    ip = ip.substr(1, ip.size() - 2);
  }
  endpoint address{.ip = std::string(ip), .port = port.value_or(0)};
  // A zero byte inside would end the text early for the C library.
  const bool whole = address.ip.find('\0') == address.ip.npos;
  if (!port || !whole || !IsUsableIp(address.ip, bracketed)) {
    return std::nullopt;
  }
  return address;
}

std::optional<endpoint> ParseEndpoint(const json_node& node) {
  const auto text = node.ReadString();
  if (!text) {
    return std::nullopt;
  }
  auto address = ParseEndpointText(*text);
  if (!address) {
    node.AddError(node.Describe(),
                  "an IP number and a port such as \"10.0.0.7:7001\"");
  }
  return address;
}

std::optional<milliseconds> ParseDurationText(std::string_view text) {
  // Longer than anything that is configured; guards the conversion below.
  constexpr double kMostSeconds = 1e6;
  const bool in_milliseconds = text.ends_with("ms");
  if (!in_milliseconds && !text.ends_with("s")) {
    return std::nullopt;
  }
  text.remove_suffix(in_milliseconds ? 2 : 1);
  double count = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, error] =
      std::from_chars(text.data(), end, count, std::chars_format::fixed);
  if (error != std::errc() || stop != end || !(count >= 0) ||
      count > kMostSeconds * 1000) {
    return std::nullopt;
  }
  const std::chrono::duration<double, std::milli> exact(
      in_milliseconds ? count : count * 1000);
  return std::chrono::round<milliseconds>(exact);
}

std::optional<milliseconds> ParseDuration(const json_node& node) {
  const auto text = node.ReadString();
  if (!text) {
    return std::nullopt;
  }
  const auto time = ParseDurationText(*text);
  if (!time) {
    node.AddError(node.Describe(), "a time such as \"1500ms\" or \"2.5s\"");
  }
  return time;
}

std::optional<double> ParseFraction(const json_node& node,
                                    double min,
                                    double max) {
  const Json::Value& value = node.value();
  if (!value.isNumeric() || !(value.asDouble() >= min) ||
      !(value.asDouble() <= max)) {
    node.AddError(node.Describe(), "a number from " + std::to_string(min) +
                                       " to " + std::to_string(max));
    return std::nullopt;
  }
  return value.asDouble();
}

bool IsLoopback(const endpoint& address) {
  return address.ip.starts_with("127.") || address.ip == "::1";
}

std::optional<priority> ParsePriority(const json_node& node) {
  const auto text = node.ReadString();
  if (!text) {
    return std::nullopt;
  }
  const auto level = kPriorityNames.Find(*text);
  if (!level) {
    node.AddError(node.Describe(), "critical, high, normal or low");
  }
  return level;
}

}  // namespace pistachioweir
