// http_client: sends requests over kept connections, one exchange at a time on
// each, for one worker.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "include/base/enum_table.h"
#include "include/base/time.h"
#include "include/config/settings.h"
#include "src/net/http_message.h"

namespace boost::asio {
class io_context;
}

namespace pistachioweir {

// How an exchange ended.
enum class exchange_end {
  kAnswered,  // The whole answer is here.
  kNotSent,   // No byte left: the other side can't have seen the request.
  kLost,      // The connection ended behind the first byte.
  kTimedOut,
  kCancelled,
};

inline constexpr enum_table<exchange_end, 5> kExchangeEndNames(
    {"answered", "not_sent", "lost", "timed_out", "cancelled"});

struct exchange_result {
  exchange_end end = exchange_end::kNotSent;
  http_response response;  // Only with kAnswered.
};

struct http_client_options {
  std::size_t max_body_bytes = 2 << 20;
  // Idle connections kept for one address; more are closed.
  std::size_t max_idle = 256;
  // Shorter than the server's idle timeout, so that a request is seldom sent
  // on a connection that the server is just closing.
  milliseconds max_idle_time{10000};
  milliseconds connect_timeout{1000};
};

// Used from its worker's thread only. Owns idle connections; a busy one is
// owned by its exchange. A connection whose exchange did not end with a whole
// answer is closed, never reused: a late answer on it would be taken for the
// answer to another request.
class http_client {
 public:
  using callback = std::function<void(exchange_result)>;

  class exchange;

  http_client(boost::asio::io_context& context, http_client_options options);
  ~http_client();

  // Sends `request` and calls `done` once, later, on this worker. With
  // `fresh` it opens a new connection, in case the kept ones have gone silent.
  // The returned exchange may be dropped; it goes on.
  std::shared_ptr<exchange> Send(const endpoint& address,
                                 http_request request,
                                 time_point deadline,
                                 bool fresh,
                                 callback done);

  // Gives up: closes the connection, and `done` hears kCancelled. Does nothing
  // if the exchange has ended.
  static void Cancel(const std::shared_ptr<exchange>& exchange);

  // Closes the idle connections to `address`. Something between the two ends
  // may have lost track of all of them at once; a request sent on one would
  // wait in vain.
  void DropIdle(const endpoint& address);

 private:
  struct idle_connection;
  struct pool;

  std::shared_ptr<pool> pool_;
};

}  // namespace pistachioweir
