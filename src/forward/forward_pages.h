// forward_pages: what a forwarding daemon shows on its admin port.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "include/base/time.h"
#include "src/net/http_message.h"

namespace pistachioweir {

class executor;
class origin;
struct caller_port_state;

// How new the view in use is.
struct view_page {
  std::uint64_t revision = 0;  // Of the store; zero without a view.
  bool told = false;           // By another daemon; the store has not answered.
  std::optional<milliseconds> age;  // Since the store confirmed it.
};

struct forward_page_sources {
  const origin& calls;
  const executor& runs;
  const caller_port_state& callers;
  std::uint64_t target_connections_opened = 0;
  std::uint64_t target_connections_reused = 0;
  view_page view;
  bool ready = false;
};

// GET /metrics in Prometheus's text format; anything else is 404.
[[nodiscard]] http_response ForwardPage(std::string_view path,
                                        const forward_page_sources& sources);

}  // namespace pistachioweir
