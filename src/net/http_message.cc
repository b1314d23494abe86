// Look-ups in HTTP messages.
#include "src/net/http_message.h"

#include <algorithm>
#include <charconv>

#include "include/base/ascii.h"

namespace pistachioweir {

bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return std::ranges::equal(
      a, b, [](char x, char y) { return ToLowerAscii(x) == ToLowerAscii(y); });
}

std::optional<std::string_view> FindHeader(const http_headers& headers,
                                           std::string_view name) {
  for (const http_header& header : headers) {
    if (EqualsIgnoringCase(header.name, name)) {
      return header.value;
    }
  }
  return std::nullopt;
}

std::optional<std::string_view> FindParameter(std::string_view query,
                                              std::string_view name) {
  while (!query.empty()) {
    const std::string_view pair = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(query.size(), pair.size() + 1));
    if (pair.size() > name.size() && pair.starts_with(name) &&
        pair[name.size()] == '=') {
      return pair.substr(name.size() + 1);
    }
  }
  return std::nullopt;
}

std::string EncodeQueryValue(std::string_view text) {
  constexpr std::string_view kPlainMarks = "-._~/";
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string encoded;
  for (const char c : text) {
    if (IsAlphanumericAscii(c) || kPlainMarks.find(c) != kPlainMarks.npos) {
      encoded.push_back(c);
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    encoded.push_back('%');
    encoded.push_back(kDigits[byte / kDigits.size()]);
    encoded.push_back(kDigits[byte % kDigits.size()]);
  }
  return encoded;
}

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || rest != end || text.empty()) {
    return std::nullopt;
  }
  return value;
}

}  // namespace pistachioweir
