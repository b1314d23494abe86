// organisation_table: which organisation holds an API key, and what it may use.
//
// A value; built once for each configuration and shared by its readers.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace pistachioweir {

// Names an organisation between daemons, whatever configuration each of them
// has.
enum class organisation_id : std::uint64_t {};

[[nodiscard]] organisation_id IdOfOrganisation(std::string_view name);

struct organisation {
  organisation_id id{};  // Of `name`; set by the table.
  std::string name;
  std::vector<std::string> api_keys;
  // Of its requests, in place of their route's; 0 matters most.
  std::optional<std::uint32_t> rank;
  // Of all daemons together: requests a second, zero for no limit, and how many
  // may come at once beyond that.
  double rate = 0;
  double burst = 0;
};

class organisation_table {
 public:
  organisation_table() = default;

  // Nothing if an organisation has no name, an empty key, or a negative rate or
  // burst, or if two share a name or a key. `problem` then says which, without
  // telling the key.
  [[nodiscard]] static std::optional<organisation_table> Make(
      std::vector<organisation> organisations,
      std::string* problem);

  // nullptr if nobody holds the key. Valid as long as the table.
  [[nodiscard]] const organisation* Find(std::string_view api_key) const;

  [[nodiscard]] const std::vector<organisation>& organisations() const {
    return organisations_;
  }

 private:
  // Under a secret of this process, so that a caller can't choose keys that
  // fall together, or learn from the time of a look-up how near it came.
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
