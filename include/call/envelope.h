// call_envelope and answer_envelope: what one daemon sends another to have a
// request run on the target beside it, and what comes back.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "include/base/ids.h"
#include "include/base/outcome.h"
#include "include/base/priority.h"
#include "include/base/time.h"

namespace pistachioweir {

// Names an idempotent execution. Only the daemon that issued it, its home,
// starts executions for it.
struct idempotency_key {
  daemon_ref home;
  std::uint64_t sequence = 0;

  friend auto operator<=>(const idempotency_key&,
                          const idempotency_key&) = default;
};

// Binds one attempt of an at-most-once call to one start of one executor.
struct execution_binding {
  idempotency_key key;
  std::uint32_t attempt = 0;
  incarnation_id executor{};
  epoch_id epoch{};
};

struct call_envelope {
  std::string service;
  std::string method;
  std::string content_type;
  std::string body;

  // The root request's class; outside callers can't set it.
  priority level = priority::kNormal;
  // Drawn at the root, the same for the whole call tree: orders requests of
  // one priority, so that an admission level cuts whole trees, not random hops.
  std::uint8_t ticket = 0;
  std::uint32_t depth = 0;  // Zero at the root.
  // Time left to the deadline when this was sent. Relative, since no clock is
  // compared between VMs.
  milliseconds remaining{0};
  // Retries that this call and everything below it may still spend.
  std::uint32_t retry_credit = 0;
  // Set for at-most-once calls only.
  std::optional<execution_binding> binding;
};

struct answer_envelope {
  outcome result;
  // Credit that was lent and not spent.
  std::uint32_t unspent_credit = 0;

  // What the answering daemon says of itself, on every answer.
  incarnation_id executor{};
  epoch_id epoch{};
  bool draining = false;
  // Requests of a lower rank are refused; see include/admit/admission_rank.h.
  std::uint32_t admission_level = 0;
  std::uint32_t in_flight = 0;
  std::uint32_t queued = 0;
  std::uint32_t limit = 0;
};

[[nodiscard]] std::string Encode(const call_envelope& call);
[[nodiscard]] std::string Encode(const answer_envelope& answer);

// Nothing if `bytes` is not one whole, valid message.
[[nodiscard]] std::optional<call_envelope> DecodeCall(std::string_view bytes);
[[nodiscard]] std::optional<answer_envelope> DecodeAnswer(
    std::string_view bytes);

}  // namespace pistachioweir
