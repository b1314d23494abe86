// Authentication and quotas of the origin's calls.
#include <optional>
#include <string>

#include "include/base/call_log.h"
#include "src/forward/origin.h"

namespace pistachioweir {
namespace {

// Retry-after if the configuration is too old to check keys by. Long enough for
// several requests for a newer one.
constexpr milliseconds kUnconfirmedRetryAfter{500};

reason RefusalOf(key_verdict verdict) {
  switch (verdict) {
    case key_verdict::kNotHeld:
      return reason::kUnauthenticated;
    case key_verdict::kUnconfirmed:
      return reason::kKeysUnconfirmed;
    default:
      return reason::kNone;
  }
}

}  // namespace

key_check_result origin::CheckKeyOf(const placed_call& call) const {
  return CheckKey(
      {.organisations = view_->config->organisations.get(),
       .is_public = call.matched->is_public,
       .api_key = call.call.api_key,
       .proven_age = options_.proven_age ? options_.proven_age() : std::nullopt,
       .max_age = options_.max_key_age});
}

bool origin::Authenticate(call_id id) {
  placed_call& call = *calls_.at(id);
  const key_check_result key = CheckKeyOf(call);
  const reason refusal = RefusalOf(key.verdict);
  if (refusal == reason::kNone) {
    const precedence& ranks = view_->config->ranks;
    // Before another send, too: a call keeps what it has inherited.
    if (!call.parent.found()) {
      call.rank = ranks.RankOf(key.holder, *call.matched);
      call.ahead = ranks.TakesPrecedence(key.holder);
    }
    call.organisation = key.holder != nullptr ? key.holder->name : "";
    call.holder =
        key.holder != nullptr ? std::optional(key.holder->id) : std::nullopt;
    return true;
  }
  const auto age = options_.proven_age ? options_.proven_age() : std::nullopt;
  log_.Add(id, call.call.id, "key_refused",
           {{.name = "verdict",
             .value = std::string(kKeyVerdictNames.Name(key.verdict))},
            {.name = "route", .value = call.matched->name},
            {.name = "config", .value = std::to_string(view_->config->version)},
            {.name = "proven_age_ms",
             .value = age ? std::to_string(age->count()) : "none"},
            {.name = "max_age_ms",
             .value = std::to_string(options_.max_key_age.count())}});
  CountRefusal(refusal);
  call.why = refusal;
  call.retry_after = refusal == reason::kKeysUnconfirmed
                         ? kUnconfirmedRetryAfter
                         : milliseconds(0);
  FinishWithoutAnswer(id);
  return false;
}

void origin::CountRefusal(reason why) {
  counters_.unauthenticated += why == reason::kUnauthenticated ? 1U : 0U;
  counters_.keys_unconfirmed += why == reason::kKeysUnconfirmed ? 1U : 0U;
  counters_.over_quota += why == reason::kOverQuota ? 1U : 0U;
}

bool origin::ChargeQuota(call_id id) {
  placed_call& call = *calls_.at(id);
  if (!call.holder || !options_.admit) {
    return true;
  }
  const quota_decision decision = options_.admit(*call.holder);
  if (decision.admitted) {
    call.charged = call.holder;
    return true;
  }
  log_.Add(
      id, call.call.id, "over_quota",
      {{.name = "organisation", .value = call.organisation},
       {.name = "route", .value = call.matched->name},
       {.name = "config", .value = std::to_string(view_->config->version)},
       {.name = "rate", .value = std::to_string(decision.inputs.rate)},
       {.name = "level", .value = std::to_string(decision.inputs.level)},
       {.name = "demand", .value = std::to_string(decision.inputs.demand)}});
  CountRefusal(reason::kOverQuota);
  call.why = reason::kOverQuota;
  call.retry_after = decision.retry_after;
  FinishWithoutAnswer(id);
  return false;
}

}  // namespace pistachioweir
