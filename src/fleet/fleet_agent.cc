// The thread-safe face of agent_core.
#include "include/fleet/fleet_agent.h"

#include <utility>

#include "src/fleet/agent_core.h"
#include "src/fleet/rumour_table.h"

namespace pistachioweir {

fleet_agent::fleet_agent(boost::asio::io_context& io,
                         fleet_agent_options options)
    : core_(std::make_shared<agent_core>(io, std::move(options))) {}

fleet_agent::~fleet_agent() {
  core_->Stop();
}

void fleet_agent::Start() {
  core_->Start();
}

void fleet_agent::Stop() {
  core_->Stop();
}

std::shared_ptr<const fleet_view> fleet_agent::View() const {
  return core_->View();
}

fleet_counters fleet_agent::Counters() const {
  return core_->Counters();
}

bool fleet_agent::IsFresh(time_point now) const {
  return core_->IsFresh(now);
}

void fleet_agent::NoteCallAnswered(const vm_id& vm,
                                   incarnation_id incarnation) {
  core_->Post([vm, incarnation](agent_core& core) {
    core.Report(
        core.members().NoteAnswered(vm, incarnation, monotonic_clock::now()));
  });
}

void fleet_agent::NoteCallFailed(const vm_id& vm, incarnation_id incarnation) {
  core_->Post([vm, incarnation](agent_core& core) {
    core.Report(
        core.members().NoteFailed(vm, incarnation, monotonic_clock::now()));
  });
}

void fleet_agent::NoteLeaving(const vm_id& vm, incarnation_id incarnation) {
  core_->Post([vm, incarnation](agent_core& core) {
    core.Report(
        core.members().NoteLeaving(vm, incarnation, monotonic_clock::now()));
  });
}

void fleet_agent::Leave() {
  core_->RequestLeave();
}

bool fleet_agent::PublishBlob(const std::string& id,
                              const std::string& bytes,
                              milliseconds lifetime) {
  if (id.empty() || id.size() > rumour_table::kMaxBlobBytes ||
      bytes.size() > rumour_table::kMaxBlobBytes || lifetime.count() <= 0 ||
      View()->blobs.size() >= rumour_table::kMaxBlobs) {
    return false;
  }
  core_->Post([id, bytes, lifetime](agent_core& core) {
    core.LearnBlob({.id = id, .bytes = bytes, .remaining = lifetime});
  });
  return true;
}

std::string fleet_agent::HandleRpc(std::string_view json) {
  return core_->HandleRpc(json);
}

}  // namespace pistachioweir
