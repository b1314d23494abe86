// Paths that daemons serve each other on the peer port.
#pragma once

#include <string_view>

namespace pistachioweir {

// A call_envelope to run on the target beside the daemon.
inline constexpr std::string_view kPeerCallPath = "/call";
// A home_envelope: a keyed call for its home, or its refusal.
inline constexpr std::string_view kPeerHomePath = "/home";
// An execution_binding whose attempt the home gives up.
inline constexpr std::string_view kPeerCancelPath = "/cancel";
// JSON-RPC for manifests and status.
inline constexpr std::string_view kPeerRpcPath = "/rpc";
// Answers with an answer_envelope that describes the daemon; runs nothing.
inline constexpr std::string_view kPeerHelloPath = "/hello";

// Shows that a request comes from a daemon of the fleet.
inline constexpr std::string_view kPeerTokenHeader = "Pw-Peer-Token";

inline constexpr std::string_view kEnvelopeType = "application/msgpack";

}  // namespace pistachioweir
