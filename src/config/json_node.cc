// Typed reading of JSON values with errors that name the place.
#include "src/config/json_node.h"

#include <utility>

namespace pistachioweir {
namespace {

constexpr std::size_t kMaxQuoted = 60;

std::string Quote(const std::string& text) {
  const bool whole = text.size() <= kMaxQuoted;
  std::string quoted = "\"";
  for (const char c : text.substr(0, kMaxQuoted)) {
    const bool printable = c >= ' ' && c != '\x7f';
    quoted += printable ? c : '?';
  }
  return quoted + (whole ? "\"" : "...\"");
}

}  // namespace

json_node json_node::Member(const std::string& key) const {
  return {value_[key], place_ + "/" + key, errors_};
}

json_node json_node::Entry(Json::ArrayIndex index) const {
  return {value_[index], place_ + "/" + std::to_string(index), errors_};
}

void json_node::AddError(std::string problem, std::string expected) const {
  errors_->push_back({.place = place_,
                      .problem = std::move(problem),
                      .expected = std::move(expected)});
}

std::optional<std::uint64_t> json_node::ReadUnsigned(std::uint64_t min,
                                                     std::uint64_t max) const {
  // A number such as 1e3 or 5.0 has the library's real type and is refused too:
  // a generator that writes it has lost track of what it counts.
  const bool is_integer =
      value_.type() == Json::intValue || value_.type() == Json::uintValue;
  if (is_integer && value_.isUInt64() && value_.asUInt64() >= min &&
      value_.asUInt64() <= max) {
    return value_.asUInt64();
  }
  AddError(Describe(), "a whole number from " + std::to_string(min) + " to " +
                           std::to_string(max));
  return std::nullopt;
}

std::optional<bool> json_node::ReadBool() const {
  if (!value_.isBool()) {
    AddError(Describe(), "true or false");
    return std::nullopt;
  }
  return value_.asBool();
}

std::optional<std::string> json_node::ReadString() const {
  if (!value_.isString()) {
    AddError(Describe(), "a string");
    return std::nullopt;
  }
  return value_.asString();
}

bool json_node::ForEach(
    std::size_t min,
    std::size_t max,
    const std::function<void(const json_node&)>& read) const {
  if (!value_.isArray() || value_.size() < min || value_.size() > max) {
    AddError(Describe(), "an array of " + std::to_string(min) + " to " +
                             std::to_string(max) + " entries");
    return false;
  }
  for (Json::ArrayIndex i = 0; i < value_.size(); ++i) {
    read(Entry(i));
  }
  return true;
}

std::string json_node::Describe() const {
  switch (value_.type()) {
    case Json::nullValue:
      return "null";
    case Json::booleanValue:
      return value_.asBool() ? "true" : "false";
    case Json::stringValue:
      return Quote(value_.asString());
    case Json::arrayValue:
      return "an array of " + std::to_string(value_.size());
    case Json::objectValue:
      return "an object";
    default:
      return value_.asString();
  }
}

}  // namespace pistachioweir
