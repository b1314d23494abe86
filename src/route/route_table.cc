// Look-up of routes by host and longest prefix.
#include "include/route/route_table.h"

#include <algorithm>
#include <utility>

#include "include/base/ascii.h"

namespace pistachioweir {
namespace {

// The host's name in lower case, without a port.
std::string NormalHost(std::string_view host) {
  const std::size_t colon = host.rfind(':');
  const bool bracketed = !host.empty() && host.back() == ']';
  if (colon != host.npos && !bracketed) {
    host = host.substr(0, colon);
  }
  std::string normal(host);
  std::ranges::transform(normal, normal.begin(), ToLowerAscii);
  return normal;
}

std::string IndexKey(std::string_view host, std::string_view prefix) {
  std::string key(host);
  key.push_back('\n');  // In no host.
  key.append(prefix);
  return key;
}

bool IsPrefix(std::string_view prefix) {
  return !prefix.empty() && prefix.front() == '/' && prefix.back() == '/';
}

bool HasWeight(const route& checked) {
  return std::ranges::any_of(checked.parts, [](const route_part& part) {
    return part.weight > 0 && !part.service.empty();
  });
}

}  // namespace

std::optional<route_table> route_table::Make(std::vector<route> routes,
                                             std::string* problem) {
  route_table table;
  table.routes_ = std::move(routes);
  for (std::size_t i = 0; i < table.routes_.size(); ++i) {
    route& added = table.routes_[i];
    added.host = NormalHost(added.host);
    if (!IsPrefix(added.prefix)) {
      *problem = "route " + added.name + ": prefix \"" + added.prefix +
                 "\" doesn't begin and end with a slash";
      return std::nullopt;
    }
    if (!HasWeight(added)) {
      *problem = "route " + added.name + ": no service with a weight";
      return std::nullopt;
    }
    if (!table.index_.emplace(IndexKey(added.host, added.prefix), i).second) {
      *problem = "route " + added.name + ": another route has its host " +
                 added.host + " and prefix " + added.prefix;
      return std::nullopt;
    }
  }
  return table;
}

const route* route_table::Find(std::string_view host,
                               std::string_view path) const {
  path = path.substr(0, path.find('?'));
  std::string key = IndexKey(NormalHost(host), path);
  const std::size_t path_begin = key.size() - path.size();
  // Tries prefixes that end with a slash, from the longest to the shortest.
  for (;;) {
    const std::size_t slash = key.rfind('/');
    if (slash == key.npos || slash < path_begin) {
      return nullptr;
    }
    key.resize(slash + 1);
    const auto found = index_.find(key);
    if (found != index_.end()) {
      return &routes_[found->second];
    }
    key.resize(slash);
  }
}

}  // namespace pistachioweir
