// view_sharing: keeps a daemon's view up to date together with other daemons:
// some read the platform's store and send the changes to the others.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "include/base/time.h"
#include "include/forward/forward_settings.h"
#include "include/forward/service_view.h"
#include "include/forward/view_changes.h"
#include "include/forward/view_following.h"
#include "include/forward/view_freshness.h"
#include "include/forward/view_state.h"
#include "src/peer/peer_frame.h"

namespace pistachioweir {

struct view_sharing_options {
  daemon_location self;
  endpoint own_target;
  reader_policy readers = reader_policy::kFew;
  // Maximum proven age of the view at which API keys can be checked against it;
  // zero if the age isn't limited.
  milliseconds max_key_age{0};
};

// Functions of the daemon's other components.
struct view_sharing_callbacks {
  // Calls to the source of views.
  std::function<view_state()> state;
  std::function<void(store_reading)> set_reading;
  std::function<void(std::uint64_t revision)> note_revision;
  std::function<void(time_point at)> note_store_answer;
  std::function<changes_verdict(const view_changes&)> apply;
  std::function<std::optional<view_changes>(std::uint64_t revision)>
      changes_since;
  // Connections to other daemons.
  std::function<void(const std::vector<std::string>& ips)> follow;
  std::function<void(const std::string& ip)> ask;
  std::function<void(const std::vector<std::string>& ips, std::size_t others)>
      ask_proofs;
  // Connections from other daemons.
  std::function<void(std::uint64_t revision)> ask_connected;
  std::function<void(const std::string& except)> notify_followers;
  std::function<void()> heartbeat;
};

struct view_sharing_counters {
  static constexpr std::array<int, 6> kBounds = {10, 30, 100, 300, 1000, 3000};

  std::uint64_t taken = 0;        // Frames of changes that were applied.
  std::uint64_t not_applied = 0;  // Frames that were not newer, or had a gap.
  std::uint64_t asked = 0;        // Requests to daemons with a newer revision.
  // Histogram of the applied frames by the milliseconds since a daemon read
  // them from the store: up to each bound, and above the last.
  std::array<std::uint64_t, kBounds.size() + 1> by_age{};
  double age_seconds = 0;  // Sum.
};

// Must be used on its context's thread only.
class view_sharing {
 public:
  view_sharing(boost::asio::io_context& context,
               view_sharing_options options,
               view_sharing_callbacks callbacks);

  void Start();
  void Stop();

  // A view has become current; `order` is that of its daemons.
  void OnView(const service_view& view, const daemon_order& order);
  // The view has new changes, received from the daemon at `from`, or read from
  // the store if that is empty.
  void OnUpdate(const std::string& from);
  void OnReport(const std::string& ip, const neighbour_report& report);
  // The daemon at `ip` can't be reached, or is stopping.
  void OnLost(const std::string& ip);
  void OnChanges(const view_changes& changes);
  // Another daemon answered a request sent at `asked` with the freshness of its
  // view.
  void OnProof(const freshness_proof& proof, boot_time asked);

  // Returns a frame with all changes after `revision`; nullptr if there are
  // none.
  [[nodiscard]] std::shared_ptr<const std::string> FrameSince(
      std::uint64_t revision);
  [[nodiscard]] std::uint64_t revision() const {
    return callbacks_.state().revision;
  }
  // Time since a reader of the store confirmed the view.
  [[nodiscard]] milliseconds age() const;
  // Time since the store's last answer to this daemon if it reads the store, or
  // else to a daemon that it follows.
  [[nodiscard]] std::optional<milliseconds> store_answered_ago() const;
  // Proven age of the view: time since it was certainly the store's newest
  // state.
  [[nodiscard]] std::optional<milliseconds> proven_age();
  [[nodiscard]] std::optional<freshness_proof> Proof();
  [[nodiscard]] store_reading reading() const { return reading_; }
  [[nodiscard]] const view_sharing_counters& counters() const {
    return counters_;
  }

 private:
  void Heartbeat();
  void Plan(time_point now);
  void AskConnected(milliseconds delay);
  void ArmAsk(milliseconds delay);
  void AskProofs();
  void CountAge(milliseconds age);
  void NoteStoreAnswer(const std::string& ip, const neighbour_report& report);

  const view_sharing_options options_;
  const view_sharing_callbacks callbacks_;
  boost::asio::steady_timer heartbeat_;
  boost::asio::steady_timer ask_;
  boost::asio::steady_timer start_;
  view_following following_;
  view_freshness freshness_;
  store_reading reading_ = store_reading::kEager;
  std::vector<std::string> sources_;
  // The newest revision that another daemon reported, and its address.
  std::uint64_t newest_reported_ = 0;
  std::string newest_reporter_;
  bool ask_armed_ = false;
  // The newest answer of the store that a source reported. Reports of daemons
  // that are not followed aren't passed on: they would circulate, and each
  // frame's transit would make them appear newer.
  std::optional<time_point> source_answered_;
  // Whether the target beside the daemon was last listed as ready, and since
  // when it is no longer listed.
  bool own_ready_ = false;
  std::optional<time_point> own_unlisted_since_;
  // The last encoded frame, shared by all followers at the same revision.
  std::uint64_t framed_after_ = 0;
  std::shared_ptr<const std::string> frame_;
  view_sharing_counters counters_;
  bool stopped_ = false;
};

}  // namespace pistachioweir
