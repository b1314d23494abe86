// Codec of changes.
//
// The frame's array is flat: a few fields, then each entry's, one after the
// other.
#include "src/peer/changes_frame.h"

#include <utility>

#include "include/call/msgpack_reader.h"
#include "src/peer/frame_writer.h"

namespace pistachioweir {
namespace {

// Of 14,000 targets, several times over.
constexpr std::uint32_t kMaxFields = 1'000'000;
constexpr std::uint32_t kFixedFields = 4;
constexpr std::uint32_t kEntryFields = 5;
constexpr milliseconds kMaxTime = std::chrono::hours(24 * 365);

milliseconds ReadTime(msgpack_reader& reader) {
  return milliseconds(
      reader.UnsignedUpTo(static_cast<std::uint64_t>(kMaxTime.count())));
}

stored_entry ReadEntry(msgpack_reader& reader) {
  stored_entry entry;
  entry.key = reader.String();
  entry.value = reader.String();
  entry.created = reader.Unsigned();
  entry.revision = reader.Unsigned();
  entry.removed = reader.Bool();
  return entry;
}

}  // namespace

std::string Encode(const view_changes& changes) {
  const auto entries = static_cast<std::uint32_t>(changes.entries.size());
  frame_writer writer(kFixedFields + kEntryFields * entries);
  // The time since the store's return is one more than it is, and zero for
  // none.
  const milliseconds returned = changes.returned_ago
                                    ? *changes.returned_ago + milliseconds(1)
                                    : milliseconds(0);
  writer.Put(changes.after)
      .Put(changes.revision)
      .Put(changes.read_ago)
      .Put(returned);
  for (const stored_entry& entry : changes.entries) {
    writer.Put(entry.key)
        .Put(entry.value)
        .Put(entry.created)
        .Put(entry.revision)
        .Put(entry.removed);
  }
  return writer.Finish(frame_kind::kChanges);
}

std::optional<view_changes> DecodeChanges(std::string_view payload) {
  auto reader = msgpack_reader::UpTo(payload, kMaxFields);
  view_changes changes;
  changes.after = reader.Unsigned();
  changes.revision = reader.Unsigned();
  changes.read_ago = ReadTime(reader);
  const milliseconds returned = ReadTime(reader);
  if (returned > milliseconds(0)) {
    changes.returned_ago = returned - milliseconds(1);
  }
  if (!reader.ok() || (reader.size() - kFixedFields) % kEntryFields != 0) {
    return std::nullopt;
  }
  const std::uint32_t count = (reader.size() - kFixedFields) / kEntryFields;
  for (std::uint32_t i = 0; i < count && reader.ok(); ++i) {
    changes.entries.push_back(ReadEntry(reader));
  }
  if (!reader.ok() || changes.revision <= changes.after) {
    return std::nullopt;
  }
  return changes;
}

}  // namespace pistachioweir
