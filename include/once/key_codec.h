// key_codec: idempotency keys as text that callers hold and can't make up.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "include/base/time.h"
#include "include/call/envelope.h"

namespace pistachioweir {

// What the text says, all of it covered by the seal.
struct sealed_key {
  idempotency_key key;
  // How long after its issue the key can start an execution. The home alone
  // judges it, on its own clock.
  milliseconds lifetime{0};

  friend bool operator==(const sealed_key&, const sealed_key&) = default;
};

// The method that a key was issued for.
struct key_scope {
  std::string_view service;
  std::string_view method;
};

// Seals keys with an HMAC under the fleet's keys. Immutable, so threads share
// one. A forged or altered text, or one for another service or method, opens
// nowhere in the fleet: any daemon can refuse it without asking the home.
class key_codec {
 public:
  // The first key seals, all of them open, so that keys can be rotated. At
  // least one is needed; throws std::invalid_argument if there is none.
  explicit key_codec(std::vector<std::string> fleet_keys);

  // Text of visible ASCII characters, fit for an HTTP header.
  [[nodiscard]] std::string Seal(const sealed_key& key,
                                 const key_scope& scope) const;

  // Nothing if `text` was not sealed for `scope` under one of the keys.
  [[nodiscard]] std::optional<sealed_key> Open(std::string_view text,
                                               const key_scope& scope) const;

 private:
  std::vector<std::string> fleet_keys_;  // Never empty.
};

}  // namespace pistachioweir
