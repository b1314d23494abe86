// MessagePack codec of the frames.
#include "src/peer/peer_frame.h"

#include <algorithm>
#include <cmath>

#include "include/call/msgpack_reader.h"
#include "src/peer/frame_writer.h"

namespace pistachioweir {
namespace {

constexpr std::uint32_t kHelloFields = 3;
constexpr std::uint32_t kWelcomeFields = 13;
constexpr std::uint32_t kCallFields = 20;
constexpr std::uint32_t kCallFieldsWithoutSendTime = 19;
constexpr std::uint32_t kCallFieldsWithLineage = 24;
constexpr std::uint32_t kAnswerFields = 22;
constexpr std::uint32_t kAnswerFieldsWithLineage = 24;
constexpr std::uint32_t kPongFields = 11;
constexpr std::uint32_t kProofFields = 3;
constexpr std::uint32_t kNoticeFields = 4;
constexpr std::uint32_t kReturnedPingFields = 2;
// Rates are transmitted in thousandths, plus one; zero for none.
constexpr double kRateUnits = 1000;
// Shares are transmitted in thousandths.
constexpr double kShareUnits = 1000;
// A lineage with a longer name or a deeper tree is not read.
constexpr std::size_t kMaxRootLength = 1024;
constexpr std::uint64_t kMaxDepth = 1000;
// What every build reads.
constexpr peer_features kOwnFeatures = static_cast<peer_features>(
    static_cast<std::uint32_t>(peer_features::kNotices) |
    static_cast<std::uint32_t>(peer_features::kLineage) |
    static_cast<std::uint32_t>(peer_features::kRepeatSharing));
// More requests a second than any target can be sent.
constexpr double kMaxRate = 1e9;
// A deadline further away than this is a broken message.
constexpr milliseconds kMaxRemaining = std::chrono::hours(24);
// Time since a VM was started; a later one is a broken message.
constexpr milliseconds kMaxSendTime = std::chrono::hours(24 * 365 * 100);
constexpr microseconds kMaxMeasured = std::chrono::hours(24);
// Suspects of one frame; more are of no use, see quarantine_options.
constexpr std::uint32_t kMaxSuspects = 1024;
constexpr std::uint32_t kFieldsPerSuspect =
    3 + quarantine_options::kCrashThresholdWhenUnstable;

load_report ReadLoad(msgpack_reader& reader) {
  load_report load;
  load.admission_level = reader.Unsigned32();
  load.in_flight = reader.Unsigned32();
  load.queued = reader.Unsigned32();
  load.limit = reader.Unsigned32();
  load.pressure = reader.Unsigned32();
  return load;
}

milliseconds ReadMilliseconds(msgpack_reader& reader) {
  return milliseconds(
      reader.UnsignedUpTo(static_cast<std::uint64_t>(kMaxRemaining.count())));
}

neighbour_report ReadReport(msgpack_reader& reader) {
  neighbour_report report;
  report.revision = reader.Unsigned();
  report.age = ReadMilliseconds(reader);
  report.vouched = reader.String();
  report.vouched_ago = ReadMilliseconds(reader);
  const milliseconds answered = ReadMilliseconds(reader);
  if (answered > milliseconds(0)) {
    report.store_answered_ago = answered - milliseconds(1);
  }
  return report;
}

std::uint32_t ShareUnits(double share) {
  return static_cast<std::uint32_t>(
      std::lround(std::clamp(share, 0.0, 1.0) * kShareUnits));
}

double ReadShare(msgpack_reader& reader) {
  return static_cast<double>(
             reader.UnsignedUpTo(static_cast<std::uint64_t>(kShareUnits))) /
         kShareUnits;
}

// Nothing if a field is missing, out of range or contradicts another one, as a
// root on another route than its request's does.
std::optional<call_lineage> ReadLineage(msgpack_reader& reader,
                                        const std::string& route) {
  call_lineage lineage;
  lineage.root = reader.String();
  lineage.depth = static_cast<std::uint32_t>(reader.UnsignedUpTo(kMaxDepth));
  lineage.in_repeat = reader.Bool();
  lineage.admitted_share = ReadShare(reader);
  if (!reader.ok() || lineage.root.empty() ||
      lineage.root.size() > kMaxRootLength || lineage.admitted_share <= 0 ||
      (lineage.depth == 0 && lineage.root != route)) {
    return std::nullopt;
  }
  return lineage;
}

// Nothing if a field is missing or out of range.
std::optional<lineage_result> ReadLineageResult(msgpack_reader& reader) {
  lineage_result result;
  result.entrance_share = ReadShare(reader);
  result.makes_calls = reader.Bool();
  return reader.ok() ? std::optional(result) : std::nullopt;
}

milliseconds ReadSendTime(msgpack_reader& reader) {
  return milliseconds(
      reader.UnsignedUpTo(static_cast<std::uint64_t>(kMaxSendTime.count())));
}

microseconds ReadMicroseconds(msgpack_reader& reader) {
  return microseconds(
      reader.UnsignedUpTo(static_cast<std::uint64_t>(kMaxMeasured.count())));
}

}  // namespace

milliseconds SendTime(boot_time now) {
  return std::chrono::duration_cast<milliseconds>(now.time_since_epoch());
}

void Elapse(milliseconds waited, call_frame* call) {
  call->remaining = std::max(milliseconds(0), call->remaining - waited);
  call->objective_left =
      std::max(milliseconds(0), call->objective_left - waited);
  if (call->start_within > milliseconds(0)) {
    call->start_within = std::max(milliseconds(1), call->start_within - waited);
  }
}

std::string Encode(const hello_frame& frame) {
  return frame_writer(kHelloFields)
      .Put(kPeerProtocolVersion)
      .Put(static_cast<std::uint64_t>(frame.sender))
      .Put(frame.vm)
      .Finish(frame_kind::kHello);
}

std::string Encode(const welcome_frame& frame) {
  return frame_writer(kWelcomeFields)
      .Put(kPeerProtocolVersion)
      .Put(static_cast<std::uint64_t>(frame.receiver))
      .Put(frame.leaving)
      .Put(frame.load)
      .Put(frame.report)
      .Finish(frame_kind::kWelcome);
}

std::string Join(const frame_parts& parts) {
  std::string bytes;
  bytes.reserve(parts.head.size() + parts.body.size() + parts.tail.size());
  bytes.append(parts.head).append(parts.body.str()).append(parts.tail);
  return bytes;
}

std::string Encode(const call_frame& frame) {
  return Join(EncodeParts(frame));
}

frame_parts EncodeParts(const call_frame& frame) {
  const bool timed = frame.sent > milliseconds(0);
  const bool with_lineage = timed && frame.lineage;
  frame_writer writer(with_lineage ? kCallFieldsWithLineage
                      : timed      ? kCallFields
                                   : kCallFieldsWithoutSendTime);
  writer.Put(frame.number)
      .Put(frame.settled_below)
      .Put(frame.target_id)
      .Put(frame.route)
      .Put(frame.rank)
      .Put(frame.route_rank)
      .Put(frame.ahead)
      .Put(static_cast<std::uint32_t>(frame.ticket))
      .Put(static_cast<std::uint32_t>(frame.repeats))
      .Put(frame.remaining)
      .Put(frame.objective_left)
      .Put(frame.start_within)
      .Put(frame.caller_service)
      .Put(frame.organisation)
      .Put(frame.request_id)
      .Put(frame.request.verb)
      .Put(frame.request.target)
      .Put(frame.request.header_block)
      .PutBody(frame.request.body);
  if (timed) {
    writer.Put(frame.sent);
  }
  if (with_lineage) {
    writer.Put(frame.lineage->root)
        .Put(frame.lineage->depth)
        .Put(frame.lineage->in_repeat)
        .Put(std::max(1U, ShareUnits(frame.lineage->admitted_share)));
  }
  return writer.FinishParts(frame_kind::kCall);
}

std::string Encode(const answer_frame& frame) {
  frame_writer writer(frame.lineage ? kAnswerFieldsWithLineage : kAnswerFields);
  writer.Put(frame.number)
      .Put(static_cast<std::uint32_t>(frame.kind))
      .Put(static_cast<std::uint32_t>(frame.why))
      .Put(frame.retry_after)
      .Put(frame.reached_target)
      .Put(static_cast<std::uint32_t>(frame.response.status))
      .Put(frame.response.header_block)
      .Put(frame.response.body)
      .Put(frame.load)
      .Put(frame.report)
      .Put(frame.by_targets)
      .Put(frame.failed_below)
      .Put(frame.queued)
      .Put(frame.served);
  if (frame.lineage) {
    writer.Put(ShareUnits(frame.lineage->entrance_share))
        .Put(frame.lineage->makes_calls);
  }
  return writer.Finish(frame_kind::kAnswer);
}

std::string Encode(const pong_frame& frame, frame_kind kind) {
  return frame_writer(kPongFields)
      .Put(frame.leaving)
      .Put(frame.load)
      .Put(frame.report)
      .Finish(kind);
}

std::string Encode(const proof_frame& frame) {
  return frame_writer(kProofFields)
      .Put(frame.number)
      .Put(frame.proof.revision)
      .Put(frame.proof.age)
      .Finish(frame_kind::kProof);
}

// A request that is cleared is an entry without time or crashes, which says
// nothing to a daemon that doesn't know of clearing.
std::string Encode(const suspects_frame& frame) {
  std::vector<quarantine_entry> entries = frame.entries;
  for (const request_fingerprint& cleared : frame.cleared) {
    entries.push_back({.fingerprint = cleared});
  }
  const auto count = static_cast<std::uint32_t>(
      std::min<std::size_t>(entries.size(), kMaxSuspects));
  frame_writer writer(count * kFieldsPerSuspect);
  for (std::uint32_t i = 0; i < count; ++i) {
    const quarantine_entry& entry = entries[i];
    writer.Put(entry.fingerprint.high).Put(entry.fingerprint.low);
    for (const crash_id crash : entry.crashes) {
      writer.Put(static_cast<std::uint64_t>(crash));
    }
    writer.Put(entry.remaining);
  }
  return writer.Finish(frame_kind::kSuspects);
}

std::string EncodeNumbered(frame_kind kind, std::uint64_t number) {
  return frame_writer(1).Put(number).Finish(kind);
}

std::string EncodePing(milliseconds sent) {
  return frame_writer(1).Put(sent).Finish(frame_kind::kPing);
}

std::string EncodeReturnedPing(milliseconds sent) {
  return frame_writer(kReturnedPingFields)
      .Put(sent)
      .Put(static_cast<std::uint32_t>(kOwnFeatures))
      .Finish(frame_kind::kPing);
}

std::string Encode(const known_notice& notice) {
  const double rate = std::min(notice.rate_limit.value_or(0), kMaxRate);
  const auto units = static_cast<std::uint64_t>(rate * kRateUnits);
  constexpr milliseconds kOldest = std::chrono::hours(1);
  return frame_writer(kNoticeFields)
      .Put(notice.start)
      .Put(notice.rate_limit ? units + 1 : std::uint64_t{0})
      .Put(notice.leaving)
      .Put(std::min(notice.age, kOldest))
      .Finish(frame_kind::kNotice);
}

std::string EncodeEmpty(frame_kind kind) {
  return frame_writer(0).Finish(kind);
}

std::optional<hello_frame> DecodeHello(std::string_view payload) {
  msgpack_reader reader(payload, kHelloFields);
  if (reader.Unsigned32() != kPeerProtocolVersion) {
    return std::nullopt;
  }
  hello_frame frame;
  frame.sender = incarnation_id{reader.Unsigned()};
  frame.vm = reader.String();
  if (!reader.ok()) {
    return std::nullopt;
  }
  return frame;
}

std::optional<welcome_frame> DecodeWelcome(std::string_view payload) {
  msgpack_reader reader(payload, kWelcomeFields);
  if (reader.Unsigned32() != kPeerProtocolVersion) {
    return std::nullopt;
  }
  welcome_frame frame;
  frame.receiver = incarnation_id{reader.Unsigned()};
  frame.leaving = reader.Bool();
  frame.load = ReadLoad(reader);
  frame.report = ReadReport(reader);
  if (!reader.ok()) {
    return std::nullopt;
  }
  return frame;
}

std::optional<call_frame> DecodeCallFrame(std::string_view payload) {
  auto reader = msgpack_reader::UpTo(payload, kCallFieldsWithLineage);
  if (!reader.ok() || reader.size() < kCallFieldsWithoutSendTime) {
    return std::nullopt;
  }
  call_frame frame;
  frame.number = reader.Unsigned();
  frame.settled_below = reader.Unsigned();
  frame.target_id = reader.String();
  frame.route = reader.String();
  frame.rank = reader.Unsigned32();
  frame.route_rank = reader.Unsigned32();
  frame.ahead = reader.Bool();
  frame.ticket = static_cast<std::uint8_t>(reader.UnsignedUpTo(255));
  const auto repeats =
      decltype(kRepeatPolicyNames)::FromNumber(reader.Unsigned32());
  frame.remaining = ReadMilliseconds(reader);
  frame.objective_left = ReadMilliseconds(reader);
  frame.start_within = ReadMilliseconds(reader);
  frame.caller_service = reader.String();
  frame.organisation = reader.String();
  frame.request_id = reader.String();
  frame.request.verb = reader.String();
  frame.request.target = reader.String();
  frame.request.header_block = reader.String();
  frame.request.body = reader.String();
  if (reader.size() >= kCallFields) {
    frame.sent = ReadSendTime(reader);
  }
  if (!reader.ok() || !repeats) {
    return std::nullopt;
  }
  frame.repeats = *repeats;
  // Read last: without it the call is served like that of an older build.
  if (reader.size() > kCallFields) {
    frame.lineage = ReadLineage(reader, frame.route);
    frame.lineage_unreadable = !frame.lineage;
  }
  return frame;
}

std::optional<answer_frame> DecodeAnswerFrame(std::string_view payload) {
  auto reader = msgpack_reader::UpTo(payload, kAnswerFieldsWithLineage);
  if (!reader.ok() || reader.size() < kAnswerFields) {
    return std::nullopt;
  }
  answer_frame frame;
  frame.number = reader.Unsigned();
  const auto kind =
      decltype(kOutcomeKindNames)::FromNumber(reader.Unsigned32());
  const auto why = decltype(kReasonNames)::FromNumber(reader.Unsigned32());
  frame.retry_after = ReadMilliseconds(reader);
  frame.reached_target = reader.Bool();
  frame.response.status = static_cast<int>(reader.UnsignedUpTo(999));
  frame.response.header_block = reader.String();
  frame.response.body = reader.String();
  frame.load = ReadLoad(reader);
  frame.report = ReadReport(reader);
  frame.by_targets = reader.Bool();
  frame.failed_below = reader.Bool();
  frame.queued = ReadMicroseconds(reader);
  frame.served = ReadMicroseconds(reader);
  if (!reader.ok() || !kind || !why) {
    return std::nullopt;
  }
  if (reader.size() > kAnswerFields) {
    frame.lineage = ReadLineageResult(reader);
    frame.lineage_unreadable = !frame.lineage;
  }
  frame.kind = *kind;
  frame.why = *why;
  return frame;
}

std::optional<pong_frame> DecodePong(std::string_view payload) {
  msgpack_reader reader(payload, kPongFields);
  pong_frame frame;
  frame.leaving = reader.Bool();
  frame.load = ReadLoad(reader);
  frame.report = ReadReport(reader);
  if (!reader.ok()) {
    return std::nullopt;
  }
  return frame;
}

std::optional<proof_frame> DecodeProof(std::string_view payload) {
  msgpack_reader reader(payload, kProofFields);
  proof_frame frame;
  frame.number = reader.Unsigned();
  frame.proof.revision = reader.Unsigned();
  frame.proof.age = ReadMilliseconds(reader);
  if (!reader.ok()) {
    return std::nullopt;
  }
  return frame;
}

std::optional<suspects_frame> DecodeSuspectsFrame(std::string_view payload) {
  auto reader = msgpack_reader::UpTo(payload, kMaxSuspects * kFieldsPerSuspect);
  if (!reader.ok() || reader.size() % kFieldsPerSuspect != 0) {
    return std::nullopt;
  }
  const std::uint32_t count = reader.size() / kFieldsPerSuspect;
  suspects_frame frame;
  for (std::uint32_t i = 0; i < count; ++i) {
    quarantine_entry entry;
    entry.fingerprint.high = reader.Unsigned();
    entry.fingerprint.low = reader.Unsigned();
    for (crash_id& crash : entry.crashes) {
      crash = crash_id{reader.Unsigned()};
    }
    entry.remaining = ReadMilliseconds(reader);
    if (entry.remaining > milliseconds(0)) {
      frame.entries.push_back(entry);
    } else {
      frame.cleared.push_back(entry.fingerprint);
    }
  }
  if (!reader.ok()) {
    return std::nullopt;
  }
  return frame;
}

std::optional<std::uint64_t> DecodeNumber(std::string_view payload) {
  msgpack_reader reader(payload, 1);
  const std::uint64_t number = reader.Unsigned();
  if (!reader.ok()) {
    return std::nullopt;
  }
  return number;
}

std::optional<milliseconds> DecodePing(std::string_view payload) {
  msgpack_reader reader(payload, 1);
  const milliseconds sent = ReadSendTime(reader);
  if (!reader.ok()) {
    return std::nullopt;
  }
  return sent;
}

peer_features DecodeReturnedPing(std::string_view payload) {
  auto reader = msgpack_reader::UpTo(payload, kReturnedPingFields);
  if (!reader.ok() || reader.size() < kReturnedPingFields) {
    return peer_features::kNone;
  }
  reader.Skip();
  const auto features = static_cast<peer_features>(reader.Unsigned32());
  return reader.ok() ? features : peer_features::kNone;
}

std::optional<known_notice> DecodeNotice(std::string_view payload) {
  msgpack_reader reader(payload, kNoticeFields);
  known_notice notice;
  notice.start = reader.String();
  const std::uint64_t units = reader.UnsignedUpTo(
      static_cast<std::uint64_t>(kMaxRate * kRateUnits) + 1);
  notice.leaving = reader.Bool();
  notice.age = ReadMilliseconds(reader);
  if (!reader.ok()) {
    return std::nullopt;
  }
  if (units > 0) {
    notice.rate_limit = static_cast<double>(units - 1) / kRateUnits;
  }
  return notice;
}

std::size_t FrameLength(std::string_view bytes) {
  if (bytes.size() < kFrameHeadBytes) {
    return 0;
  }
  std::size_t length = 0;
  for (std::size_t i = 0; i < 4; ++i) {
    length = length << 8 | static_cast<unsigned char>(bytes[i]);
  }
  return length;
}

std::optional<std::pair<frame_kind, std::uint64_t>> LeadingNumber(
    std::string_view bytes) {
  // Of MessagePack: an array of 16 or more entries, and unsigned integers of
  // one, two, four and eight bytes.
  constexpr unsigned char kArray16 = 0xdc;
  constexpr unsigned char kUnsigned8 = 0xcc;
  constexpr unsigned char kUnsigned64 = 0xcf;
  constexpr unsigned char kFirstNoInteger = 0x80;
  const auto at = [&](std::size_t i) {
    return i < bytes.size() ? static_cast<unsigned char>(bytes[i]) : 0xc1U;
  };
  const auto kind = decltype(kFrameKindNames)::FromNumber(at(4));
  if (kind != frame_kind::kCall && kind != frame_kind::kAnswer) {
    return std::nullopt;
  }
  std::size_t next =
      kFrameHeadBytes + (at(kFrameHeadBytes) == kArray16 ? 3 : 1);
  const auto first = at(next++);
  if (first < kFirstNoInteger) {
    return std::pair(*kind, std::uint64_t{first});
  }
  if (first < kUnsigned8 || first > kUnsigned64) {
    return std::nullopt;
  }
  std::uint64_t number = 0;
  for (int left = 1 << (first - kUnsigned8); left > 0; --left) {
    number = number << 8 | at(next++);
  }
  return std::pair(*kind, number);
}

frame_state NextFrame(std::string_view bytes,
                      std::size_t max_bytes,
                      frame_view* frame) {
  if (bytes.size() < kFrameHeadBytes) {
    return frame_state::kMore;
  }
  const std::size_t length = FrameLength(bytes);
  const auto kind = decltype(kFrameKindNames)::FromNumber(
      static_cast<unsigned char>(bytes[4]));
  if (length < kFrameHeadBytes || length > max_bytes || !kind) {
    return frame_state::kBroken;
  }
  if (bytes.size() < length) {
    return frame_state::kMore;
  }
  *frame = {.kind = *kind,
            .payload = bytes.substr(kFrameHeadBytes, length - kFrameHeadBytes),
            .bytes = length};
  return frame_state::kWhole;
}

}  // namespace pistachioweir
