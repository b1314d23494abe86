// daemon_order: the order of all daemons, which each of them derives alone from
// its list of targets.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace pistachioweir {

// Where a daemon runs: beside a target.
struct daemon_location {
  std::string ip;
  std::string data_centre;

  friend auto operator<=>(const daemon_location&,
                          const daemon_location&) = default;
};

struct ordered_daemon {
  std::uint64_t hash = 0;  // Of the address.
  daemon_location location;
  std::size_t targets = 1;  // Beside it.
  std::size_t ready = 1;    // Among these.
};

// One target beside a daemon, or its departure.
struct daemon_target {
  daemon_location location;
  bool is_ready = true;
};

// Ordered by a hash of the addresses, which gives all daemons the same order.
// The addresses themselves would not do: they are assigned service by service.
//
// Updated by the changes of the list, which are one for each target while a
// whole fleet starts.
//
// Pure logic; the owner of a daemon's components keeps one for all.
class daemon_order {
 public:
  daemon_order() = default;
  explicit daemon_order(const std::vector<daemon_location>& daemons);
  [[nodiscard]] static daemon_order InOneDataCentre(
      const std::vector<std::string>& ips);

  [[nodiscard]] static std::uint64_t HashOf(const std::string& ip);

  void Update(const std::vector<daemon_target>& removed,
              const std::vector<daemon_target>& added);

  [[nodiscard]] const std::vector<ordered_daemon>& daemons() const {
    return daemons_;
  }
  // The first daemon that doesn't precede the address, which need not be known.
  [[nodiscard]] std::vector<ordered_daemon>::const_iterator PositionOf(
      const std::string& ip) const;
  [[nodiscard]] bool Contains(const std::string& ip) const;
  // The fraction of the daemons of its data centre that precede it, which need
  // not be known.
  [[nodiscard]] double FractionBefore(const daemon_location& daemon) const;

 private:
  std::vector<ordered_daemon> daemons_;  // One for each address.
};

}  // namespace pistachioweir
