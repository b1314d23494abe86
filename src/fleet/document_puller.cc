// Order and pace of fetches.
#include "include/fleet/document_puller.h"

#include <algorithm>

namespace pistachioweir {
namespace {

milliseconds UpTo(milliseconds span, std::mt19937_64& random) {
  return milliseconds(
      std::uniform_int_distribution<std::int64_t>(0, span.count())(random));
}

constexpr std::size_t kMaxHolders = 4;
constexpr std::size_t kMaxNamed = 256;
constexpr std::uint32_t kMaxDoublings = 6;

}  // namespace

void document_puller::NoteHolder(const version_news& news) {
  const std::string& service = news.version.service;
  const auto found = fetches_.find(service);
  if (found == fetches_.end()) {
    if (named_.size() < kMaxNamed) {
      named_[service] = news;
    }
    return;
  }
  fetch& entry = found->second;
  if (entry.version <= news.version.version &&
      entry.holders.size() < kMaxHolders &&
      std::ranges::find(entry.holders, news.holder) == entry.holders.end()) {
    entry.holders.push_back(news.holder);
  }
}

void document_puller::Forget(const std::vector<manifest_version>& missing) {
  std::erase_if(fetches_, [&](const auto& item) {
    return !item.second.under_way &&
           std::ranges::find(missing, item.first, &manifest_version::service) ==
               missing.end();
  });
}

std::vector<document_pull> document_puller::Due(
    const std::vector<manifest_version>& missing,
    const std::function<document_sources(const std::string&)>& sources,
    bool newcomer,
    time_point now,
    std::mt19937_64& random) {
  Forget(missing);
  std::vector<document_pull> due;
  for (const manifest_version& wanted : missing) {
    const auto [found, added] = fetches_.try_emplace(wanted.service);
    fetch& entry = found->second;
    if (added || entry.version < wanted.version) {
      entry.version = wanted.version;
      entry.platform_tries = 0;
      entry.next_peer = newcomer ? now : now + UpTo(kFirstPull, random);
      const auto wanting =
          static_cast<std::int64_t>(sources(wanted.service).wanting);
      entry.next_platform = now + UpTo(kPlatformEach * wanting, random);
      if (const auto named = named_.find(wanted.service);
          named != named_.end()) {
        entry.holders = {named->second.holder};
        named_.erase(named);
      }
    }
    if (entry.under_way || under_way_ >= kMaxUnderWay) {
      continue;
    }
    document_pull pull = {.wanted = wanted};
    if (now >= entry.next_platform) {
      due.push_back(pull);
    } else if (now >= entry.next_peer) {
      pull.from_peer = true;
      if (!entry.holders.empty()) {
        pull.from = entry.holders.back();
        entry.holders.pop_back();
      } else {
        const std::vector<endpoint> peers = sources(wanted.service).peers;
        if (peers.empty()) {
          continue;
        }
        pull.from = peers[std::uniform_int_distribution<std::size_t>(
            0, peers.size() - 1)(random)];
      }
      due.push_back(pull);
    } else {
      continue;
    }
    entry.under_way = true;
    ++under_way_;
  }
  return due;
}

void document_puller::Done(const document_pull& pull,
                           time_point now,
                           std::mt19937_64& random) {
  const auto found = fetches_.find(pull.wanted.service);
  if (found == fetches_.end() || !found->second.under_way) {
    return;
  }
  fetch& entry = found->second;
  entry.under_way = false;
  --under_way_;
  if (pull.from_peer) {
    entry.next_peer = now + kRetry / 2 + UpTo(kRetry, random);
    return;
  }
  entry.platform_tries = std::min(entry.platform_tries + 1, kMaxDoublings);
  const milliseconds retry = kPlatformRetry * (1 << entry.platform_tries);
  entry.next_platform = now + retry / 2 + UpTo(retry, random);
}

}  // namespace pistachioweir
