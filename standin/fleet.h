// fleet: a platform, targets and daemons as separate processes on one machine,
// and the ways to break them. For process tests, the demo and the soak.
#pragma once

#include <json/value.h>

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "include/base/time.h"
#include "standin/child_process.h"
#include "standin/forwarder.h"
#include "standin/http_client.h"

namespace pistachioweir::standin {

struct fleet_plan {
  std::string programs;  // Folder of the built programs.
  // Folder with manifest/SERVICE.json, and work.json: the mean service time of
  // each method in milliseconds, {"SERVICE": {"METHOD": 2}}.
  std::string documents;
  std::uint32_t vms = 3;  // Of each service.
  bool forward = false;   // Whether traffic between daemons can be cut.
  // Folder for settings, logs and records; a temporary one if empty, removed
  // at the end.
  std::string folder;
};

enum class live_state : std::uint8_t { kLive, kLeaving, kGone };

// Owns all processes and ends them. Members are called from one thread.
//
// Every fleet lives on a loopback address of its own, drawn from the process's
// id, so that tests run side by side without asking for free ports.
class fleet {
 public:
  explicit fleet(fleet_plan plan);
  ~fleet();
  fleet(const fleet&) = delete;
  fleet& operator=(const fleet&) = delete;

  // Starts everything, and waits until every daemon serves a call down the
  // chain. False if one doesn't within `limit`.
  [[nodiscard]] bool Start(milliseconds limit = seconds(60));
  // Waits until each of `vms` completes a call of every service's first method
  // that may run more than once.
  [[nodiscard]] bool WaitServing(const std::vector<std::string>& vms,
                                 milliseconds limit = seconds(30));

  // VM names, as "contracts-1".
  [[nodiscard]] std::vector<std::string> Vms() const;
  [[nodiscard]] std::vector<std::string> VmsOf(
      const std::string& service) const;
  [[nodiscard]] std::vector<endpoint> CallersOf(
      const std::string& service) const;
  [[nodiscard]] endpoint CallerOf(const std::string& vm) const;
  [[nodiscard]] endpoint TargetOf(const std::string& vm) const;
  [[nodiscard]] endpoint AdminOf(const std::string& vm) const;
  [[nodiscard]] endpoint PeerOf(const std::string& vm) const;

  // Never null for a VM of the fleet.
  [[nodiscard]] child_process& daemon(const std::string& vm);
  [[nodiscard]] child_process& target(const std::string& vm);
  [[nodiscard]] forwarder& links() { return *links_; }

  // Starts one that was ended, with empty memory.
  void StartDaemon(const std::string& vm);
  void StartTarget(const std::string& vm);
  // A VM that wasn't there before, published as live. Returns its name.
  std::string AddVm(const std::string& service);

  // Members of target_config.
  void Configure(const std::string& vm, const Json::Value& changes);
  void Publish(const std::string& vm, live_state state);
  // Whether the VM is in the live list, live or leaving.
  [[nodiscard]] bool IsPublished(const std::string& vm) const;
  // Publishes `service`'s manifest with `changes` and the next version, which
  // it returns.
  std::uint64_t ChangeManifest(const std::string& service,
                               const Json::Value& changes);
  // "ok", "down", "stale", "older" or "slow".
  void SetPlatform(const std::string& mode);
  [[nodiscard]] Json::Value PlatformCounts() const;

  // The JSON page `path` of a VM's admin port; null if there is none.
  [[nodiscard]] Json::Value Admin(const std::string& vm,
                                  const std::string& path) const;

  // The version of `service`'s manifest in force at `vm`; zero if none is, or
  // the daemon doesn't answer.
  [[nodiscard]] std::uint64_t VersionAt(const std::string& vm,
                                        const std::string& service) const;

  [[nodiscard]] const std::string& folder() const { return folder_; }
  // Executions and what the platform published; see verifier.h.
  [[nodiscard]] std::string records() const { return folder_ + "/records"; }
  [[nodiscard]] std::string told() const { return folder_ + "/told"; }
  [[nodiscard]] std::string LogOf(const std::string& vm) const;

 private:
  struct vm_entry;

  vm_entry& Find(const std::string& vm);
  [[nodiscard]] const vm_entry& Find(const std::string& vm) const;
  vm_entry& Add(const std::string& service);
  [[nodiscard]] endpoint Address(std::uint32_t vm, std::uint32_t port) const;
  [[nodiscard]] endpoint PlatformAddress() const;
  [[nodiscard]] endpoint PlatformControl() const;
  void WriteSettings(const vm_entry& vm) const;
  void WriteTargetConfig(const std::string& service) const;
  void PublishList(const std::string& service);
  void StartPlatform();
  void Control(const endpoint& port,
               const std::string& path,
               const std::string& body) const;
  [[nodiscard]] bool Serves(const std::string& vm) const;

  fleet_plan plan_;
  std::string folder_;
  std::string ip_;
  std::map<std::string, Json::Value> manifests_;  // By service.
  Json::Value work_;
  std::map<std::string, std::unique_ptr<vm_entry>> vms_;
  std::uint32_t next_vm_ = 0;
  std::unique_ptr<child_process> platform_;
  std::mutex pids_mutex_;
  std::map<std::string, pid_t> pids_;  // Guarded by pids_mutex_.
  std::unique_ptr<forwarder> links_;   // Last: its thread asks for pids.
};

}  // namespace pistachioweir::standin
