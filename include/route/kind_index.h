// kind_index: small indices for the kinds of requests of one service, so that
// per-kind estimates fit in an array.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace pistachioweir {

// Operators rename and add routes while daemons run, so the number of names is
// unbounded. Kinds beyond kMaxKinds share index 0, whose estimates are then a
// mixture.
class kind_index {
 public:
  static constexpr std::uint32_t kMaxKinds = 64;

  [[nodiscard]] std::uint32_t IndexOf(std::string_view name) {
    const auto found = indices_.find(std::string(name));
    if (found != indices_.end()) {
      return found->second;
    }
    if (indices_.size() + 1 >= kMaxKinds) {
      return 0;
    }
    const auto index = static_cast<std::uint32_t>(indices_.size()) + 1;
    indices_.emplace(name, index);
    return index;
  }

  // Upper bound (exclusive) of the indices in use.
  [[nodiscard]] std::uint32_t size() const {
    return static_cast<std::uint32_t>(indices_.size()) + 1;
  }

 private:
  std::unordered_map<std::string, std::uint32_t> indices_;
};

}  // namespace pistachioweir
