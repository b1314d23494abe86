// MessagePack codec of the envelopes. Messages are arrays, in the order of the
// fields, headed by a format number.
#include "include/call/envelope.h"

#include <msgpack.hpp>

#include <exception>
#include <utility>

#include "include/call/msgpack_reader.h"

namespace pistachioweir {
namespace {

constexpr std::uint32_t kCallFormat = 1;
constexpr std::uint32_t kAnswerFormat = 2;
constexpr std::uint32_t kCallFields = 18;
constexpr std::uint32_t kAnswerFields = 14;

// A deadline further away than this is a broken or hostile message.
constexpr milliseconds kMaxRemaining = std::chrono::hours(24);

void PackBinding(msgpack::packer<msgpack::sbuffer>& packer,
                 const std::optional<execution_binding>& binding) {
  const execution_binding value = binding.value_or(execution_binding{});
  packer.pack(binding.has_value());
  packer.pack(value.key.home.vm);
  packer.pack(static_cast<std::uint64_t>(value.key.home.incarnation));
  packer.pack(value.key.sequence);
  packer.pack(value.attempt);
  packer.pack(static_cast<std::uint64_t>(value.executor));
  packer.pack(static_cast<std::uint32_t>(value.epoch));
}

std::optional<execution_binding> ReadBinding(msgpack_reader& reader) {
  const bool present = reader.Bool();
  execution_binding binding;
  binding.key.home.vm = reader.String();
  binding.key.home.incarnation = incarnation_id{reader.Unsigned()};
  binding.key.sequence = reader.Unsigned();
  binding.attempt = reader.Unsigned32();
  binding.executor = incarnation_id{reader.Unsigned()};
  binding.epoch = epoch_id{reader.Unsigned32()};
  if (!present) {
    return std::nullopt;
  }
  return binding;
}

}  // namespace

std::string Encode(const call_envelope& call) {
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  packer.pack_array(kCallFields);
  packer.pack(kCallFormat);
  packer.pack(call.service);
  packer.pack(call.method);
  packer.pack(call.content_type);
  packer.pack(call.body);
  packer.pack(static_cast<std::uint32_t>(call.level));
  packer.pack(static_cast<std::uint32_t>(call.ticket));
  packer.pack(call.depth);
  packer.pack(static_cast<std::uint64_t>(call.remaining.count()));
  packer.pack(call.retry_credit);
  // Room for a later field, so that a fleet can run two releases at once.
  packer.pack_nil();
  PackBinding(packer, call.binding);
  return {buffer.data(), buffer.size()};
}

std::string Encode(const answer_envelope& answer) {
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  packer.pack_array(kAnswerFields);
  packer.pack(kAnswerFormat);
  packer.pack(static_cast<std::uint32_t>(answer.result.kind));
  packer.pack(static_cast<std::uint32_t>(answer.result.why));
  packer.pack(static_cast<std::uint64_t>(answer.result.retry_after.count()));
  packer.pack(static_cast<std::uint32_t>(answer.result.reply.status));
  packer.pack(answer.result.reply.content_type);
  packer.pack(answer.result.reply.body);
  packer.pack(answer.unspent_credit);
  packer.pack(static_cast<std::uint64_t>(answer.executor));
  packer.pack(static_cast<std::uint32_t>(answer.epoch));
  packer.pack(answer.draining);
  packer.pack(answer.admission_level);
  packer.pack(answer.in_flight);
  packer.pack(std::uint64_t{answer.queued} << 32 | answer.limit);
  return {buffer.data(), buffer.size()};
}

std::optional<call_envelope> DecodeCall(std::string_view bytes) {
  msgpack_reader reader(bytes, kCallFields);
  if (reader.Unsigned32() != kCallFormat) {
    return std::nullopt;
  }
  call_envelope call;
  call.service = reader.String();
  call.method = reader.String();
  call.content_type = reader.String();
  call.body = reader.String();
  const auto level = decltype(kPriorityNames)::FromNumber(reader.Unsigned32());
  call.ticket = static_cast<std::uint8_t>(reader.UnsignedUpTo(255));
  call.depth = reader.Unsigned32();
  call.remaining = milliseconds(reader.UnsignedUpTo(kMaxRemaining.count()));
  call.retry_credit = reader.Unsigned32();
  reader.Skip();
  call.binding = ReadBinding(reader);
  if (!reader.ok() || !level) {
    return std::nullopt;
  }
  call.level = *level;
  return call;
}

std::optional<answer_envelope> DecodeAnswer(std::string_view bytes) {
  msgpack_reader reader(bytes, kAnswerFields);
  if (reader.Unsigned32() != kAnswerFormat) {
    return std::nullopt;
  }
  answer_envelope answer;
  const auto kind =
      decltype(kOutcomeKindNames)::FromNumber(reader.Unsigned32());
  const auto why = decltype(kReasonNames)::FromNumber(reader.Unsigned32());
  answer.result.retry_after =
      milliseconds(reader.UnsignedUpTo(kMaxRemaining.count()));
  answer.result.reply.status = static_cast<int>(reader.UnsignedUpTo(999));
  answer.result.reply.content_type = reader.String();
  answer.result.reply.body = reader.String();
  answer.unspent_credit = reader.Unsigned32();
  answer.executor = incarnation_id{reader.Unsigned()};
  answer.epoch = epoch_id{reader.Unsigned32()};
  answer.draining = reader.Bool();
  answer.admission_level = reader.Unsigned32();
  answer.in_flight = reader.Unsigned32();
  const std::uint64_t load = reader.Unsigned();
  answer.queued = static_cast<std::uint32_t>(load >> 32);
  answer.limit = static_cast<std::uint32_t>(load);
  if (!reader.ok() || !kind || !why) {
    return std::nullopt;
  }
  answer.result.kind = *kind;
  answer.result.why = *why;
  return answer;
}

}  // namespace pistachioweir
