// Letters and digits without a locale, as protocols have them.
#pragma once

namespace pistachioweir {

[[nodiscard]] constexpr char ToLowerAscii(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

[[nodiscard]] constexpr bool IsAlphanumericAscii(char c) {
  const char lower = ToLowerAscii(c);
  return (lower >= 'a' && lower <= 'z') || (c >= '0' && c <= '9');
}

}  // namespace pistachioweir
