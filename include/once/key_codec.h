// key_codec: encodes idempotency keys as authenticated text that callers can
// store but not forge.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "include/base/time.h"
#include "include/call/envelope.h"

namespace pistachioweir {

// The content of the text, all of it authenticated.
struct sealed_key {
  idempotency_key key;
  // How long after its issue the key can start an execution. Checked by the
  // home alone, on its own clock.
  milliseconds lifetime{0};

  friend bool operator==(const sealed_key&, const sealed_key&) = default;
};

// The method that a key was issued for.
struct key_scope {
  std::string_view service;
  std::string_view method;
};

// Authenticates keys with an HMAC under the fleet's keys. Immutable, so threads
// can share one. A forged or altered text, or one for another service or
// method, is rejected by every daemon of the fleet: any of them can refuse it
// without a request to the home.
class key_codec {
 public:
  // The first key seals and all of them open, so that keys can be rotated.
  // Throws std::invalid_argument if `fleet_keys` is empty.
  explicit key_codec(std::vector<std::string> fleet_keys);

  // Returns text of visible ASCII characters, valid in an HTTP header.
  [[nodiscard]] std::string Seal(const sealed_key& key,
                                 const key_scope& scope) const;

  // Returns nullopt if `text` was not sealed for `scope` under one of the keys.
  [[nodiscard]] std::optional<sealed_key> Open(std::string_view text,
                                               const key_scope& scope) const;

 private:
  std::vector<std::string> fleet_keys_;  // Never empty.
};

}  // namespace pistachioweir
