// Peer tokens by HMAC.
#include "src/daemon/peer_token.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>

namespace pistachioweir {
namespace {

constexpr std::string_view kPurpose = "pistachioweir peer token 1";

}  // namespace

std::string PeerToken(std::string_view fleet_key) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  HMAC(EVP_sha256(), fleet_key.data(), static_cast<int>(fleet_key.size()),
       reinterpret_cast<const unsigned char*>(kPurpose.data()), kPurpose.size(),
       digest.data(), &size);
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string token;
  for (unsigned int i = 0; i < size; ++i) {
    token.push_back(kDigits[digest[i] >> 4]);
    token.push_back(kDigits[digest[i] & 15]);
  }
  return token;
}

std::vector<std::string> PeerTokens(
    const std::vector<std::string>& fleet_keys) {
  std::vector<std::string> tokens;
  tokens.reserve(fleet_keys.size());
  for (const std::string& key : fleet_keys) {
    tokens.push_back(PeerToken(key));
  }
  return tokens;
}

bool IsPeerToken(std::string_view token,
                 const std::vector<std::string>& tokens) {
  bool known = false;
  for (const std::string& expected : tokens) {
    if (expected.size() == token.size() &&
        CRYPTO_memcmp(expected.data(), token.data(), token.size()) == 0) {
      known = true;
    }
  }
  return known;
}

}  // namespace pistachioweir
