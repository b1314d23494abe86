// membership: which VMs serve a service, from three sources that all lag or
// mislead in their own way.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "include/base/ids.h"
#include "include/base/time.h"
#include "include/fleet/fleet_view.h"

namespace pistachioweir {

// What gossip says of one start of one daemon.
struct member_news {
  vm_id vm;
  std::string service;
  std::string data_centre;
  std::string region;
  endpoint peer;
  incarnation_id incarnation{};
  // Raised by the member alone, to answer what others say of it. Orders news
  // of one VM, since incarnations are random and clocks aren't compared.
  std::uint32_t generation = 0;
  member_state state = member_state::kLive;

  friend bool operator==(const member_news&, const member_news&) = default;
};

// Whether `a` says something that overrides `b`, both of the same VM.
[[nodiscard]] bool Overrides(const member_news& a, const member_news& b);

// A member whose believed state has changed.
struct member_change {
  vm_id vm;
  std::string service;
  member_state state = member_state::kLive;
};

// Weighs the sources by age and directness:
//  - the platform's live list names VMs and their addresses, but lags; a list
//    that no longer names a VM removes it, unless gossip brought the VM after
//    that list was read and within kListLag;
//  - gossip tells of restarts, leaving and death within seconds; leaving and
//    death stand for their incarnation whatever an older list says;
//  - a call that was answered is the youngest and most direct sign of life;
//    calls that failed in a row make a VM suspect for a bounded time.
// Holds the members of few services; bounded by kMaxMembers. Takes the time as
// an argument. Not thread-safe.
class membership {
 public:
  // Bounds what a peer can make a daemon remember.
  static constexpr std::size_t kMaxMembers = 4096;
  // How long the live list may lag behind gossip.
  static constexpr seconds kListLag{60};
  // Fewer failed calls in a row can be the calls' own fault.
  static constexpr std::uint32_t kFailuresToSuspect = 3;
  // After this a suspect gets calls again: the failures may have been on the
  // way, and without calls nobody would learn that it is back.
  static constexpr seconds kSuspicion{5};

  // Takes the list of one service, as the platform serves it at `revision`.
  // A list older than the last one is ignored. Returns what changed.
  std::vector<member_change> ApplyList(std::string_view service,
                                       std::uint64_t revision,
                                       const std::vector<fleet_target>& list,
                                       time_point now);
  // Returns the change, if the news overrides what is known.
  std::optional<member_change> ApplyNews(const member_news& news,
                                         time_point now);

  std::optional<member_change> NoteAnswered(const vm_id& vm,
                                            incarnation_id incarnation,
                                            time_point now);
  std::optional<member_change> NoteFailed(const vm_id& vm,
                                          incarnation_id incarnation,
                                          time_point now);
  std::optional<member_change> NoteLeaving(const vm_id& vm,
                                           incarnation_id incarnation,
                                           time_point now);
  // Drops the members of services that are not in `services` (sorted).
  void KeepServices(const std::vector<std::string>& services);

  // The targets of `service` that are not dead, sorted by VM.
  [[nodiscard]] std::vector<fleet_target> Targets(std::string_view service,
                                                  time_point now) const;
  // Whether a list of `service` was read.
  [[nodiscard]] bool HasList(std::string_view service) const;
  [[nodiscard]] std::uint64_t ListRevision(std::string_view service) const;
  // Nothing if the VM is unknown.
  [[nodiscard]] std::optional<member_state> StateOf(const vm_id& vm,
                                                    time_point now) const;
  [[nodiscard]] std::size_t size() const { return members_.size(); }

 private:
  struct member {
    member_news news;  // generation 0 and no incarnation until gossip tells.
    bool has_news = false;
    time_point news_at;
    bool list_says_leaving = false;
    time_point list_leaving_since;
    bool answer_says_leaving = false;
    std::uint32_t failures = 0;  // In a row.
    time_point failed_at;
    std::optional<time_point> answered_at;
  };
  struct list_state {
    std::uint64_t revision = 0;
  };
  using member_map = std::map<vm_id, member, std::less<>>;

  [[nodiscard]] static member_state StateOf(const member& entry,
                                            time_point now);
  template <typename Change>
  std::optional<member_change> Update(const vm_id& vm,
                                      time_point now,
                                      Change change);
  [[nodiscard]] static bool IsOther(const member& entry,
                                    incarnation_id incarnation);

  member_map members_;
  std::map<std::string, list_state, std::less<>> lists_;
};

}  // namespace pistachioweir
