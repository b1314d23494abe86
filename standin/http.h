// http_request and http_response: plain messages of the stand-ins and tools,
// so that only http_server.cc and http_client.cc see Beast. In a namespace of
// their own: a stand-in that shared the daemon's HTTP code would share its
// faults and not show them.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "include/config/settings.h"

namespace pistachioweir::standin {

struct http_header {
  std::string name;
  std::string value;
};

using http_headers = std::vector<http_header>;

struct http_request {
  std::string method = "GET";
  std::string target = "/";
  http_headers headers;
  std::string body;
};

struct http_response {
  int status = 200;
  http_headers headers;
  std::string body;
};

// The value of the first header called `name` in any case; empty if absent.
[[nodiscard]] std::string_view FindHeader(const http_headers& headers,
                                          std::string_view name);

// The path of a request's target, without its query.
[[nodiscard]] std::string_view PathOf(std::string_view target);

// The value of `name` in a target's query, as it stands; empty if absent.
[[nodiscard]] std::string_view QueryValue(std::string_view target,
                                          std::string_view name);

// The number that `text` is; `fallback` if it is none.
[[nodiscard]] std::uint64_t NumberOr(std::string_view text,
                                     std::uint64_t fallback);

// Reads IP:PORT. Throws std::invalid_argument: for the edge of a program.
[[nodiscard]] endpoint ParseEndpoint(std::string_view text);

[[nodiscard]] std::string Authority(const endpoint& address);

}  // namespace pistachioweir::standin
