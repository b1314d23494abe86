// json_schema: the keys of a JSON object as a table, each with a function that
// reads it into a struct. Unknown and missing keys are found by the table.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "include/base/time.h"
#include "src/config/json_node.h"

namespace pistachioweir {

enum class presence { kRequired, kOptional };

template <typename T>
struct json_field {
  std::string name;
  presence need = presence::kOptional;
  // Stores the node's value in the struct, or adds errors and leaves it.
  std::function<void(const json_node&, T*)> read;
};

template <typename T>
class json_schema {
 public:
  json_schema(std::initializer_list<json_field<T>> fields) : fields_(fields) {}

  // Reads `node` into `out`. All errors of all keys are added, not the first.
  void Read(const json_node& node, T* out) const {
    if (!node.value().isObject()) {
      node.AddError(node.Describe(), "an object");
      return;
    }
    CheckUnknown(node);
    for (const json_field<T>& field : fields_) {
      if (node.value().isMember(field.name)) {
        field.read(node.Member(field.name), out);
      } else if (field.need == presence::kRequired) {
        node.Member(field.name).AddError("missing", "a value");
      }
    }
  }

 private:
  void CheckUnknown(const json_node& node) const {
    for (const std::string& key : node.value().getMemberNames()) {
      const auto known = std::ranges::find(fields_, key, &json_field<T>::name);
      if (known == fields_.end()) {
        node.Member(key).AddError("unknown key", "one of " + Names());
      }
    }
  }

  [[nodiscard]] std::string Names() const {
    std::string names;
    for (const json_field<T>& field : fields_) {
      names += names.empty() ? "" : ", ";
      names += field.name;
    }
    return names;
  }

  std::vector<json_field<T>> fields_;
};

// Readers for members of the usual types.

template <typename T, typename Number>
auto ReadNumber(Number T::*member, std::uint64_t min, std::uint64_t max) {
  return [=](const json_node& node, T* out) {
    if (const auto value = node.ReadUnsigned(min, max)) {
      out->*member = static_cast<Number>(*value);
    }
  };
}

template <typename T>
auto ReadMilliseconds(milliseconds T::*member,
                      std::uint64_t min,
                      std::uint64_t max) {
  return [=](const json_node& node, T* out) {
    if (const auto value = node.ReadUnsigned(min, max)) {
      out->*member = milliseconds(*value);
    }
  };
}

template <typename T>
auto ReadFlag(bool T::*member) {
  return [=](const json_node& node, T* out) {
    if (const auto value = node.ReadBool()) {
      out->*member = *value;
    }
  };
}

// Reads an entry of any type by `parse`, which returns nothing after it has
// added an error.
template <typename T, typename Value, typename Parse>
auto ReadWith(Value T::*member, Parse parse) {
  return [=](const json_node& node, T* out) {
    if (auto value = parse(node)) {
      out->*member = *std::move(value);
    }
  };
}

// Reads an array of `min` to `max` entries, each by `parse`.
template <typename T, typename Value, typename Parse>
auto ReadList(std::vector<Value> T::*member,
              std::size_t min,
              std::size_t max,
              Parse parse) {
  return [=](const json_node& node, T* out) {
    node.ForEach(min, max, [&](const json_node& entry) {
      if (auto value = parse(entry)) {
        (out->*member).push_back(*std::move(value));
      }
    });
  };
}

}  // namespace pistachioweir
