// config_error: one thing wrong in settings or manifests, with its place.
#pragma once

#include <string>
#include <vector>

namespace pistachioweir {

struct config_error {
  std::string place;     // File and path of the value, as "a.json: /slots".
  std::string problem;   // What is wrong.
  std::string expected;  // What would be right.
};

using config_errors = std::vector<config_error>;

// One line for people, without a line end.
[[nodiscard]] std::string ToLine(const config_error& error);

// Either a value or what is wrong; `errors` is empty exactly if there is a
// value.
template <typename T>
struct parse_result {
  T value{};
  config_errors errors;

  [[nodiscard]] bool ok() const { return errors.empty(); }
};

}  // namespace pistachioweir
