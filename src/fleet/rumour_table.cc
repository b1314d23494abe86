// Spreading of recent news.
#include "src/fleet/rumour_table.h"

#include <algorithm>

namespace pistachioweir {
namespace {

template <typename Rumours>
void DropOldest(Rumours* rumours) {
  const auto oldest = std::ranges::min_element(
      *rumours, {}, [](const auto& item) { return item.second.learnt; });
  if (oldest != rumours->end()) {
    rumours->erase(oldest);
  }
}

bool Fits(std::size_t size, std::size_t more, std::size_t max) {
  return size + more <= max;
}

// Adds to `list` the rumours for which `choose` holds, while they fit.
template <typename Rumours, typename List, typename Choose, typename Sent>
void Fill(Rumours* rumours,
          List* list,
          std::size_t* size,
          std::size_t max_bytes,
          Choose choose,
          Sent sent) {
  for (auto& [subject, rumour] : *rumours) {
    const std::size_t more = EncodedSize(rumour.what);
    if (!choose(rumour) || !Fits(*size, more, max_bytes)) {
      continue;
    }
    *size += more;
    list->push_back(rumour.what);
    sent(rumour);
  }
}

}  // namespace

void rumour_table::Add(const version_news& news, time_point now) {
  const auto known = versions_.find(news.version.service);
  if (known != versions_.end() && known->second.what.version == news.version) {
    known->second.what.holder = news.holder;
    return;
  }
  if (versions_.size() >= kMaxRumours) {
    DropOldest(&versions_);
  }
  versions_[news.version.service] = {.what = news, .learnt = now};
}

void rumour_table::Add(const member_news& news, time_point now) {
  if (members_.size() >= kMaxRumours) {
    DropOldest(&members_);
  }
  members_[news.vm] = {.what = news, .learnt = now};
}

bool rumour_table::Add(const fleet_blob& blob, time_point now) {
  if (blobs_.contains(blob.id) || blobs_.size() >= kMaxBlobs ||
      blob.bytes.size() > kMaxBlobBytes || blob.remaining.count() <= 0) {
    return false;
  }
  blob_rumour entry;
  entry.what = blob;
  entry.learnt = now;
  entry.expires = now + blob.remaining;
  blobs_[blob.id] = entry;
  return true;
}

bool rumour_table::HasFresh() const {
  const auto fresh = [](const auto& item) { return item.second.fresh; };
  return std::ranges::any_of(versions_, fresh) ||
         std::ranges::any_of(members_, fresh) ||
         std::ranges::any_of(blobs_, fresh);
}

std::vector<gossip_message> rumour_table::TakeFresh(const gossip_message& head,
                                                    std::size_t max_messages,
                                                    time_point now) {
  std::vector<gossip_message> messages;
  const auto is_fresh = [](const auto& rumour) { return rumour.fresh; };
  const auto sent = [](auto& rumour) { rumour.fresh = false; };
  for (auto& [id, blob] : blobs_) {
    blob.what.remaining = std::chrono::duration_cast<milliseconds>(
        std::max(blob.expires - now, duration::zero()));
  }
  // Manifests first, deaths last: those calls show by themselves.
  while (messages.size() < max_messages && HasFresh()) {
    gossip_message message = head;
    std::size_t size = EncodedSize(message);
    constexpr std::size_t kMax = gossip_message::kMaxBytes;
    Fill(&versions_, &message.versions, &size, kMax, is_fresh, sent);
    Fill(&blobs_, &message.blobs, &size, kMax, is_fresh, sent);
    Fill(
        &members_, &message.members, &size, kMax,
        [](const auto& rumour) {
          return rumour.fresh && rumour.what.state != member_state::kDead;
        },
        sent);
    Fill(&members_, &message.members, &size, kMax, is_fresh, sent);
    messages.push_back(std::move(message));
  }
  return messages;
}

void rumour_table::Ride(gossip_message* message,
                        std::size_t max_bytes,
                        time_point now) {
  std::size_t size = EncodedSize(*message);
  for (auto& [id, blob] : blobs_) {
    blob.what.remaining = std::chrono::duration_cast<milliseconds>(
        std::max(blob.expires - now, duration::zero()));
  }
  ++message_number_;
  for (std::uint32_t rides = 0; rides < kMaxRides; ++rides) {
    const auto due = [this, rides, now](const auto& rumour) {
      return rumour.rides == rides && rumour.rode_in != message_number_ &&
             now - rumour.learnt < kRideTime;
    };
    const auto sent = [this](auto& rumour) {
      ++rumour.rides;
      rumour.rode_in = message_number_;
    };
    Fill(&versions_, &message->versions, &size, max_bytes, due, sent);
    Fill(&members_, &message->members, &size, max_bytes, due, sent);
    Fill(&blobs_, &message->blobs, &size, max_bytes, due, sent);
  }
}

void rumour_table::Expire(time_point now) {
  const auto old = [now](const auto& item) {
    return now - item.second.learnt > kLifetime;
  };
  std::erase_if(versions_, old);
  std::erase_if(members_, old);
  // Kept as long again as it was valid, so that a late copy of the datagram
  // doesn't bring it back.
  std::erase_if(blobs_, [now](const auto& item) {
    const blob_rumour& blob = item.second;
    return now - blob.expires > blob.expires - blob.learnt;
  });
}

const member_news* rumour_table::FindMember(const vm_id& vm) const {
  const auto found = members_.find(vm);
  return found == members_.end() ? nullptr : &found->second.what;
}

std::vector<fleet_blob> rumour_table::Blobs(time_point now) const {
  std::vector<fleet_blob> blobs;
  for (const auto& [id, blob] : blobs_) {
    if (now < blob.expires) {
      blobs.push_back(blob.what);
      blobs.back().remaining =
          std::chrono::duration_cast<milliseconds>(blob.expires - now);
    }
  }
  return blobs;
}

}  // namespace pistachioweir
