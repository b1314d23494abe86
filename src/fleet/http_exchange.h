// http_exchange: one HTTP request to an IP number and its answer, over a
// connection of its own.
#pragma once

#include <cstddef>
#include <functional>
#include <string>

#include "include/base/time.h"
#include "include/config/settings.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace pistachioweir {

struct exchange_request {
  endpoint server;
  bool post = false;
  std::string path;
  std::string token;  // Of the fleet, for requests to its daemons.
  std::string body;
  milliseconds timeout{1000};
  std::size_t max_body = 0;  // Of the answer, in bytes.
};

struct exchange_answer {
  int status = 0;        // Zero if there was no whole answer.
  std::string revision;  // The Revision header.
  std::string body;
};

// Calls `done` exactly once, on a thread of `io`.
void Exchange(boost::asio::io_context& io,
              const exchange_request& request,
              std::function<void(exchange_answer)> done);

}  // namespace pistachioweir
