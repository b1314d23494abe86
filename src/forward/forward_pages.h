// forward_pages: what a forwarding daemon shows on its admin port.
#pragma once

#include <cstdint>
#include <string_view>

#include "src/net/http_message.h"

namespace pistachioweir {

class executor;
class origin;
struct caller_port_state;

struct forward_page_sources {
  const origin& calls;
  const executor& runs;
  const caller_port_state& callers;
  std::uint64_t target_connections_opened = 0;
  std::uint64_t target_connections_reused = 0;
  bool ready = false;
};

// GET /metrics in Prometheus's text format; anything else is 404.
[[nodiscard]] http_response ForwardPage(std::string_view path,
                                        const forward_page_sources& sources);

}  // namespace pistachioweir
