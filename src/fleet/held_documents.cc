// Texts of manifests, under one lock.
#include "src/fleet/held_documents.h"

#include <algorithm>
#include <utility>

namespace pistachioweir {

void held_documents::Keep(const manifest_version& version,
                          std::shared_ptr<const std::string> text) {
  const std::lock_guard lock(mutex_);
  documents_[version.service] = {.version = version.version,
                                 .text = std::move(text)};
}

void held_documents::KeepAsGuest(const manifest_version& version,
                                 std::shared_ptr<const std::string> text,
                                 time_point now) {
  const std::lock_guard lock(mutex_);
  const auto found = documents_.find(version.service);
  if (found != documents_.end() && found->second.version >= version.version) {
    return;
  }
  documents_[version.service] = {.version = version.version,
                                 .text = std::move(text),
                                 .guest = true,
                                 .since = now};
  const auto is_guest = [](const auto& item) { return item.second.guest; };
  if (std::ranges::count_if(documents_, is_guest) <=
      static_cast<std::ptrdiff_t>(kMaxGuests)) {
    return;
  }
  auto oldest = documents_.end();
  for (auto it = documents_.begin(); it != documents_.end(); ++it) {
    const bool older =
        oldest == documents_.end() || it->second.since < oldest->second.since;
    if (it->second.guest && older) {
      oldest = it;
    }
  }
  documents_.erase(oldest);
}

void held_documents::Retain(const manifest_store& manifests) {
  const std::lock_guard lock(mutex_);
  std::erase_if(documents_, [&](const auto& item) {
    return !item.second.guest && !manifests.IsWanted(item.first);
  });
}

std::shared_ptr<const std::string> held_documents::Give(
    const manifest_version& wanted,
    time_point now) {
  const std::lock_guard lock(mutex_);
  if (now - second_ >= seconds(1)) {
    second_ = now;
    given_ = 0;
  }
  const auto found = documents_.find(wanted.service);
  if (found == documents_.end() || found->second.version < wanted.version ||
      given_ >= kMaxPerSecond) {
    return nullptr;
  }
  ++given_;
  return found->second.text;
}

}  // namespace pistachioweir
