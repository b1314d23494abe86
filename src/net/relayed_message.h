// relayed_message: HTTP messages that are passed on unchanged. Their headers
// stay one block of text: whoever relays a message has no use for most of them.
#pragma once

#include <string>
#include <string_view>

#include "src/net/shared_bytes.h"

namespace pistachioweir {

struct relayed_request {
  std::string verb;
  std::string target;        // Path and query, as they came.
  std::string header_block;  // "Name: value\r\n" each; end-to-end ones only.
  shared_bytes body;         // Whole, without transfer coding.
};

struct relayed_response {
  int status = 0;
  std::string header_block;
  std::string body;
};

// Appends one header to a block.
void AppendHeader(std::string_view name,
                  std::string_view value,
                  std::string* block);

}  // namespace pistachioweir
