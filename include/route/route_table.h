// route_table: which service a request goes to, by its host and path, and what
// its operator says of requests of that kind.
//
// A value; built once for each configuration and shared by whoever reads it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "include/base/enum_table.h"
#include "include/base/time.h"

namespace pistachioweir {

// Whether a request may run more than once.
enum class repeat_policy : std::uint8_t { kIdempotent, kAtMostOnce };

inline constexpr enum_table<repeat_policy, 2> kRepeatPolicyNames(
    {"idempotent", "at_most_once"});

// One of the services that a route's requests are divided among.
struct route_part {
  std::string service;
  std::uint32_t weight = 1;  // Relative to the other parts' weights.

  friend bool operator==(const route_part&, const route_part&) = default;
};

struct route {
  std::string name;
  std::string host;    // Lower case, without a port.
  std::string prefix;  // Begins and ends with a slash.
  repeat_policy repeats = repeat_policy::kAtMostOnce;
  // Longest time that a request may take; zero if only its caller bounds it.
  milliseconds timeout{0};
  // Time within which an answer is worth most to its caller.
  milliseconds latency_objective{0};
  // Most targets that one request may be sent to.
  std::uint32_t max_targets = 1;
  std::uint32_t rank = 0;         // 0 matters most.
  bool is_public = false;         // Its requests need no API key.
  std::vector<route_part> parts;  // At least one.
};

class route_table {
 public:
  route_table() = default;

  // Nothing if two routes have the same host and prefix, a prefix doesn't begin
  // and end with a slash, or a route has no part with a weight; `problem` then
  // tells which.
  [[nodiscard]] static std::optional<route_table> Make(
      std::vector<route> routes,
      std::string* problem);

  // The route of `host` with the longest prefix that begins `path`, or nullptr.
  // A port in `host` and the case of its letters make no difference; a query
  // behind the path is not looked at. Valid as long as the table.
  [[nodiscard]] const route* Find(std::string_view host,
                                  std::string_view path) const;

  [[nodiscard]] const std::vector<route>& routes() const { return routes_; }
  [[nodiscard]] bool empty() const { return routes_.empty(); }

 private:
  std::vector<route> routes_;
  // Index in `routes_` by host, a line end and prefix. One look-up for each
  // slash of a path: the time doesn't grow with the number of routes, of which
  // some configurations have thousands.
  std::unordered_map<std::string, std::size_t> index_;
};

}  // namespace pistachioweir
