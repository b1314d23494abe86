// Helpers on plain HTTP messages.
#include "standin/http.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <limits>
#include <stdexcept>

namespace pistachioweir::standin {
namespace {

bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return std::ranges::equal(a, b, [](unsigned char x, unsigned char y) {
    return std::tolower(x) == std::tolower(y);
  });
}

}  // namespace

std::string_view FindHeader(const http_headers& headers,
                            std::string_view name) {
  const auto found =
      std::ranges::find_if(headers, [name](const http_header& header) {
        return EqualsIgnoringCase(header.name, name);
      });
  return found == headers.end() ? std::string_view() : found->value;
}

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

std::string_view QueryValue(std::string_view target, std::string_view name) {
  std::size_t at = target.find('?');
  while (at != std::string_view::npos) {
    const std::size_t end = target.find('&', at + 1);
    const std::string_view pair = target.substr(at + 1, end - at - 1);
    const std::size_t equals = pair.find('=');
    if (equals != std::string_view::npos && pair.substr(0, equals) == name) {
      return pair.substr(equals + 1);
    }
    at = end;
  }
  return {};
}

std::uint64_t NumberOr(std::string_view text, std::uint64_t fallback) {
  std::uint64_t value = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value);
  return error == std::errc() && stop == end ? value : fallback;
}

endpoint ParseEndpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  const std::uint64_t port =
      colon == std::string_view::npos
          ? std::numeric_limits<std::uint64_t>::max()
          : NumberOr(text.substr(colon + 1),
                     std::numeric_limits<std::uint64_t>::max());
  if (port > std::numeric_limits<std::uint16_t>::max()) {
    throw std::invalid_argument("not IP:PORT: " + std::string(text));
  }
  return {.ip = std::string(text.substr(0, colon)),
          .port = static_cast<std::uint16_t>(port)};
}

std::string Authority(const endpoint& address) {
  return address.ip + ":" + std::to_string(address.port);
}

}  // namespace pistachioweir::standin
