// The origin's links to the daemons of targets, and the events received there.
#include <algorithm>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "include/base/log.h"
#include "include/base/random_bits.h"
#include "include/quarantine/suspect_fanout.h"
#include "src/forward/executor.h"
#include "src/forward/origin.h"

namespace pistachioweir {
namespace {

// A link that carried calls is closed after this long without use.
constexpr milliseconds kLinkIdle{60000};
// A link opened only for gossip is closed after this long: its frames have been
// sent, and the peer has answered with newer state.
constexpr milliseconds kGossipLinkIdle{3000};
// A notice of a target that isn't listed is dropped after this long.
constexpr milliseconds kNoticeRetention{60000};

}  // namespace

std::shared_ptr<peer_link> origin::LinkTo(const std::string& ip) {
  std::shared_ptr<peer_link>& link = links_[ip];
  if (link == nullptr) {
    link = std::make_shared<peer_link>(
        context_,
        peer_link_options{.address = {.ip = ip, .port = options_.peer_port},
                          .self = options_.self,
                          .vm = options_.vm,
                          .last_number = last_number_,
                          .memory = options_.memory},
        EventsOf(ip));
  }
  return link;
}

peer_link_events origin::EventsOf(const std::string& ip) {
  return {
      .on_reachable =
          [this, ip](bool reachable, std::string_view why) {
            LogEvent("peer_reachable",
                     {{.name = "peer", .value = ip},
                      {.name = "reachable", .value = reachable ? "yes" : "no"},
                      {.name = "why", .value = std::string(why)}});
            if (!reachable && options_.on_peer_lost) {
              options_.on_peer_lost(ip);
            }
            ForTargetsAt(ip, [reachable](balancer& targets, target_ref target) {
              targets.SetReachable(target, reachable);
            });
          },
      .on_connected =
          [this, ip] {
            if (options_.on_peer_connected) {
              options_.on_peer_connected(ip);
            }
          },
      .on_leaving =
          [this, ip](bool leaving) {
            if (leaving && options_.on_peer_lost) {
              options_.on_peer_lost(ip);
            }
            ForTargetsAt(ip, [leaving](balancer& targets, target_ref target) {
              targets.SetStopping(target, leaving);
            });
          },
      .on_load =
          [this, ip](const load_report& load) {
            const time_point now = monotonic_clock::now();
            ForTargetsAt(ip, [&](balancer& targets, target_ref target) {
              targets.UpdateLoad(target, load, now);
            });
          },
      .on_report =
          [this, ip](const neighbour_report& report) { OnReport(ip, report); },
      .on_notice = [this,
                    ip](const known_notice& notice) { OnNotice(ip, notice); },
      .known_notice_of_peer = [this, ip] { return NoticeOf(ip); },
      .on_suspects =
          [this](const suspects_frame& suspects) {
            return options_.on_suspects ? options_.on_suspects(suspects)
                                        : suspects_frame{};
          },
      .known_suspects =
          [this] { return suspects_frame{.entries = local_.KnownSuspects()}; },
      .revision = options_.revision,
      .changes_since = options_.changes_since,
      .on_changes = options_.on_changes,
      .on_proof = options_.on_proof,
      .on_quota =
          [this, ip](const quota_frame& quota) {
            if (options_.on_quota) {
              options_.on_quota(ip, quota);
            }
          },
      .on_repeat_grant =
          [this, ip](const std::optional<repeat_frame>& grant) {
            if (options_.on_repeat_grant) {
              options_.on_repeat_grant(ip, grant);
            }
          }};
}

void origin::OnReport(const std::string& ip, const neighbour_report& report) {
  if (options_.on_report) {
    options_.on_report(ip, report);
  }
  const time_point now = monotonic_clock::now();
  lapsed_.OnVouched(ip, report.vouched, now - report.vouched_ago);
  KeepLapsed(now);
}

void origin::OnNotice(const std::string& ip, const known_notice& notice) {
  LogEvent("target_notice",
           {{.name = "start", .value = notice.start},
            {.name = "limit",
             .value = notice.rate_limit ? std::to_string(*notice.rate_limit)
                                        : "none"},
            {.name = "leaving", .value = notice.leaving ? "yes" : "no"},
            {.name = "age_ms", .value = std::to_string(notice.age.count())},
            {.name = "from", .value = ip}});
  notices_[ip] = {.notice = notice,
                  .learnt_at = monotonic_clock::now() - notice.age};
  if (view_ != nullptr) {
    ApplyNotices();
  }
}

known_notice origin::NoticeOf(const std::string& ip) const {
  const auto found = notices_.find(ip);
  if (found == notices_.end()) {
    return {};
  }
  known_notice notice = found->second.notice;
  notice.age = ToMilliseconds(monotonic_clock::now() - found->second.learnt_at);
  return notice;
}

void origin::ApplyNotices() {
  for (const auto& [ip, heard] : notices_) {
    for (const target_entry* const target : directory_.At(ip)) {
      balancer& targets = StateOf(target->service).targets;
      const auto ref = targets.RefOf(target->id);
      if (!ref) {
        continue;
      }
      const bool is_same = StartName(*target) == heard.notice.start;
      targets.SetRateLimit(*ref,
                           is_same ? heard.notice.rate_limit : std::nullopt);
      if (is_same && heard.notice.leaving) {
        targets.MarkLeaving(*ref);
      }
    }
  }
}

// The view may list a start later than its notice arrives, and an entry may
// vanish while the store is away.
void origin::ExpireNotices(time_point now) {
  std::erase_if(notices_, [&](const auto& entry) {
    const auto& [ip, heard] = entry;
    const bool listed = std::ranges::any_of(
        directory_.At(ip), [&start = heard.notice.start](const auto* target) {
          return StartName(*target) == start;
        });
    return !listed && now - heard.learnt_at > kNoticeRetention;
  });
}

void origin::ForTargetsAt(
    const std::string& ip,
    const std::function<void(balancer&, target_ref)>& work) {
  for (const target_entry* const target : directory_.At(ip)) {
    balancer& targets = StateOf(target->service).targets;
    if (const auto ref = targets.RefOf(target->id)) {
      work(targets, *ref);
    }
  }
}

void origin::SendSuspects(const std::shared_ptr<const std::string>& frame,
                          std::set<incarnation_id>* to) {
  const time_point now = monotonic_clock::now();
  for (const auto& [ip, link] : links_) {
    const auto connected = link->connected();
    if (!connected || !to->contains(*connected)) {
      continue;
    }
    link->SendSuspects(frame);
    if (link->IsWell(now)) {
      to->erase(*connected);
    }
  }
}

std::set<incarnation_id> origin::linked() const {
  std::set<incarnation_id> linked;
  for (const auto& [ip, link] : links_) {
    if (const auto connected = link->connected()) {
      linked.insert(*connected);
    }
  }
  return linked;
}

// A link sends all known suspects as soon as it is established.
void origin::PushSuspectsToUnlinked() {
  for (const std::string& ip : ChooseUnconnected(Unlinked(), RandomBits64)) {
    LinkTo(ip)->Probe();
  }
}

void origin::Follow(const std::vector<std::string>& ips) {
  for (const auto& [ip, link] : links_) {
    if (link->follows() && std::ranges::find(ips, ip) == ips.end()) {
      link->Unfollow();
    }
  }
  for (const std::string& ip : ips) {
    LinkTo(ip)->Follow();
  }
}

void origin::AskChanges(const std::string& ip) {
  const auto found = links_.find(ip);
  if (found != links_.end()) {
    found->second->AskChanges();
  }
}

void origin::SendUsage(const std::string& ip, const usage_frame& usage) {
  LinkTo(ip)->SendUsage(usage);
}

bool origin::ReadsRepeatReports(const std::string& ip) {
  return LinkTo(ip)->ReadsRepeatReports();
}

void origin::SendRepeatReport(const std::string& ip,
                              const repeat_frame& report) {
  LinkTo(ip)->SendRepeatReport(report);
}

void origin::AskProofs(const std::vector<std::string>& ips,
                       std::size_t additional) {
  for (const std::string& ip : ips) {
    const auto found = links_.find(ip);
    if (found != links_.end()) {
      found->second->AskProof();
    }
  }
  const std::size_t count = std::min(additional, links_.size());
  for (std::size_t i = 0; i < count; ++i) {
    auto next = links_.upper_bound(last_proof_peer_);
    if (next == links_.end()) {
      next = links_.begin();
    }
    last_proof_peer_ = next->first;
    next->second->AskProof();
  }
}

// IP addresses of daemons without a link.
std::vector<std::string> origin::Unlinked() const {
  std::set<std::string> ips;
  if (view_ != nullptr) {
    for (const target_entry& target : view_->targets) {
      if (target.address != options_.own_target &&
          !links_.contains(target.address.ip)) {
        ips.insert(target.address.ip);
      }
    }
  }
  return {ips.begin(), ips.end()};
}

stream_load origin::link_load() const {
  stream_load sum;
  for (const auto& [ip, link] : links_) {
    sum.Add(link->load());
  }
  return sum;
}

void origin::Tick(time_point now) {
  ShareReserve(now);
  lapsed_.Expire(now);
  KeepLapsed(now);
  if (!notices_.empty() && view_ != nullptr) {
    ExpireNotices(now);
  }
  for (auto it = links_.begin(); it != links_.end();) {
    const milliseconds idle =
        it->second->carries_calls() ? kLinkIdle : kGossipLinkIdle;
    // Unreachable links stay open: only they can detect recovery, since their
    // targets get no calls. Closing one left a target unused forever although
    // it had recovered after a minute.
    const bool unused =
        it->second->reachable() && it->second->outstanding() == 0 &&
        !it->second->follows() && now - it->second->last_used() > idle;
    it->second->SendMissedSuspects();
    if (unused) {
      it->second->Close();
      it = links_.erase(it);
    } else {
      ++it;
    }
  }
}

void origin::CloseUnusedLinks() {
  for (auto it = links_.begin(); it != links_.end();) {
    if (directory_.At(it->first).empty() && it->second->outstanding() == 0 &&
        !it->second->follows()) {
      it->second->Close();
      it = links_.erase(it);
    } else {
      ++it;
    }
  }
}

}  // namespace pistachioweir
