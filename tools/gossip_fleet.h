// gossip_fleet: many of the fleet's protocol objects in one process, on a
// virtual clock and a fake transport. For tests of the logic and for the slope
// in the fleet's size; it has no model of calls, load or machines.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "include/base/time.h"
#include "include/fleet/document_puller.h"
#include "include/fleet/gossip_node.h"
#include "include/fleet/manifest_store.h"
#include "include/fleet/membership.h"
#include "include/fleet/newcomer_rule.h"
#include "include/fleet/reader_schedule.h"

namespace pistachioweir {

struct gossip_fleet_options {
  std::size_t nodes = 100;
  std::size_t services = 10;
  std::size_t regions = 2;
  std::size_t data_centres = 6;
  std::uint64_t seed = 1;
  double loss = 0;  // Of datagrams.
  milliseconds near_latency{1};
  milliseconds far_latency{8};  // Between regions.
  bool newcomer_rule = true;
};

// Totals since the start.
struct gossip_fleet_counters {
  std::uint64_t datagrams = 0;
  std::uint64_t bytes = 0;         // With headers and authentication.
  std::uint64_t region_bytes = 0;  // Of these, between regions.
  std::uint64_t platform_reads = 0;
  std::uint64_t max_reads_in_second = 0;
  std::uint64_t pulls = 0;
};

// Drives one protocol object per node. Single-threaded.
class gossip_fleet {
 public:
  explicit gossip_fleet(gossip_fleet_options options);
  ~gossip_fleet();

  void RunFor(milliseconds span);
  [[nodiscard]] time_point now() const { return now_; }
  [[nodiscard]] std::size_t size() const { return nodes_.size(); }
  [[nodiscard]] const gossip_fleet_counters& counters() const {
    return counters_;
  }

  // Makes a newer version of a service's manifest at the platform; returns it.
  std::uint64_t PublishManifest(std::size_t service);
  // A stale platform goes on serving what it has now; versions published
  // meanwhile reach it when it is fresh again.
  void SetPlatformStale(bool stale);
  void SetPlatformUp(bool up) { platform_up_ = up; }
  // Tells one daemon of a version as if it had read it before the platform
  // went stale.
  void TellOf(std::size_t node, std::size_t service, std::uint64_t version);
  void SetLoss(double loss) { options_.loss = loss; }
  // Datagrams for which this returns true are dropped.
  void SetCut(std::function<bool(std::size_t from, std::size_t to)> cut);
  // Doubles this share of the datagrams and delays the copy.
  void SetDoubling(double share, milliseconds delay);

  void Kill(std::size_t node);
  // With empty memory and a new incarnation.
  void Restart(std::size_t node);
  void Leave(std::size_t node);
  void Announce(std::size_t node, const fleet_blob& blob);

  [[nodiscard]] std::size_t RegionOf(std::size_t node) const;
  [[nodiscard]] std::size_t ServiceOf(std::size_t node) const;
  [[nodiscard]] bool IsUp(std::size_t node) const;
  [[nodiscard]] bool IsReady(std::size_t node) const;
  [[nodiscard]] std::uint64_t KnownVersion(std::size_t node,
                                           std::size_t service) const;
  [[nodiscard]] std::uint64_t VersionInForce(std::size_t node,
                                             std::size_t service) const;
  [[nodiscard]] bool Wants(std::size_t node, std::size_t service) const;
  [[nodiscard]] const gossip_node& node(std::size_t node) const;
  // What `node` believes of `other`; nothing if it doesn't follow it.
  [[nodiscard]] std::optional<member_state> Believes(std::size_t node,
                                                     std::size_t other) const;
  [[nodiscard]] std::string VmName(std::size_t node) const;
  [[nodiscard]] std::string ServiceName(std::size_t service) const;

 private:
  struct daemon;
  struct event {
    time_point at;
    std::uint64_t order = 0;
    std::function<void()> run;
    friend bool operator<(const event& a, const event& b) {
      return a.at != b.at ? a.at > b.at : a.order > b.order;
    }
  };

  void At(time_point when, std::function<void()> run);
  void StartDaemon(std::size_t index);
  void ScheduleTick(std::size_t index, std::uint64_t start);
  void Tick(std::size_t index);
  void TickReads(std::size_t index);
  void Settle(std::size_t index);
  void Deliver(std::size_t from, std::vector<outgoing_datagram> out);
  void Receive(std::size_t to, std::size_t from, const gossip_message& message);
  [[nodiscard]] milliseconds Latency(std::size_t a, std::size_t b) const;
  [[nodiscard]] reader_situation Situation(daemon& self) const;
  void Read(std::size_t index, const scheduled_read& read);
  void AnswerRead(std::size_t index, const std::string& key);
  void Pull(std::size_t index, const document_pull& pull);
  void PullLists(std::size_t index);
  void Accept(std::size_t index, std::size_t service, std::uint64_t version);
  void CountRead();
  [[nodiscard]] std::vector<fleet_target> LiveList(std::size_t service) const;
  [[nodiscard]] service_manifest Manifest(std::size_t service,
                                          std::uint64_t version) const;
  [[nodiscard]] std::size_t IndexOf(const endpoint& peer) const;
  [[nodiscard]] std::size_t ServiceIndex(const std::string& name) const;

  gossip_fleet_options options_;
  std::mt19937_64 random_;
  time_point now_;
  std::uint64_t next_order_ = 0;
  std::priority_queue<event> events_;
  std::vector<std::unique_ptr<daemon>> nodes_;
  std::function<bool(std::size_t, std::size_t)> cut_;
  double doubling_ = 0;
  milliseconds doubling_delay_{0};

  bool platform_up_ = true;
  bool platform_stale_ = false;
  std::uint64_t revision_ = 1;
  std::vector<std::uint64_t> published_;
  std::vector<std::uint64_t> served_;  // What a stale platform serves.
  std::vector<std::function<void()>> index_watches_;
  std::int64_t read_second_ = 0;
  std::uint64_t reads_in_second_ = 0;
  gossip_fleet_counters counters_;
};

}  // namespace pistachioweir
