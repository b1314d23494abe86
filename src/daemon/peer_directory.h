// peer_directory: what this daemon knows of other daemons' addresses and
// starts, from the fleet view and from what rode on answers.
#pragma once

#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

#include "include/base/ids.h"
#include "include/base/time.h"
#include "include/config/settings.h"
#include "include/fleet/fleet_view.h"

namespace pistachioweir {

// The start of an executor that attempts can be bound to.
struct executor_start {
  incarnation_id incarnation{};
  epoch_id epoch{};
};

// Thread-safe; one lock, held for single look-ups.
class peer_directory {
 public:
  // Replaces the addresses; what is known of starts is kept for VMs that stay.
  void SetView(const fleet_view& view);

  // An answer came from `vm`. True if that is news for the fleet: another start
  // than before, the first answer behind a failure, or the first in a second.
  // Answers come thousands of times a second; the fleet's view needs few.
  bool NoteStart(const vm_id& vm, const executor_start& start, time_point now);
  // Whether the daemon of `vm` reported a queue or a level with its last
  // answer.
  void NoteLoad(const vm_id& vm, bool loaded);
  [[nodiscard]] bool IsLoaded(const vm_id& vm) const;

  // A call to `vm` got no answer.
  void NoteFailure(const vm_id& vm);

  [[nodiscard]] std::optional<endpoint> AddressOf(const vm_id& vm) const;

  // When the last answer of `vm` came; nothing if none did.
  [[nodiscard]] std::optional<time_point> HeardAt(const vm_id& vm) const;

  // The last heard start of `vm`, if it was heard recently enough that its
  // epoch is surely still acceptable; else nothing, and the VM must be asked.
  [[nodiscard]] std::optional<executor_start> StartOf(const vm_id& vm,
                                                      time_point now) const;

 private:
  struct entry {
    endpoint address;
    executor_start start;
    time_point heard;  // Of `start`; zero time if never.
    time_point told;   // When NoteStart() was last true.
    bool failing = false;
    bool loaded = false;
  };

  mutable std::mutex mutex_;
  std::unordered_map<vm_id, entry> entries_;  // Guarded by mutex_.
};

}  // namespace pistachioweir
