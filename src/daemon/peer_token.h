// The token by which daemons show each other that they belong to the fleet.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace pistachioweir {

// Derived from a fleet key, which can't be got back from it.
[[nodiscard]] std::string PeerToken(std::string_view fleet_key);

// One for each fleet key, in their order.
[[nodiscard]] std::vector<std::string> PeerTokens(
    const std::vector<std::string>& fleet_keys);

// Whether `token` is one of `tokens`. Takes the same time whatever is wrong
// with it, so that it can't be guessed letter by letter.
[[nodiscard]] bool IsPeerToken(std::string_view token,
                               const std::vector<std::string>& tokens);

}  // namespace pistachioweir
