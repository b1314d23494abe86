// kind_index: small numbers for the kinds of work that one service does, so
// that what is learnt of each can stand in an array.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace pistachioweir {

// Operators rename and add routes while daemons run, so that the number of
// names has no bound. Kinds beyond kMaxKinds share number 0, whose estimates
// are then a mixture.
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

  // Numbers that may have been given out are below this.
  [[nodiscard]] std::uint32_t size() const {
    return static_cast<std::uint32_t>(indices_.size()) + 1;
  }

 private:
  std::unordered_map<std::string, std::uint32_t> indices_;
};

}  // namespace pistachioweir
