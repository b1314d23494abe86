// datagram_seal: authenticates datagrams between daemons by shared keys.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pistachioweir {

// Anything on the network can send to the peer port. Without authentication
// one datagram could declare a target dead or a manifest outdated. Each
// datagram therefore carries a truncated HMAC-SHA256; the first key signs, all
// verify, so that a fleet changes keys without a moment at which two daemons
// can't talk: add the new key at the end everywhere, then move it to the
// front, then drop the old one. Hides nothing: gossip holds no secrets.
class datagram_seal {
 public:
  static constexpr std::size_t kTagBytes = 16;

  explicit datagram_seal(std::vector<std::string> keys);

  // The tag, then the payload. Without keys, no datagram is ever valid.
  [[nodiscard]] std::string Seal(std::string_view payload) const;
  // The payload, a part of `datagram`; nothing if no key made its tag.
  [[nodiscard]] std::optional<std::string_view> Open(
      std::string_view datagram) const;

 private:
  const std::vector<std::string> keys_;
};

}  // namespace pistachioweir
