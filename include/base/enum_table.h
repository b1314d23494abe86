// enum_table: names of an enum's values, kept as data beside the enum.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace pistachioweir {

// One name for each value of an enum that counts up from zero. Works in both
// directions; lookups are linear, since the tables are short.
template <typename Enum, std::size_t N>
class enum_table {
 public:
  explicit constexpr enum_table(std::array<std::string_view, N> names)
      : names_(names) {}

  [[nodiscard]] static constexpr std::size_t size() { return N; }

  // The name of `value`; "invalid" for a number outside the enum.
  [[nodiscard]] constexpr std::string_view Name(Enum value) const {
    const auto index = static_cast<std::size_t>(value);
    return index < N ? names_[index] : std::string_view("invalid");
  }

  // The value called `name`, or nothing.
  [[nodiscard]] constexpr std::optional<Enum> Find(
      std::string_view name) const {
    for (std::size_t i = 0; i < N; ++i) {
      if (names_[i] == name) {
        return static_cast<Enum>(i);
      }
    }
    return std::nullopt;
  }

  // The value with the number `number`, or nothing. For numbers off the wire.
  [[nodiscard]] static constexpr std::optional<Enum> FromNumber(
      std::size_t number) {
    if (number >= N) {
      return std::nullopt;
    }
    return static_cast<Enum>(number);
  }

 private:
  std::array<std::string_view, N> names_;
};

}  // namespace pistachioweir
