// Validation of organisations, and the index by API key.
#include "include/organisation/organisation_table.h"

#include <openssl/crypto.h>
#include <openssl/rand.h>
#include <xxhash.h>

#include <array>
#include <cmath>
#include <set>
#include <utility>

#include "include/base/random_bits.h"

namespace pistachioweir {
namespace {

using hash_secret = std::array<unsigned char, XXH3_SECRET_SIZE_MIN>;

hash_secret NewSecret() {
  hash_secret secret{};
  if (RAND_bytes(secret.data(), static_cast<int>(secret.size())) != 1) {
    for (unsigned char& byte : secret) {
      byte = static_cast<unsigned char>(RandomBits32());
    }
  }
  return secret;
}

bool IsNonNegative(double value) {
  return std::isfinite(value) && value >= 0;
}

}  // namespace

organisation_id IdOfOrganisation(std::string_view name) {
  return organisation_id{XXH3_64bits(name.data(), name.size())};
}

std::size_t organisation_table::secret_hash::operator()(
    std::string_view key) const {
  static const hash_secret secret = NewSecret();
  return XXH3_64bits_withSecret(key.data(), key.size(), secret.data(),
                                secret.size());
}

bool organisation_table::constant_time_equal::operator()(
    std::string_view a,
    std::string_view b) const {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::optional<organisation_table> organisation_table::Make(
    std::vector<organisation> organisations,
    std::string* problem) {
  organisation_table table;
  table.organisations_ = std::move(organisations);
  std::set<std::string_view> names;
  for (std::size_t i = 0; i < table.organisations_.size(); ++i) {
    organisation& added = table.organisations_[i];
    added.id = IdOfOrganisation(added.name);
    if (added.name.empty() || !names.insert(added.name).second) {
      *problem = "organisation " + std::to_string(i) + ": its name \"" +
                 added.name + "\" is empty or already in use";
      return std::nullopt;
    }
    if (!IsNonNegative(added.rate) || !IsNonNegative(added.burst)) {
      *problem = "organisation " + added.name + ": negative rate or burst";
      return std::nullopt;
    }
    for (const std::string& key : added.api_keys) {
      const auto [existing, inserted] = table.by_key_.emplace(key, i);
      if (key.empty() || (!inserted && existing->second != i)) {
        *problem = "organisation " + added.name +
                   ": a key is empty, or is also held by " +
                   table.organisations_[existing->second].name;
        return std::nullopt;
      }
    }
  }
  return table;
}

const organisation* organisation_table::Find(std::string_view api_key) const {
  const auto found = by_key_.find(std::string(api_key));
  return found == by_key_.end() ? nullptr : &organisations_[found->second];
}

}  // namespace pistachioweir
