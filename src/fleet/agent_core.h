// agent_core: the state behind a fleet_agent. Runs the protocol's pure parts
// against sockets, timers and the platform.
#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include "include/fleet/document_puller.h"
#include "include/fleet/fleet_agent.h"
#include "include/fleet/gossip_node.h"
#include "include/fleet/manifest_store.h"
#include "include/fleet/membership.h"
#include "include/fleet/newcomer_rule.h"
#include "include/fleet/pause_detector.h"
#include "include/fleet/reader_schedule.h"
#include "src/fleet/gossip_port.h"
#include "src/fleet/held_documents.h"
#include "src/fleet/peer_rpc.h"
#include "src/fleet/platform_client.h"

namespace pistachioweir {

// All state belongs to one strand, but for what mutex_ guards. Handlers keep
// the object alive; after Stop() they do nothing.
class agent_core : public std::enable_shared_from_this<agent_core> {
 public:
  agent_core(boost::asio::io_context& io, fleet_agent_options options);

  void Start();
  void Stop();

  // Runs `work` on the strand, unless the agent has stopped.
  template <typename Work>
  void Post(Work work) {
    boost::asio::post(
        strand_, [self = shared_from_this(), work = std::move(work)]() mutable {
          if (!self->stopped_) {
            work(*self);
          }
        });
  }

  // Any thread.
  [[nodiscard]] std::shared_ptr<const fleet_view> View() const;
  [[nodiscard]] fleet_counters Counters() const;
  [[nodiscard]] bool IsFresh(time_point now) const;
  [[nodiscard]] std::string HandleRpc(std::string_view json);

  // Any thread: leaves soon; Stop() waits for it.
  void RequestLeave();

  // On the strand.
  membership& members() { return members_; }
  void Report(const std::optional<member_change>& change);
  void LearnBlob(const fleet_blob& blob);

 private:
  void Leave();
  void Tick();
  void ScheduleTick();
  void NotePause(time_point now);
  void DecideReady(time_point now);
  void TakeGossip(time_point now);
  [[nodiscard]] reader_situation Situation(time_point now);
  [[nodiscard]] std::uint64_t FleetSize(time_point now) const;

  // agent_reads.cc: the platform.
  void StartReads(time_point now);
  void StartRead(const scheduled_read& read);
  void OnRead(const std::string& key, const platform_read& result);
  void OnIndex(const std::string& body, time_point now);
  void OnLiveList(const std::string& service,
                  std::uint64_t revision,
                  const std::vector<fleet_target>& list,
                  time_point now);
  void TakeOwnEntry(const std::vector<fleet_target>& list, time_point now);
  void HoldForOthers(const manifest_version& version);

  // agent_pulls.cc: documents and lists from peers.
  void StartPulls(time_point now);
  void StartPull(const document_pull& pull);
  void OnPulled(const document_pull& pull,
                const std::optional<std::string>& text);
  void PullMissingLists(time_point now);
  bool AcceptDocument(const std::string& service, const std::string& text);
  [[nodiscard]] document_sources SourcesOf(const std::string& service,
                                           time_point now) const;

  void Publish(time_point now);
  void Emit(const fleet_event& event);
  void Count(std::uint64_t fleet_counters::*counter);
  void NotePlatform(bool failing, time_point now);
  void CopyCounters(time_point now);

  const fleet_agent_options options_;
  boost::asio::io_context& io_;
  gossip_port::strand_type strand_;
  boost::asio::steady_timer timer_;
  platform_client platform_;
  std::shared_ptr<gossip_port> port_;

  // Of the strand.
  bool stopped_ = false;
  bool changed_ = true;  // Something to publish.
  std::mt19937_64 random_;
  manifest_store manifests_;
  membership members_;
  gossip_node gossip_;
  reader_schedule schedule_;
  document_puller puller_;
  newcomer_rule newcomer_;
  std::string stranger_;  // Empty until an index is known.
  pause_detector pause_;
  bool seen_live_ = false;  // The own VM, on a live list of this incarnation.
  bool list_says_leaving_ = false;
  std::set<std::string> pulling_lists_;
  time_point next_list_pull_;
  time_point next_publish_;

  // Last tick and whether the view is stale, for other threads.
  std::atomic<monotonic_clock::rep> last_tick_{0};
  std::atomic<bool> fresh_{true};

  held_documents held_;  // Has its own lock.
  peer_rpc_server rpc_;  // Has its own lock.
  mutable std::mutex mutex_;
  std::shared_ptr<const fleet_view> view_;  // Under mutex_; never null.
  fleet_counters counters_;                 // Under mutex_.
  bool leave_requested_ = false;            // Under mutex_.
  bool leave_told_ = false;                 // Under mutex_.
  std::condition_variable leave_signal_;
};

}  // namespace pistachioweir
