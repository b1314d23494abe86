// held_documents: the texts of manifests that this daemon gives to others.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "include/base/time.h"
#include "include/fleet/manifest_store.h"

namespace pistachioweir {

// Documents in force here, and for a while those that this daemon only read to
// be the first holder of a new version. Bounded; thread-safe.
class held_documents {
 public:
  static constexpr std::size_t kMaxGuests = 32;
  // A release that a whole service pulls from one daemon at once must not take
  // its target's share of the VM; refused pullers ask another peer.
  static constexpr std::uint32_t kMaxPerSecond = 50;

  void Keep(const manifest_version& version,
            std::shared_ptr<const std::string> text);
  // Kept until newer guests take its place.
  void KeepAsGuest(const manifest_version& version,
                   std::shared_ptr<const std::string> text,
                   time_point now);
  // Drops documents that are not wanted any more.
  void Retain(const manifest_store& manifests);

  // Null if it isn't held at this version or a newer one, or too many asked.
  [[nodiscard]] std::shared_ptr<const std::string> Give(
      const manifest_version& wanted,
      time_point now);

 private:
  struct held {
    std::uint64_t version = 0;
    std::shared_ptr<const std::string> text;
    bool guest = false;
    time_point since;
  };

  std::mutex mutex_;
  std::map<std::string, held, std::less<>> documents_;
  time_point second_;        // Start of the second being counted.
  std::uint32_t given_ = 0;  // In that second.
};

}  // namespace pistachioweir
