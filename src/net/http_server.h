// http_server: accepts HTTP/1.1 connections on one port and hands each whole
// request to a handler.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "include/base/time.h"
#include "include/config/settings.h"
#include "src/net/http_message.h"

namespace pistachioweir {

class worker_pool;

// One request that waits for its answer. Shared by the session and whoever
// answers; safe to hold after the connection is gone.
class http_exchange {
 public:
  virtual ~http_exchange() = default;

  [[nodiscard]] virtual const http_request& request() const = 0;
  [[nodiscard]] virtual std::size_t worker() const = 0;
  // IP number of the other side.
  [[nodiscard]] virtual const std::string& peer_ip() const = 0;

  // Sends the answer; the first call counts, later ones do nothing. Any thread.
  virtual void Respond(http_response response) = 0;

  // Runs `callback` on the worker if the other side closes the connection
  // before it is answered. Call on the worker's thread.
  virtual void OnDisconnect(std::function<void()> callback) = 0;
};

struct http_server_options {
  endpoint address;
  // A larger body is answered 413 and the connection ends, since the rest of
  // it can't be told from a next request.
  std::size_t max_body_bytes = 1 << 20;
  // More connections are closed at once, so that a flood of them can't take
  // the memory that serves the ones there are.
  std::size_t max_connections = 4096;
  // An unfinished request or idle connection is closed after this.
  milliseconds idle_timeout{30000};
  // Answer to a request that isn't HTTP or is too large, by its status.
  std::function<http_response(int status)> refusal;
  std::function<void(std::shared_ptr<http_exchange>)> handler;
};

// Owns the listening socket; sessions own themselves until their connection
// ends.
class http_server {
 public:
  // Binds and listens. Throws boost::system::system_error if it can't: a start
  // without its ports is no start.
  http_server(worker_pool& workers, http_server_options options);
  ~http_server();

  // Takes no more connections; open ones go on, and are closed behind their
  // next answer.
  void StopAccepting();

  // Where it listens; with port 0 in the options, the port that was given.
  [[nodiscard]] endpoint address() const;
  // Closes each connection behind its next answer, while new ones are still
  // accepted: whoever comes is told to go elsewhere.
  void DrainConnections();

  [[nodiscard]] std::size_t connections() const;
  // Requests since the start.
  [[nodiscard]] std::uint64_t requests() const;
  // Requests whose answers have not been written yet.
  [[nodiscard]] std::size_t open_exchanges() const;

 private:
  struct state;
  struct listener;
  class session;

  static void Accept(const std::shared_ptr<state>& state,
                     const std::shared_ptr<listener>& listener);

  std::shared_ptr<state> state_;
  std::shared_ptr<listener> listener_;
};

}  // namespace pistachioweir
