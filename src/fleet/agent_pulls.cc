// Documents and lists from peers; documents from the platform as a last way.
#include <algorithm>

#include "include/config/manifest_parser.h"
#include "src/daemon/peer_paths.h"
#include "src/fleet/agent_core.h"
#include "src/fleet/http_exchange.h"
#include "src/fleet/platform_documents.h"

namespace pistachioweir {
namespace {

constexpr milliseconds kPullTimeout{1000};
// A document of 1 MiB, escaped as a JSON string.
constexpr std::size_t kMaxAnswer = 4 << 20;
constexpr milliseconds kListPullPause{500};
// Services that call another one, for each of its own daemons. Only the pace
// of reading at the platform depends on it.
constexpr std::uint64_t kCallersPerDaemon = 4;

}  // namespace

void agent_core::StartPulls(time_point now) {
  const std::vector<manifest_version> missing = manifests_.Missing();
  const auto sources = [this, now](const std::string& service) {
    return SourcesOf(service, now);
  };
  for (const document_pull& pull :
       puller_.Due(missing, sources, !gossip_.has_history(), now, random_)) {
    StartPull(pull);
  }
}

document_sources agent_core::SourcesOf(const std::string& service,
                                       time_point now) const {
  document_sources sources;
  const std::string& own = options_.settings.service;
  // The own service's daemons call the same services, so they keep the same
  // documents.
  std::vector<fleet_target> holders = members_.Targets(own, now);
  sources.wanting = holders.size();
  if (service != own) {
    const std::vector<fleet_target> targets = members_.Targets(service, now);
    sources.wanting =
        std::max(holders.size(), targets.size()) * kCallersPerDaemon;
    holders.insert(holders.end(), targets.begin(), targets.end());
  }
  for (const fleet_target& holder : holders) {
    if (holder.vm != options_.settings.vm) {
      sources.peers.push_back(holder.peer);
    }
  }
  return sources;
}

void agent_core::StartPull(const document_pull& pull) {
  auto self = shared_from_this();
  if (!pull.from_peer) {
    Count(&fleet_counters::platform_reads);
    platform_.Read({.key = "manifest/" + pull.wanted.service}, random_(),
                   [self, pull](const platform_read& result) {
                     std::optional<std::string> text;
                     if (result.status == read_status::kFound) {
                       text = result.body;
                     } else {
                       self->Count(&fleet_counters::platform_failures);
                     }
                     self->Post([pull, text](agent_core& agent) {
                       agent.OnPulled(pull, text);
                     });
                   });
    return;
  }
  Count(&fleet_counters::pulls_sent);
  Exchange(io_,
           {.server = pull.from,
            .post = true,
            .path = std::string(kPeerRpcPath),
            .token = options_.peer_token,
            .body = DocumentRequest(pull.wanted),
            .timeout = kPullTimeout,
            .max_body = kMaxAnswer},
           [self, pull](const exchange_answer& answer) {
             std::optional<std::string> text;
             if (answer.status == 200) {
               text = ReadDocumentAnswer(answer.body);
             }
             if (!text) {
               self->Count(&fleet_counters::pulls_failed);
             }
             self->Post([pull, text](agent_core& agent) {
               agent.OnPulled(pull, text);
             });
           });
}

void agent_core::OnPulled(const document_pull& pull,
                          const std::optional<std::string>& text) {
  puller_.Done(pull, monotonic_clock::now(), random_);
  if (text) {
    AcceptDocument(pull.wanted.service, *text);
  }
}

bool agent_core::AcceptDocument(const std::string& service,
                                const std::string& text) {
  auto parsed = ParseManifest(text, "manifest/" + service);
  if (!parsed.ok() || parsed.value.service != service) {
    return false;
  }
  const time_point now = monotonic_clock::now();
  const manifest_version version = {.service = service,
                                    .version = parsed.value.version};
  switch (manifests_.Accept(std::move(parsed.value), text)) {
    case manifest_verdict::kAccepted:
      break;
    case manifest_verdict::kOlder:
      Count(&fleet_counters::manifests_older);
      return false;
    case manifest_verdict::kUnwanted:
      return false;
  }
  Count(&fleet_counters::manifests_accepted);
  Emit({.name = "manifest_accepted",
        .subject = service,
        .detail = "version=" + std::to_string(version.version)});
  held_.Keep(version, manifests_.Find(service)->text);
  held_.Retain(manifests_);
  members_.KeepServices(manifests_.direct());
  gossip_.NoteHolding(version, now);
  changed_ = true;
  return true;
}

// A started daemon gets the lists of the services it calls from its own
// service's other daemons, so that the platform needn't bear a read for each.
void agent_core::PullMissingLists(time_point now) {
  if (now < next_list_pull_) {
    return;
  }
  next_list_pull_ = now + kListPullPause;
  const std::vector<member_news> peers = gossip_.NewcomerPeers();
  if (peers.empty()) {
    return;
  }
  for (const std::string& service : manifests_.direct()) {
    if (members_.HasList(service) || !pulling_lists_.insert(service).second) {
      continue;
    }
    Count(&fleet_counters::pulls_sent);
    Exchange(
        io_,
        {.server = peers[random_() % peers.size()].peer,
         .post = true,
         .path = std::string(kPeerRpcPath),
         .token = options_.peer_token,
         .body = TargetsRequest(service),
         .timeout = kPullTimeout,
         .max_body = kMaxAnswer},
        [self = shared_from_this(), service](const exchange_answer& answer) {
          const auto list = ReadTargetsAnswer(answer.body);
          self->Post([service, list](agent_core& agent) {
            agent.pulling_lists_.erase(service);
            if (list && !list->empty()) {
              const time_point now = monotonic_clock::now();
              agent.OnLiveList(service, 0, *list, now);
              agent.schedule_.NoteHave("live/" + service, agent.Situation(now),
                                       now, agent.random_);
            }
          });
        });
  }
}

}  // namespace pistachioweir
