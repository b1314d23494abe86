// fleet_agent: keeps one daemon's view of the fleet. Reads the platform, talks
// with other daemons by gossip, pulls manifests from them, and publishes what
// it knows as an immutable fleet_view.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "include/base/ids.h"
#include "include/base/time.h"
#include "include/config/settings.h"
#include "include/fleet/fleet_view.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace pistachioweir {

class agent_core;

// A change for the audit trail.
struct fleet_event {
  // As "manifest_accepted", "member_state", "ready", "paused".
  std::string name;
  std::string subject;  // A service or VM.
  std::string detail;   // As "version=7" or "state=leaving".
};

// Monotonic counts since start, for metrics.
struct fleet_counters {
  std::uint64_t platform_reads = 0;
  std::uint64_t platform_failures = 0;
  std::uint64_t datagrams_sent = 0;
  std::uint64_t datagrams_received = 0;
  std::uint64_t datagram_bytes_sent = 0;
  std::uint64_t datagram_bytes_received = 0;
  std::uint64_t datagrams_forged = 0;  // Wrong signature or malformed.
  std::uint64_t datagrams_over_budget = 0;
  std::uint64_t pulls_sent = 0;
  std::uint64_t pulls_failed = 0;
  std::uint64_t pulls_served = 0;
  std::uint64_t manifests_accepted = 0;
  std::uint64_t manifests_older = 0;  // Offered again at an older version.
  std::uint64_t pauses = 0;
  // Gauges.
  std::uint64_t known_services = 0;
  std::uint64_t known_peers = 0;
  std::uint64_t fleet_size_estimate = 0;
  // When the platform last answered a read; zero time if it never did.
  time_point platform_answered;
  // Whether the last read failed. Most daemons read seldom.
  bool platform_failing = false;
};

struct fleet_agent_options {
  daemon_settings settings;
  incarnation_id incarnation{};
  // Shown to other daemons' peer ports.
  std::string peer_token;
  // Expected number of daemons, until lists tell: spreads the first reads of
  // daemons that start together.
  std::uint64_t fleet_size_hint = 300;
  // Called on one thread of the io_context at a time, after each change.
  std::function<void(const std::shared_ptr<const fleet_view>&)> on_change;
  std::function<void(const fleet_event&)> on_event;
};

// Owns its sockets and timers on the given io_context, which may run on
// several threads and must outlive it. All methods are thread-safe.
class fleet_agent {
 public:
  fleet_agent(boost::asio::io_context& io, fleet_agent_options options);
  // Stops; the io_context may still hold handlers, which then do nothing.
  ~fleet_agent();
  fleet_agent(const fleet_agent&) = delete;
  fleet_agent& operator=(const fleet_agent&) = delete;

  // Throws boost::system::system_error if the peer's UDP port can't be bound.
  void Start();
  // Closes sockets and timers. The last view stays readable.
  void Stop();

  // The newest view; never null.
  [[nodiscard]] std::shared_ptr<const fleet_view> View() const;
  [[nodiscard]] fleet_counters Counters() const;
  // False just after this process was paused, until its view was refreshed.
  // Ask before acting on the view: it also shows a pause that the agent's own
  // thread has not yet noticed.
  [[nodiscard]] bool IsFresh(time_point now) const;

  // What a call showed of a target's daemon. Pass incarnation_id{} if unknown.
  void NoteCallAnswered(const vm_id& vm, incarnation_id incarnation);
  void NoteCallFailed(const vm_id& vm, incarnation_id incarnation);
  // An answer said that its daemon drains.
  void NoteLeaving(const vm_id& vm, incarnation_id incarnation);

  // Tells peers that this VM leaves, for good. Calls in progress go on.
  void Leave();

  // Spreads `bytes` under `id` over the fleet for `lifetime`. Returns false
  // if it is too large or too many are known already.
  bool PublishBlob(const std::string& id,
                   const std::string& bytes,
                   milliseconds lifetime);

  // Answers one JSON-RPC request of another daemon (POST /rpc on the peer
  // port).
  [[nodiscard]] std::string HandleRpc(std::string_view json);

 private:
  std::shared_ptr<agent_core> core_;
};

}  // namespace pistachioweir
