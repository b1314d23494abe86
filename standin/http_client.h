// http_client: sends HTTP/1.1 requests on pooled connections, for stand-ins,
// tools and tests.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "include/base/enum_table.h"
#include "include/base/time.h"
#include "standin/http.h"

namespace boost::asio {
class io_context;
}

namespace pistachioweir::standin {

enum class http_failure : std::uint8_t {
  kNone,
  kConnect,  // No connection: the request was never sent.
  kTimeout,
  kLost,  // The connection ended before the whole answer came.
};

inline constexpr enum_table<http_failure, 4> kHttpFailureNames(
    {"none", "connect", "timeout", "lost"});

struct http_result {
  http_failure failure = http_failure::kNone;
  http_response response;
};

using http_done = std::function<void(const http_result&)>;

// A request on its way.
class http_call {
 public:
  virtual ~http_call() = default;
  // Closes the connection; the call's callback is not called any more.
  virtual void Cancel() = 0;
};

// Owns idle connections; a connection serves one request at a time and isn't
// used again after a failure. One thread runs `io`, which outlives the client.
class http_client {
 public:
  explicit http_client(boost::asio::io_context& io);
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  std::shared_ptr<http_call> Send(const endpoint& address,
                                  const http_request& request,
                                  milliseconds timeout,
                                  http_done done);

 private:
  class pool;
  std::shared_ptr<pool> pool_;
};

// Sends one request and waits for its result.
[[nodiscard]] http_result SendAndWait(
    const endpoint& address,
    const http_request& request,
    milliseconds timeout = milliseconds(5000));

}  // namespace pistachioweir::standin
