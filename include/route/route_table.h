// route_table: maps a request to its service by host and path, with the
// operator's policy for requests of that kind.
//
// An immutable value, built once per configuration and shared by its readers.
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

// One of the services among which a route's requests are split.
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
  // Maximum duration of a request; zero if only its caller bounds it.
  milliseconds timeout{0};
  // Latency within which an answer is most valuable to its caller.
  milliseconds latency_objective{0};
  // Maximum number of targets that one request may be sent to.
  std::uint32_t max_targets = 1;
  std::uint32_t rank = 0;         // 0 is most important.
  bool is_public = false;         // Its requests need no API key.
  std::vector<route_part> parts;  // At least one.
};

class route_table {
 public:
  route_table() = default;

  // Returns nothing if two routes have the same host and prefix, a prefix
  // doesn't begin and end with a slash, or a route has no part with a weight;
  // `problem` then says which.
  [[nodiscard]] static std::optional<route_table> Make(
      std::vector<route> routes,
      std::string* problem);

  // Returns the route of `host` with the longest matching prefix of `path`, or
  // nullptr. A port in `host` and letter case are ignored, as is the query
  // after the path. Valid as long as the table.
  [[nodiscard]] const route* Find(std::string_view host,
                                  std::string_view path) const;

  [[nodiscard]] const std::vector<route>& routes() const { return routes_; }
  [[nodiscard]] bool empty() const { return routes_.empty(); }

 private:
  std::vector<route> routes_;
  // Index in `routes_` by host, newline and prefix. Each slash of a path takes
  // one look-up: the time doesn't grow with the number of routes, of which some
  // configurations have thousands.
  std::unordered_map<std::string, std::size_t> index_;
};

}  // namespace pistachioweir
