// HMAC-SHA256 by OpenSSL.
#include "src/fleet/datagram_seal.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <utility>

namespace pistachioweir {
namespace {

using hmac_tag = std::array<unsigned char, EVP_MAX_MD_SIZE>;

hmac_tag TagOf(std::string_view key, std::string_view payload) {
  hmac_tag tag = {};
  unsigned int size = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(payload.data()), payload.size(),
       tag.data(), &size);
  return tag;
}

}  // namespace

datagram_seal::datagram_seal(std::vector<std::string> keys)
    : keys_(std::move(keys)) {}

std::string datagram_seal::Seal(std::string_view payload) const {
  if (keys_.empty()) {
    return {};
  }
  const hmac_tag tag = TagOf(keys_.front(), payload);
  std::string datagram(reinterpret_cast<const char*>(tag.data()), kTagBytes);
  datagram.append(payload);
  return datagram;
}

std::optional<std::string_view> datagram_seal::Open(
    std::string_view datagram) const {
  if (datagram.size() < kTagBytes) {
    return std::nullopt;
  }
  const std::string_view payload = datagram.substr(kTagBytes);
  for (const std::string& key : keys_) {
    const hmac_tag tag = TagOf(key, payload);
    // Takes the same time wherever they differ, so that a tag can't be guessed
    // byte by byte.
    if (CRYPTO_memcmp(tag.data(), datagram.data(), kTagBytes) == 0) {
      return payload;
    }
  }
  return std::nullopt;
}

}  // namespace pistachioweir
