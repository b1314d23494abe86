// Codec of the exchange of repeats.
//
// A frame's array is flat: two fields, then each service's, one after the
// other.
#include "src/peer/repeat_frame.h"

#include <algorithm>

#include "include/call/msgpack_reader.h"
#include "src/peer/frame_writer.h"

namespace pistachioweir {
namespace {

constexpr std::uint32_t kFixedFields = 2;
constexpr std::uint32_t kEntryFields =
    1 + 3 * kPriorityCount + 2 * repeat_entry::kMaxGroups;
constexpr std::uint32_t kMaxEntries = repeat_exchange::kMaxServices;
// Longer names, and more tokens than any fleet has, are a broken message.
constexpr std::size_t kMaxNameLength = 256;
constexpr std::uint64_t kMaxTokens = 1'000'000;
// Time since a VM was started; a later one is a broken message.
constexpr milliseconds kMaxSendTime = std::chrono::hours(24 * 365 * 100);

void Put(const rank_counts& counts, frame_writer& writer) {
  for (const std::uint32_t count : counts) {
    writer.Put(std::min<std::uint64_t>(count, kMaxTokens));
  }
}

rank_counts ReadCounts(msgpack_reader& reader) {
  rank_counts counts{};
  for (std::uint32_t& count : counts) {
    count = static_cast<std::uint32_t>(reader.UnsignedUpTo(kMaxTokens));
  }
  return counts;
}

milliseconds ReadTime(msgpack_reader& reader, milliseconds max) {
  return milliseconds(
      reader.UnsignedUpTo(static_cast<std::uint64_t>(max.count())));
}

repeat_entry ReadEntry(msgpack_reader& reader) {
  repeat_entry entry;
  entry.service = reader.String();
  entry.unmet = ReadCounts(reader);
  entry.spare = ReadCounts(reader);
  entry.shortage = ReadCounts(reader);
  for (std::size_t group = 0; group < repeat_entry::kMaxGroups; ++group) {
    const auto count =
        static_cast<std::uint32_t>(reader.UnsignedUpTo(kMaxTokens));
    const milliseconds valid_for =
        ReadTime(reader, ranked_repeat_budget::kTokenLifetime);
    if (count > 0) {
      entry.tokens.push_back({.count = count, .valid_for = valid_for});
    }
  }
  return entry;
}

}  // namespace

std::string Encode(const repeat_frame& frame, frame_kind kind) {
  const auto count = static_cast<std::uint32_t>(
      std::min<std::size_t>(frame.entries.size(), kMaxEntries));
  frame_writer writer(kFixedFields + kEntryFields * count);
  writer.Put(frame.number).Put(frame.sent);
  for (std::uint32_t i = 0; i < count; ++i) {
    const repeat_entry& entry = frame.entries[i];
    writer.Put(entry.service);
    Put(entry.unmet, writer);
    Put(entry.spare, writer);
    Put(entry.shortage, writer);
    for (std::size_t group = 0; group < repeat_entry::kMaxGroups; ++group) {
      const passed_tokens tokens =
          group < entry.tokens.size() ? entry.tokens[group] : passed_tokens();
      writer.Put(std::min<std::uint64_t>(tokens.count, kMaxTokens))
          .Put(tokens.valid_for);
    }
  }
  return writer.Finish(kind);
}

std::optional<repeat_frame> DecodeRepeat(std::string_view payload) {
  auto reader =
      msgpack_reader::UpTo(payload, kFixedFields + kEntryFields * kMaxEntries);
  repeat_frame frame;
  frame.number = reader.Unsigned();
  frame.sent = ReadTime(reader, kMaxSendTime);
  if (!reader.ok() || (reader.size() - kFixedFields) % kEntryFields != 0) {
    return std::nullopt;
  }
  const std::uint32_t count = (reader.size() - kFixedFields) / kEntryFields;
  for (std::uint32_t i = 0; i < count && reader.ok(); ++i) {
    frame.entries.push_back(ReadEntry(reader));
    const std::string& service = frame.entries.back().service;
    if (service.empty() || service.size() > kMaxNameLength) {
      return std::nullopt;
    }
  }
  if (!reader.ok()) {
    return std::nullopt;
  }
  return frame;
}

}  // namespace pistachioweir
