// view_sharing: keeps a daemon's view up to date together with other daemons:
// some read the platform's store, the others hear from them what changes.
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
  // How old the view may be proven to be before API keys can't be judged by it;
  // zero if nobody wants to know.
  milliseconds max_key_age{0};
};

// What the daemon's other parts do for it.
struct view_sharing_callbacks {
  // The source of views.
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

  std::uint64_t taken = 0;        // Frames of changes that had news.
  std::uint64_t not_applied = 0;  // And that had none, or too late a beginning.
  std::uint64_t asked = 0;        // Another daemon, since it knew of more.
  // Of those taken, by the milliseconds since a daemon read them at the store:
  // up to each bound, and beyond the last.
  std::array<std::uint64_t, kBounds.size() + 1> by_age{};
  double age_seconds = 0;  // Sum.
};

// Used on its context's thread only.
class view_sharing {
 public:
  view_sharing(boost::asio::io_context& context,
               view_sharing_options options,
               view_sharing_callbacks callbacks);

  void Start();
  void Stop();

  // A view has come into use.
  void OnView(const service_view& view);
  // More is known than before, told by the daemon at `from`, or read if that is
  // empty.
  void OnUpdate(const std::string& from);
  void OnReport(const std::string& ip, const neighbour_report& report);
  // The daemon at `ip` can't be reached, or is stopping.
  void OnLost(const std::string& ip);
  void OnChanges(const view_changes& told);
  // Another daemon, asked at `asked`, proved how new its view is.
  void OnProof(const freshness_proof& proof, boot_time asked);

  // What changed behind `revision` as a frame; nullptr if nothing did.
  [[nodiscard]] std::shared_ptr<const std::string> FrameSince(
      std::uint64_t revision);
  [[nodiscard]] std::uint64_t revision() const {
    return callbacks_.state().revision;
  }
  // How long ago a daemon that reads the store confirmed the view.
  [[nodiscard]] milliseconds age() const;
  // How long ago the store answered this daemon, if it reads the store, else a
  // daemon that it follows.
  [[nodiscard]] std::optional<milliseconds> store_answered_ago() const;
  // How long ago the view is proven to have been the store's newest state.
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
  // The newest change that another daemon told of, and which one.
  std::uint64_t newest_reported_ = 0;
  std::string newest_reporter_;
  bool ask_armed_ = false;
  // The newest answer of the store that a source told of. What daemons that are
  // not followed tell isn't told on: it would go round in circles, and each
  // frame's way would make it newer.
  std::optional<time_point> source_answered_;
  // Whether the target beside the daemon was listed as ready, and since when it
  // isn't listed any more.
  bool own_ready_ = false;
  std::optional<time_point> own_unlisted_since_;
  // The last frame that was made, for all followers that know as much.
  std::uint64_t framed_after_ = 0;
  std::shared_ptr<const std::string> frame_;
  view_sharing_counters counters_;
  bool stopped_ = false;
};

}  // namespace pistachioweir
