// status_report: gathers what the admin port shows from the parts of a daemon.
#pragma once

#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "include/admin/admin_api.h"
#include "include/admin/daemon_status.h"
#include "include/base/ids.h"
#include "include/base/time.h"
#include "include/config/settings.h"
#include "include/fleet/fleet_agent.h"

namespace pistachioweir {

class inbound_role;
class observer;
class outbound_role;
class peer_directory;
class view_holder;

struct status_options {
  const daemon_settings& settings;
  incarnation_id incarnation{};
  view_holder& view;
  fleet_agent& fleet;
  const peer_directory& directory;
  inbound_role& inbound;
  outbound_role& outbound;
  observer& watch;
};

// Reads only; thread-safe.
class status_report {
 public:
  explicit status_report(const status_options& options);

  [[nodiscard]] daemon_status Status();
  [[nodiscard]] method_explanation Explain(std::string_view service,
                                           std::string_view method);
  // Prometheus's text, with gauges and counters brought up to date.
  [[nodiscard]] std::string Metrics();

  // The pages' data; must not outlive this.
  [[nodiscard]] admin_sources Sources();

 private:
  [[nodiscard]] daemon_state State();
  [[nodiscard]] milliseconds HeardAgo(const vm_id& vm, time_point now) const;
  void UpdateCounters();

  const daemon_settings& settings_;
  const incarnation_id incarnation_;
  const time_point started_ = monotonic_clock::now();
  view_holder& view_;
  fleet_agent& fleet_;
  const peer_directory& directory_;
  inbound_role& inbound_;
  outbound_role& outbound_;
  observer& watch_;
  std::mutex counted_mutex_;
  fleet_counters counted_;  // Already in the metrics; under counted_mutex_.
};

}  // namespace pistachioweir
