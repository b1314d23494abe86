// Request hashing with XXH3.
#include "include/once/fingerprint.h"

#include <xxhash.h>

#include <memory>

namespace pistachioweir {
namespace {

struct state_deleter {
  void operator()(XXH3_state_t* state) const { XXH3_freeState(state); }
};

// Hashes each part with its length, so that moving a byte from one part to the
// next changes the hash.
void Add(XXH3_state_t* state, std::string_view part) {
  const std::uint64_t size = part.size();
  XXH3_128bits_update(state, &size, sizeof(size));
  XXH3_128bits_update(state, part.data(), part.size());
}

}  // namespace

request_fingerprint Fingerprint(const request_identity& request) {
  const std::unique_ptr<XXH3_state_t, state_deleter> state(XXH3_createState());
  XXH3_128bits_reset(state.get());
  Add(state.get(), request.service);
  Add(state.get(), request.method);
  Add(state.get(), request.body);
  Add(state.get(), request.label);
  const XXH128_hash_t hash = XXH3_128bits_digest(state.get());
  return {.high = hash.high64, .low = hash.low64};
}

}  // namespace pistachioweir
