// document_puller: from whom a daemon gets the documents that it lacks.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "include/base/time.h"
#include "include/config/settings.h"
#include "include/fleet/gossip_message.h"
#include "include/fleet/manifest_store.h"

namespace pistachioweir {

// One document to fetch now.
struct document_pull {
  manifest_version wanted;
  // The platform, if false; else the peer at `from`.
  bool from_peer = false;
  endpoint from;
};

// Who might have a document.
struct document_sources {
  std::vector<endpoint> peers;
  // Roughly how many daemons want this document.
  std::uint64_t wanting = 1;
};

// Made for a release that changes a hundred manifests in a second, each wanted
// by hundreds of daemons: read at the platform by all, they would exceed its
// rate many times over. A daemon asks the holder that a rumour names, then
// peers at random, and turns to the platform only after a random delay that
// grows with the number of daemons in the same position. Bounded by the
// documents that are missing. Not thread-safe.
class document_puller {
 public:
  static constexpr milliseconds kRetry{250};
  // Spreads the requests that one rumour causes; a newcomer doesn't wait.
  static constexpr milliseconds kFirstPull{150};
  static constexpr milliseconds kPlatformEach{50};
  static constexpr milliseconds kPlatformRetry{1000};
  static constexpr std::size_t kMaxUnderWay = 8;

  void NoteHolder(const version_news& news);
  // What to fetch now; each counts as under way until Done().
  [[nodiscard]] std::vector<document_pull> Due(
      const std::vector<manifest_version>& missing,
      const std::function<document_sources(const std::string&)>& sources,
      bool newcomer,
      time_point now,
      std::mt19937_64& random);
  void Done(const document_pull& pull, time_point now, std::mt19937_64& random);

 private:
  struct fetch {
    std::uint64_t version = 0;
    bool under_way = false;
    time_point next_peer;
    time_point next_platform;
    std::uint32_t platform_tries = 0;
    std::vector<endpoint> holders;  // Not yet asked.
  };

  void Forget(const std::vector<manifest_version>& missing);

  std::map<std::string, fetch, std::less<>> fetches_;
  std::map<std::string, version_news, std::less<>> named_;
  std::size_t under_way_ = 0;
};

}  // namespace pistachioweir
