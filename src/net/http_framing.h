// http_framing: what the standard asks of heads beyond what Beast's parsers
// check.
#pragma once

#include <iterator>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/message.hpp>

namespace pistachioweir {

// Whether it can be told where the body ends. Chunks alone are understood, and
// not in HTTP/1.0 (RFC 9112, section 6.1). Beast takes a message with another
// coding as one that has none: a request's body would be read as the next
// request, and an answer's body passed on without the coding's name.
template <bool kIsRequest, typename Fields>
[[nodiscard]] bool HasKnownFraming(
    const boost::beast::http::header<kIsRequest, Fields>& head) {
  constexpr unsigned kHttp11 = 11;
  const auto [first, last] =
      head.equal_range(boost::beast::http::field::transfer_encoding);
  if (first == last) {
    return true;
  }
  return std::next(first) == last && head.version() == kHttp11 &&
         boost::beast::iequals(first->value(), "chunked");
}

// Whether an answer to a request that asked for no upgrade may have this status
// (RFC 9110, section 15). Behind 101 the connection speaks another protocol.
[[nodiscard]] constexpr bool IsAnswerStatus(unsigned status) {
  constexpr unsigned kFirst = 100;
  constexpr unsigned kSwitchingProtocols = 101;
  constexpr unsigned kEnd = 600;
  return status >= kFirst && status < kEnd && status != kSwitchingProtocols;
}

}  // namespace pistachioweir
