// One request to the admin port, by the daemon's own HTTP client.
#include "src/cli/admin_client.h"

#include <utility>

#include <boost/asio/io_context.hpp>

#include "src/net/http_client.h"

namespace pistachioweir {
namespace {

admin_page ToPage(const exchange_result& result, const std::string& where) {
  if (result.end != exchange_end::kAnswered) {
    return {.body = {},
            .problem = where + ": " +
                       std::string(kExchangeEndNames.Name(result.end)) +
                       "; is this the admin address of a daemon that runs?"};
  }
  if (result.response.status != 200) {
    return {.body = {},
            .problem = where + ": answered " +
                       std::to_string(result.response.status) + " " +
                       result.response.body};
  }
  return {.body = result.response.body, .problem = {}};
}

}  // namespace

admin_page FetchAdminPage(const endpoint& address,
                          const std::string& path,
                          const std::string& query,
                          milliseconds timeout) {
  boost::asio::io_context context;
  http_client client(context, {.connect_timeout = timeout});
  exchange_result result;
  client.Send(address, {.verb = "GET", .path = path, .query = query},
              monotonic_clock::now() + timeout, /*fresh=*/true,
              [&](exchange_result ended) {
                result = std::move(ended);
                context.stop();
              });
  context.run();
  return ToPage(result, "http://" + ToString(address) + path);
}

}  // namespace pistachioweir
