// http_server: a small HTTP/1.1 server on one thread, for stand-ins. The
// handler owns each exchange that it is given and answers when it likes.
#pragma once

#include <functional>
#include <memory>

#include "standin/http.h"

namespace boost::asio {
class io_context;
}

namespace pistachioweir::standin {

// One request and the answer that it waits for.
class http_exchange {
 public:
  virtual ~http_exchange() = default;

  [[nodiscard]] virtual const http_request& request() const = 0;

  // Sends the answer; a second answer, or one to a client that left, is
  // dropped.
  virtual void Respond(const http_response& response) = 0;

  // Ends the connection without an answer.
  virtual void Close() = 0;

  // Calls `handler` once if the client closes before it is answered.
  virtual void OnAbandoned(std::function<void()> handler) = 0;
};

using http_handler = std::function<void(std::shared_ptr<http_exchange>)>;

// Listens from its construction until the context ends; throws
// boost::system::system_error if the address can't be had. One thread runs
// `io`.
class http_server {
 public:
  http_server(boost::asio::io_context& io,
              const endpoint& address,
              http_handler handler);

  // The address that was bound, with its port if 0 was asked for.
  [[nodiscard]] endpoint address() const { return address_; }

 private:
  endpoint address_;
};

}  // namespace pistachioweir::standin
