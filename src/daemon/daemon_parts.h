// daemon_parts: builds the parts of a daemon in the order of their needs and
// connects them.
#pragma once

#include <atomic>
#include <memory>
#include <string>
#include <unordered_set>

#include "include/admin/admin_api.h"
#include "include/base/ids.h"
#include "include/config/settings.h"
#include "include/fleet/fleet_agent.h"
#include "src/daemon/caller_api.h"
#include "src/daemon/crash_guard.h"
#include "src/daemon/home_role.h"
#include "src/daemon/inbound_role.h"
#include "src/daemon/observer.h"
#include "src/daemon/outbound_role.h"
#include "src/daemon/peer_api.h"
#include "src/daemon/peer_client.h"
#include "src/daemon/peer_directory.h"
#include "src/daemon/serving_calls.h"
#include "src/daemon/status_report.h"
#include "src/daemon/view_holder.h"
#include "src/net/http_server.h"
#include "src/net/worker_pool.h"

namespace pistachioweir {

// Owns all parts. Calls run on `workers`, everything that isn't part of a call
// on `control`, so that reading manifests never delays a call.
class daemon_parts {
 public:
  explicit daemon_parts(const daemon_settings& settings);
  ~daemon_parts();

  daemon_parts(const daemon_parts&) = delete;
  daemon_parts& operator=(const daemon_parts&) = delete;

  void Start();
  // Takes no new work from now on.
  void Drain();
  // Whether anything is still in progress that a stop would interrupt.
  [[nodiscard]] bool Busy();
  // Requests of callers and daemons since the start.
  [[nodiscard]] std::uint64_t Requests() const;
  // Whether keys are out that only this daemon can judge.
  [[nodiscard]] bool HoldsKeys();
  void Stop();
  void AuditStopped();
  // Once a second.
  void Tick();

  [[nodiscard]] boost::asio::io_context& control_context() {
    return control_.context(0);
  }

 private:
  void OnFleetEvent(const fleet_event& event);
  void AuditLevel();
  void ImportSuspects(const fleet_view& view);
  void OnView(const std::shared_ptr<const fleet_view>& view);
  void Listen();

  const daemon_settings settings_;
  const incarnation_id incarnation_;
  worker_pool workers_;
  worker_pool control_;
  observer watch_;
  view_holder view_;
  peer_directory directory_;
  peer_client peers_;
  serving_calls serving_;
  crash_guard crashes_;
  fleet_agent fleet_;
  inbound_role inbound_;
  outbound_role outbound_;
  home_role home_;
  caller_api callers_;
  peer_api peer_api_;
  status_report status_;
  admin_api admin_;
  std::uint32_t last_level_ = 0;  // Of Tick() only.
  std::unique_ptr<http_server> caller_server_;
  std::unique_ptr<http_server> local_server_;
  std::unique_ptr<http_server> peer_server_;
  std::unique_ptr<http_server> admin_server_;
  std::atomic<bool> draining_{false};
  // Ids of the reports in the last view; of OnView() only.
  std::unordered_set<std::string> imported_;
};

}  // namespace pistachioweir
