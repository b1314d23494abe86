// json_node: a value inside a JSON document together with its place, and the
// list that errors about it go to.
#pragma once

#include <json/value.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "include/config/config_error.h"

namespace pistachioweir {

// Refers to a document and an error list that outlive it. Readers return
// nothing after they have added an error.
class json_node {
 public:
  json_node(const Json::Value& value, std::string place, config_errors* errors)
      : value_(value), place_(std::move(place)), errors_(errors) {}

  [[nodiscard]] const Json::Value& value() const { return value_; }
  [[nodiscard]] const std::string& place() const { return place_; }

  // The member or the entry below this node.
  [[nodiscard]] json_node Member(const std::string& key) const;
  [[nodiscard]] json_node Entry(Json::ArrayIndex index) const;

  void AddError(std::string problem, std::string expected) const;

  [[nodiscard]] std::optional<std::uint64_t> ReadUnsigned(
      std::uint64_t min,
      std::uint64_t max) const;
  [[nodiscard]] std::optional<bool> ReadBool() const;
  [[nodiscard]] std::optional<std::string> ReadString() const;
  // Calls `read` on each entry of an array of `min` to `max` entries. Returns
  // false, without calls, if this is no such array.
  bool ForEach(std::size_t min,
               std::size_t max,
               const std::function<void(const json_node&)>& read) const;

  // The value in a few words, as it stands in an error.
  [[nodiscard]] std::string Describe() const;

 private:
  const Json::Value& value_;
  std::string place_;
  config_errors* errors_;
};

}  // namespace pistachioweir
