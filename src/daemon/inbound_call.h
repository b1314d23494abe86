// inbound_role::call: one call on its way through the daemon beside its target.
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <utility>

#include "include/call/context_table.h"
#include "src/daemon/inbound_role.h"

namespace pistachioweir {

// Touched on its worker's thread only, except where noted.
class inbound_role::call {
 public:
  enum class step : std::uint8_t { kNew, kQueued, kRunning, kSettled };

  call(std::size_t on_worker, call_envelope asked, callback answer)
      : worker(on_worker),
        request(std::move(asked)),
        arrived(monotonic_clock::now()),
        deadline(arrived + request.remaining),
        done(std::move(answer)) {}

  const std::size_t worker;
  std::uint64_t id = 0;
  call_envelope request;
  const time_point arrived;
  const time_point deadline;
  callback done;  // Empty exactly when the call is answered.

  step state = step::kNew;
  bool resolved = false;
  std::uint32_t method = 0;              // Index in the manifest, if resolved.
  admission_handle handle;               // From kQueued on.
  std::optional<context_token> context;  // From kRunning on.
  time_point started;                    // Likewise.
  std::shared_ptr<http_client::exchange> run;  // Likewise.
};

}  // namespace pistachioweir
