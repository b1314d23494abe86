// organisation_table: maps API keys to organisations and their limits.
//
// Immutable value; built once per configuration and shared by its readers.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace pistachioweir {

// Identifies an organisation across daemons, independent of the configuration
// that each of them has.
enum class organisation_id : std::uint64_t {};

[[nodiscard]] organisation_id IdOfOrganisation(std::string_view name);

struct organisation {
  organisation_id id{};  // Of `name`; set by the table.
  std::string name;
  std::vector<std::string> api_keys;
  // Rank of its requests, which overrides that of their route; 0 is the most
  // important.
  std::optional<std::uint32_t> rank;
  // Limits over all daemons: requests per second, zero for no limit, and the
  // number of requests admitted at once beyond that.
  double rate = 0;
  double burst = 0;
};

class organisation_table {
 public:
  organisation_table() = default;

  // Returns nullopt if an organisation has no name, an empty key, or a negative
  // rate or burst, or if two share a name or a key. `problem` then describes
  // which, without printing the key.
  [[nodiscard]] static std::optional<organisation_table> Make(
      std::vector<organisation> organisations,
      std::string* problem);

  // Returns nullptr if no organisation holds the key. Valid as long as the
  // table.
  [[nodiscard]] const organisation* Find(std::string_view api_key) const;

  [[nodiscard]] const std::vector<organisation>& organisations() const {
    return organisations_;
  }

 private:
  // Keyed with a secret of this process, so that callers can neither choose
  // keys that collide nor learn from look-up times how close a guess was.
  struct secret_hash {
    std::size_t operator()(std::string_view key) const;
  };
  struct constant_time_equal {
    bool operator()(std::string_view a, std::string_view b) const;
  };

  std::vector<organisation> organisations_;
  // Index in `organisations_`.
  std::unordered_map<std::string, std::size_t, secret_hash, constant_time_equal>
      by_key_;
};

}  // namespace pistachioweir
