// Codec of usage and quotas.
//
// A frame's array is flat: two fields, then each organisation's, one after the
// other.
#include "src/peer/quota_frame.h"

#include <algorithm>
#include <cmath>

#include "include/call/msgpack_reader.h"
#include "src/peer/frame_writer.h"

namespace pistachioweir {
namespace {

constexpr std::uint32_t kFixedFields = 2;
constexpr std::uint32_t kEntryFields = 3;
constexpr std::uint32_t kMaxEntries = 100'000;
constexpr std::uint64_t kMaxDaemons = 1'000'000;
// Signed figures travel with this added.
constexpr std::int64_t kOffset = std::int64_t{1} << 40;
constexpr std::uint64_t kMaxOffset = std::uint64_t{1} << 41;
// Levels and rates travel in thousandths.
constexpr double kThousandths = 1000;

std::uint64_t Shifted(std::int64_t value) {
  return static_cast<std::uint64_t>(std::clamp(value, -kOffset, kOffset) +
                                    kOffset);
}

std::uint64_t Shifted(double value) {
  return Shifted(static_cast<std::int64_t>(std::llround(
      std::clamp(value * kThousandths, -static_cast<double>(kOffset),
                 static_cast<double>(kOffset)))));
}

std::int64_t ReadShifted(msgpack_reader& reader) {
  return static_cast<std::int64_t>(reader.UnsignedUpTo(kMaxOffset)) - kOffset;
}

double ReadThousandths(msgpack_reader& reader) {
  return static_cast<double>(ReadShifted(reader)) / kThousandths;
}

// Reads what both kinds have alike, and each entry by `read`.
template <typename Frame, typename Read>
std::optional<Frame> Decode(std::string_view payload, Read read) {
  auto reader =
      msgpack_reader::UpTo(payload, kFixedFields + kEntryFields * kMaxEntries);
  Frame frame;
  frame.number = reader.Unsigned();
  frame.report.daemons =
      static_cast<std::uint32_t>(reader.UnsignedUpTo(kMaxDaemons));
  if (!reader.ok() || (reader.size() - kFixedFields) % kEntryFields != 0) {
    return std::nullopt;
  }
  const std::uint32_t count = (reader.size() - kFixedFields) / kEntryFields;
  for (std::uint32_t i = 0; i < count && reader.ok(); ++i) {
    frame.report.entries.push_back(read(reader));
  }
  if (!reader.ok()) {
    return std::nullopt;
  }
  return frame;
}

}  // namespace

std::string Encode(const usage_frame& frame) {
  const auto& entries = frame.report.entries;
  frame_writer writer(
      kFixedFields + kEntryFields * static_cast<std::uint32_t>(entries.size()));
  writer.Put(frame.number).Put(frame.report.daemons);
  for (const usage_entry& entry : entries) {
    writer.Put(static_cast<std::uint64_t>(entry.id))
        .Put(Shifted(entry.admitted))
        .Put(Shifted(entry.refused));
  }
  return writer.Finish(frame_kind::kUsage);
}

std::string Encode(const quota_frame& frame) {
  const auto& entries = frame.report.entries;
  frame_writer writer(
      kFixedFields + kEntryFields * static_cast<std::uint32_t>(entries.size()));
  writer.Put(frame.number).Put(frame.report.daemons);
  for (const quota_entry& entry : entries) {
    writer.Put(static_cast<std::uint64_t>(entry.id))
        .Put(Shifted(entry.level))
        .Put(Shifted(entry.demand));
  }
  return writer.Finish(frame_kind::kQuota);
}

std::optional<usage_frame> DecodeUsage(std::string_view payload) {
  return Decode<usage_frame>(payload, [](msgpack_reader& reader) {
    usage_entry entry;
    entry.id = organisation_id{reader.Unsigned()};
    entry.admitted = ReadShifted(reader);
    entry.refused = ReadShifted(reader);
    return entry;
  });
}

std::optional<quota_frame> DecodeQuota(std::string_view payload) {
  return Decode<quota_frame>(payload, [](msgpack_reader& reader) {
    quota_entry entry;
    entry.id = organisation_id{reader.Unsigned()};
    entry.level = ReadThousandths(reader);
    entry.demand = ReadThousandths(reader);
    return entry;
  });
}

}  // namespace pistachioweir
