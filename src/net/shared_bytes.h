// shared_bytes: bytes that several holders keep without a copy each.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "include/memory/memory_budget.h"

namespace pistachioweir {

// Immutable. Copies share the bytes, which go with the last of them.
class shared_bytes {
 public:
  shared_bytes() = default;
  // NOLINTNEXTLINE(google-explicit-constructor): takes a string's place.
  shared_bytes(std::string bytes)
      : bytes_(bytes.empty()
                   ? nullptr
                   : std::make_shared<const std::string>(std::move(bytes))) {}
  // NOLINTNEXTLINE(google-explicit-constructor): likewise.
  shared_bytes(const char* text) : shared_bytes(std::string(text)) {}

  // The same bytes; what was reserved for them goes with the last copy.
  [[nodiscard]] static shared_bytes Reserved(shared_bytes bytes,
                                             memory_reservation reservation) {
    using reserved_bytes =
        std::pair<std::shared_ptr<const std::string>, memory_reservation>;
    shared_bytes made;
    if (!bytes.empty()) {
      const auto held = std::make_shared<const reserved_bytes>(
          std::move(bytes.bytes_), std::move(reservation));
      made.bytes_ = {held, held->first.get()};
    }
    return made;
  }

  [[nodiscard]] bool empty() const { return bytes_ == nullptr; }
  [[nodiscard]] std::size_t size() const { return str().size(); }
  [[nodiscard]] const std::string& str() const {
    static const std::string none;
    return bytes_ == nullptr ? none : *bytes_;
  }
  // nullptr if empty.
  [[nodiscard]] const std::shared_ptr<const std::string>& shared() const {
    return bytes_;
  }

  friend bool operator==(const shared_bytes& a, std::string_view b) {
    return a.str() == b;
  }

 private:
  std::shared_ptr<const std::string> bytes_;  // Not empty.
};

}  // namespace pistachioweir
