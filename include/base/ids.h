// Identities that daemons give each other.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace pistachioweir {

// Names a VM as the platform's live list does. Stays when its daemon restarts.
using vm_id = std::string;

// Random, new at each start of a daemon; never zero once drawn. Two daemons, or
// two starts of one, are told apart by it without any shared state.
enum class incarnation_id : std::uint64_t {};

// One generation of an executor's records; counts up on the executor's own
// clock. Only the incarnation that issued an epoch can judge it.
enum class epoch_id : std::uint32_t {};

// Identifies one call being served by one incarnation.
enum class call_id : std::uint64_t {};

// Draws from the operating system's random source.
[[nodiscard]] incarnation_id NewIncarnation();

// One start of the daemon on one VM.
struct daemon_ref {
  vm_id vm;
  incarnation_id incarnation{};

  friend auto operator<=>(const daemon_ref&, const daemon_ref&) = default;
};

}  // namespace pistachioweir
