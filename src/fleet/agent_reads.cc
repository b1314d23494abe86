// Reads of the platform.
#include <algorithm>

#include "src/fleet/agent_core.h"
#include "src/fleet/platform_documents.h"

namespace pistachioweir {
namespace {

constexpr std::string_view kLivePrefix = "live/";
// Of the daemons that see a new version in the index, one in this many reads
// the document to become its first holder.
constexpr std::uint64_t kHoldersDivisor = 4;

}  // namespace

void agent_core::StartReads(time_point now) {
  for (const scheduled_read& read :
       schedule_.Due(Situation(now), now, random_)) {
    StartRead(read);
  }
}

void agent_core::StartRead(const scheduled_read& read) {
  Count(&fleet_counters::platform_reads);
  platform_.Read(
      {.key = read.key, .after = read.after, .wait = read.wait}, random_(),
      [self = shared_from_this(), key = read.key](const platform_read& result) {
        self->Post(
            [key, result](agent_core& agent) { agent.OnRead(key, result); });
      });
}

void agent_core::OnRead(const std::string& key, const platform_read& result) {
  const time_point now = monotonic_clock::now();
  const bool failed = result.status == read_status::kFailed;
  if (failed) {
    Count(&fleet_counters::platform_failures);
  }
  NotePlatform(failed, now);
  if (result.status == read_status::kFound) {
    if (key == "index") {
      OnIndex(result.body, now);
    } else if (key.starts_with(kLivePrefix)) {
      if (const auto list = ParseLiveList(result.body)) {
        OnLiveList(key.substr(kLivePrefix.size()), result.revision, *list, now);
      }
    }
  }
  schedule_.Done(key, failed, result.revision, Situation(now), now, random_);
}

void agent_core::OnIndex(const std::string& body, time_point now) {
  const auto versions = ParseIndex(body);
  if (!versions) {
    return;
  }
  for (const manifest_version& version : *versions) {
    const bool is_news =
        version.version > manifests_.KnownVersion(version.service);
    if (is_news && gossip_.has_history() &&
        !manifests_.IsWanted(version.service) &&
        random_() % kHoldersDivisor == 0) {
      HoldForOthers(version);
    }
  }
  gossip_.LearnVersions(*versions, now);
}

void agent_core::HoldForOthers(const manifest_version& version) {
  Count(&fleet_counters::platform_reads);
  platform_.Read(
      {.key = "manifest/" + version.service}, random_(),
      [self = shared_from_this(), version](const platform_read& result) {
        if (result.status != read_status::kFound) {
          return;
        }
        self->Post([version, text = result.body](agent_core& agent) {
          const time_point now = monotonic_clock::now();
          agent.held_.KeepAsGuest(
              version, std::make_shared<const std::string>(text), now);
          agent.gossip_.NoteHolding(version, now);
        });
      });
}

void agent_core::OnLiveList(const std::string& service,
                            std::uint64_t revision,
                            const std::vector<fleet_target>& list,
                            time_point now) {
  gossip_.TakeList(service, list);
  if (!std::ranges::binary_search(manifests_.direct(), service)) {
    return;
  }
  for (const member_change& change :
       members_.ApplyList(service, revision, list, now)) {
    Report(change);
  }
  if (service == options_.settings.service) {
    TakeOwnEntry(list, now);
  }
  changed_ = true;
}

// The list is a second way to learn that this VM leaves. It lags, so that it
// may still mean the last start of a VM of this name: only a change from live
// to leaving is final.
void agent_core::TakeOwnEntry(const std::vector<fleet_target>& list,
                              time_point now) {
  const auto own =
      std::ranges::find(list, options_.settings.vm, &fleet_target::vm);
  if (own == list.end()) {
    return;
  }
  list_says_leaving_ = own->state == member_state::kLeaving;
  if (list_says_leaving_ && seen_live_ &&
      gossip_.self().state == member_state::kLive) {
    gossip_.Leave(now);
  }
  seen_live_ = seen_live_ || own->state == member_state::kLive;
}

}  // namespace pistachioweir
