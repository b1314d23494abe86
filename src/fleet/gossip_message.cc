// MessagePack codec of gossip. Messages are arrays; a later release may append
// fields, which this one passes over.
#include "include/fleet/gossip_message.h"

#include <msgpack.hpp>

#include <arpa/inet.h>

#include <algorithm>
#include <exception>

namespace pistachioweir {
namespace {

constexpr std::uint32_t kFormat = 1;
constexpr std::size_t kMaxText = 255;
constexpr milliseconds kMaxLifetime = std::chrono::hours(1);
// Array and field headers, numbers at their largest.
constexpr std::size_t kHeaderSize = 48;
constexpr std::size_t kBucketSize = 9;

struct wire_version {
  std::string service;
  std::uint64_t version = 0;
  std::uint32_t holder_ip = 0;
  std::uint16_t holder_port = 0;
  MSGPACK_DEFINE_ARRAY(service, version, holder_ip, holder_port)
};

struct wire_member {
  std::string vm;
  std::string service;
  std::string data_centre;
  std::string region;
  std::uint32_t ip = 0;
  std::uint16_t port = 0;
  std::uint64_t incarnation = 0;
  std::uint32_t generation = 0;
  std::uint8_t state = 0;
  MSGPACK_DEFINE_ARRAY(vm,
                       service,
                       data_centre,
                       region,
                       ip,
                       port,
                       incarnation,
                       generation,
                       state)
};

struct wire_blob {
  std::string id;
  std::string bytes;
  std::uint64_t remaining_ms = 0;
  MSGPACK_DEFINE_ARRAY(id, bytes, remaining_ms)
};

struct wire_message {
  std::uint32_t format = 0;
  std::uint8_t kind = 0;
  std::uint64_t sequence = 0;
  wire_member sender;
  bool has_history = false;
  std::uint64_t digest = 0;
  std::vector<wire_version> versions;
  std::vector<wire_member> members;
  std::vector<wire_blob> blobs;
  std::vector<std::uint64_t> buckets;
  std::vector<wire_member> samples;
  MSGPACK_DEFINE_ARRAY(format,
                       kind,
                       sequence,
                       sender,
                       has_history,
                       digest,
                       versions,
                       members,
                       blobs,
                       buckets,
                       samples)
};

std::uint32_t ToNumber(const std::string& ip) {
  in_addr address = {};
  inet_pton(AF_INET, ip.c_str(), &address);
  return ntohl(address.s_addr);
}

wire_member ToWire(const member_news& news) {
  return {.vm = news.vm,
          .service = news.service,
          .data_centre = news.data_centre,
          .region = news.region,
          .ip = ToNumber(news.peer.ip),
          .port = news.peer.port,
          .incarnation = static_cast<std::uint64_t>(news.incarnation),
          .generation = news.generation,
          .state = static_cast<std::uint8_t>(news.state)};
}

std::string ToText(std::uint32_t ip) {
  const in_addr address = {.s_addr = htonl(ip)};
  char text[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &address, text, sizeof(text));
  return text;
}

bool IsName(const std::string& text) {
  return !text.empty() && text.size() <= kMaxText;
}

std::optional<member_news> FromWire(const wire_member& wire) {
  const auto state = decltype(kMemberStateNames)::FromNumber(wire.state);
  if (!state || !IsName(wire.vm) || !IsName(wire.service) ||
      wire.data_centre.size() > kMaxText || wire.region.size() > kMaxText ||
      wire.port == 0 || wire.ip == 0) {
    return std::nullopt;
  }
  return member_news{.vm = wire.vm,
                     .service = wire.service,
                     .data_centre = wire.data_centre,
                     .region = wire.region,
                     .peer = {.ip = ToText(wire.ip), .port = wire.port},
                     .incarnation = incarnation_id{wire.incarnation},
                     .generation = wire.generation,
                     .state = *state};
}

bool ReadMembers(const std::vector<wire_member>& wire,
                 std::vector<member_news>* members) {
  for (const wire_member& entry : wire) {
    const auto news = FromWire(entry);
    if (!news) {
      return false;
    }
    members->push_back(*news);
  }
  return true;
}

bool ReadLists(const wire_message& wire, gossip_message* message) {
  for (const wire_version& version : wire.versions) {
    if (!IsName(version.service) || version.version == 0) {
      return false;
    }
    message->versions.push_back(
        {.version = {.service = version.service, .version = version.version}});
    if (version.holder_port != 0) {
      message->versions.back().holder = {.ip = ToText(version.holder_ip),
                                         .port = version.holder_port};
    }
  }
  if (!ReadMembers(wire.members, &message->members) ||
      !ReadMembers(wire.samples, &message->samples)) {
    return false;
  }
  for (const wire_blob& blob : wire.blobs) {
    const auto longest = static_cast<std::uint64_t>(kMaxLifetime.count());
    if (!IsName(blob.id) || blob.remaining_ms > longest) {
      return false;
    }
    message->blobs.push_back({.id = blob.id,
                              .bytes = blob.bytes,
                              .remaining = milliseconds(blob.remaining_ms)});
  }
  return true;
}

std::optional<wire_message> Unpack(std::string_view bytes) {
  // Bounds what a hostile message can make the library allocate.
  const msgpack::unpack_limit limit(bytes.size(), 0, bytes.size(), bytes.size(),
                                    0, 4);
  try {
    std::size_t offset = 0;
    const msgpack::object_handle handle = msgpack::unpack(
        bytes.data(), bytes.size(), offset, nullptr, nullptr, limit);
    if (offset != bytes.size() || handle.get().type != msgpack::type::ARRAY ||
        handle.get().via.array.size < 11) {
      return std::nullopt;
    }
    return handle.get().as<wire_message>();
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace

std::string Encode(const gossip_message& message) {
  wire_message wire = {.format = kFormat,
                       .kind = static_cast<std::uint8_t>(message.kind),
                       .sequence = message.sequence,
                       .sender = ToWire(message.sender),
                       .has_history = message.has_history,
                       .digest = message.digest,
                       .buckets = message.buckets};
  for (const version_news& news : message.versions) {
    wire.versions.push_back({.service = news.version.service,
                             .version = news.version.version,
                             .holder_ip = ToNumber(news.holder.ip),
                             .holder_port = news.holder.port});
  }
  for (const member_news& news : message.members) {
    wire.members.push_back(ToWire(news));
  }
  for (const member_news& news : message.samples) {
    wire.samples.push_back(ToWire(news));
  }
  for (const fleet_blob& blob : message.blobs) {
    wire.blobs.push_back(
        {.id = blob.id,
         .bytes = blob.bytes,
         .remaining_ms = static_cast<std::uint64_t>(blob.remaining.count())});
  }
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, wire);
  return {buffer.data(), buffer.size()};
}

std::optional<gossip_message> DecodeGossip(std::string_view bytes) {
  const auto wire = Unpack(bytes);
  if (!wire || wire->format != kFormat) {
    return std::nullopt;
  }
  const auto kind = decltype(kGossipKindNames)::FromNumber(wire->kind);
  const auto sender = FromWire(wire->sender);
  if (!kind || !sender) {
    return std::nullopt;
  }
  gossip_message message = {.kind = *kind,
                            .sequence = wire->sequence,
                            .sender = *sender,
                            .has_history = wire->has_history,
                            .digest = wire->digest,
                            .buckets = wire->buckets};
  if (!ReadLists(*wire, &message)) {
    return std::nullopt;
  }
  return message;
}

std::size_t EncodedSize(const version_news& news) {
  return news.version.service.size() + 20;
}

std::size_t EncodedSize(const member_news& news) {
  return news.vm.size() + news.service.size() + news.data_centre.size() +
         news.region.size() + 33;
}

std::size_t EncodedSize(const fleet_blob& blob) {
  return blob.id.size() + blob.bytes.size() + 16;
}

std::size_t EncodedSize(const gossip_message& message) {
  std::size_t size = kHeaderSize + EncodedSize(message.sender) +
                     message.buckets.size() * kBucketSize;
  for (const version_news& news : message.versions) {
    size += EncodedSize(news);
  }
  for (const member_news& news : message.members) {
    size += EncodedSize(news);
  }
  for (const member_news& news : message.samples) {
    size += EncodedSize(news);
  }
  for (const fleet_blob& blob : message.blobs) {
    size += EncodedSize(blob);
  }
  return size;
}

}  // namespace pistachioweir
