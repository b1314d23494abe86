// HTTP messages as plain values, so that the daemon's logic doesn't depend on
// the HTTP library.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pistachioweir {

// Bytes that a parser may leave unread in a buffer, beyond which the message is
// refused. Beast's parsers have no bound of their own for the framing of a body
// in chunks. Larger than their default limit of a head.
inline constexpr std::size_t kMaxUnparsedBytes = 64 << 10;

struct http_header {
  std::string name;
  std::string value;
};

using http_headers = std::vector<http_header>;

struct http_request {
  std::string verb = "POST";
  std::string path;   // Without the query.
  std::string query;  // Behind the question mark.
  http_headers headers;
  std::string content_type;
  std::string body;
};

struct http_response {
  int status = 200;
  http_headers headers;
  std::string content_type;
  std::string body;
  // Ends the connection behind this answer.
  bool close = false;
};

// In ASCII.
[[nodiscard]] bool EqualsIgnoringCase(std::string_view a, std::string_view b);

// The first header called `name`, in any case of letters, or nothing.
[[nodiscard]] std::optional<std::string_view> FindHeader(
    const http_headers& headers,
    std::string_view name);

// The value of `name` in a query like "a=1&b=2", without decoding; or nothing.
[[nodiscard]] std::optional<std::string_view> FindParameter(
    std::string_view query,
    std::string_view name);

// `text` as a value in a query: bytes that have a meaning there are encoded
// (RFC 3986, sections 2.1 and 3.4).
[[nodiscard]] std::string EncodeQueryValue(std::string_view text);

// A whole decimal number without sign, or nothing.
[[nodiscard]] std::optional<std::uint64_t> ParseNumber(std::string_view text);

}  // namespace pistachioweir
