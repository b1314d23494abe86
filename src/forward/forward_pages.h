// forward_pages: pages on the admin port of a forwarding daemon.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "include/base/time.h"
#include "include/forward/view_changes.h"
#include "src/forward/process_load.h"
#include "src/forward/repeat_sharing.h"
#include "src/forward/view_sharing.h"
#include "src/net/http_message.h"
#include "src/peer/peer_server.h"

namespace pistachioweir {

class executor;
class origin;
struct caller_port_state;

// Age of the view in use, and how it is kept up to date.
struct view_page {
  std::uint64_t revision = 0;  // Of the store; zero without a view.
  milliseconds age{0};         // Since a reader of the store confirmed it.
  store_reading reading = store_reading::kEager;
  std::uint64_t store_calls = 0;
  // Removals of targets that were delayed after an outage of the store.
  std::uint64_t removals_delayed = 0;
  std::size_t followers = 0;
  follower_counters publishing;
  view_sharing_counters sharing;
  // Time since it is proven to have been the newest; empty if never.
  std::optional<milliseconds> proven_age;
};

// Requests of one organisation at this daemon.
struct quota_page_entry {
  std::string organisation;
  std::uint64_t admitted = 0;
  std::uint64_t refused = 0;
};

struct quota_page {
  std::uint32_t in_touch = 0;  // Daemons that share quotas with this one.
  std::vector<quota_page_entry> refused;  // Organisations with refusals.
};

struct forward_page_sources {
  const origin& calls;
  const executor& runs;
  const caller_port_state& callers;
  std::uint64_t target_connections_opened = 0;
  std::uint64_t target_connections_reused = 0;
  std::uint64_t target_connections_passed_over = 0;
  view_page view;
  quota_page quotas;
  repeat_sharing_counters repeats;
  process_load load;
  bool ready = false;
};

// GET /metrics in Prometheus's text format; anything else is 404.
[[nodiscard]] http_response ForwardPage(std::string_view path,
                                        const forward_page_sources& sources);

}  // namespace pistachioweir
