// Key text: base64 of a MessagePack payload and its HMAC-SHA256, truncated to
// 128 bits.
#include "include/once/key_codec.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <cstddef>
#include <stdexcept>
#include <utility>

#include "include/call/msgpack_reader.h"

namespace pistachioweir {
namespace {

constexpr std::size_t kTagBytes = 16;
// Maximum length of a text that is decoded; the name of a VM is at most 255
// bytes.
constexpr std::size_t kMaxTextBytes = 512;
constexpr std::uint64_t kMaxLifetimeMs = 24ULL * 3600 * 1000;
// Domain separation: keeps this use of the fleet's keys apart from their other
// uses.
constexpr std::string_view kPurpose = "pistachioweir/idempotency-key/1";

using tag = std::array<unsigned char, kTagBytes>;

std::string Payload(const sealed_key& key) {
  msgpack::sbuffer out;
  msgpack::packer<msgpack::sbuffer> packer(out);
  packer.pack_array(4);
  packer.pack(key.key.home.vm);
  packer.pack(static_cast<std::uint64_t>(key.key.home.incarnation));
  packer.pack(key.key.sequence);
  packer.pack(static_cast<std::uint64_t>(key.lifetime.count()));
  return {out.data(), out.size()};
}

tag Sign(const std::string& fleet_key,
         std::string_view payload,
         const key_scope& scope) {
  msgpack::sbuffer out;
  msgpack::packer<msgpack::sbuffer> packer(out);
  packer.pack_array(4);
  packer.pack(kPurpose);
  packer.pack(scope.service);
  packer.pack(scope.method);
  packer.pack(payload);
  const std::string_view text(out.data(), out.size());
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  HMAC(EVP_sha256(), fleet_key.data(), static_cast<int>(fleet_key.size()),
       reinterpret_cast<const unsigned char*>(text.data()), text.size(),
       digest.data(), &size);
  tag truncated{};
  std::copy_n(digest.begin(), kTagBytes, truncated.begin());
  return truncated;
}

std::string ToBase64(std::string_view bytes) {
  std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
  const int size =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()),
                      static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(size));
  return text;
}

std::optional<std::string> FromBase64(std::string_view text) {
  if (text.empty() || text.size() % 4 != 0 || text.size() > kMaxTextBytes) {
    return std::nullopt;
  }
  std::string bytes(text.size() / 4 * 3, '\0');
  const int size =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  if (size < 0) {
    return std::nullopt;
  }
  const std::size_t padding = text.ends_with("==") ? 2 : text.ends_with('=');
  bytes.resize(static_cast<std::size_t>(size) - padding);
  // Each key has exactly one text: other encodings of the same bytes (white
  // space, spare bits) are rejected.
  if (ToBase64(bytes) != text) {
    return std::nullopt;
  }
  return bytes;
}

std::optional<sealed_key> ReadPayload(std::string_view payload) {
  msgpack_reader reader(payload, 4);
  sealed_key key;
  key.key.home.vm = reader.String();
  key.key.home.incarnation = incarnation_id{reader.Unsigned()};
  key.key.sequence = reader.Unsigned();
  key.lifetime = milliseconds(reader.UnsignedUpTo(kMaxLifetimeMs));
  if (!reader.ok()) {
    return std::nullopt;
  }
  return key;
}

}  // namespace

key_codec::key_codec(std::vector<std::string> fleet_keys)
    : fleet_keys_(std::move(fleet_keys)) {
  if (fleet_keys_.empty()) {
    throw std::invalid_argument("key_codec: no fleet key");
  }
}

std::string key_codec::Seal(const sealed_key& key,
                            const key_scope& scope) const {
  std::string bytes = Payload(key);
  const tag seal = Sign(fleet_keys_.front(), bytes, scope);
  bytes.append(seal.begin(), seal.end());
  return ToBase64(bytes);
}

std::optional<sealed_key> key_codec::Open(std::string_view text,
                                          const key_scope& scope) const {
  const auto bytes = FromBase64(text);
  if (!bytes || bytes->size() <= kTagBytes) {
    return std::nullopt;
  }
  const std::string_view signed_bytes(*bytes);
  const std::string_view payload =
      signed_bytes.substr(0, signed_bytes.size() - kTagBytes);
  const std::string_view seal = signed_bytes.substr(payload.size());
  for (const std::string& fleet_key : fleet_keys_) {
    const tag expected = Sign(fleet_key, payload, scope);
    // Constant-time comparison, so that a forger can't find the tag byte by
    // byte from the position of the first difference.
    if (CRYPTO_memcmp(expected.data(), seal.data(), kTagBytes) == 0) {
      return ReadPayload(payload);
    }
  }
  return std::nullopt;
}

}  // namespace pistachioweir
