// Reads of the platform, tried at each of its endpoints in turn.
#include "src/fleet/platform_client.h"

#include <charconv>
#include <utility>

#include "src/fleet/http_exchange.h"

namespace pistachioweir {
namespace {

// One read, tried at one endpoint after the other.
struct pending_read {
  exchange_request request;
  std::size_t next = 0;
  std::size_t tries_left = 0;
  read_handler done;
};

platform_read ToRead(exchange_answer answer) {
  platform_read read;
  if (answer.status == 200) {
    const char* end = answer.revision.data() + answer.revision.size();
    const auto parsed =
        std::from_chars(answer.revision.data(), end, read.revision);
    read.status = parsed.ec == std::errc() && parsed.ptr == end
                      ? read_status::kFound
                      : read_status::kFailed;
    read.body = std::move(answer.body);
  } else if (answer.status == 304) {
    read.status = read_status::kUnchanged;
  } else if (answer.status == 404) {
    read.status = read_status::kMissing;
  }
  return read;
}

void TryNext(boost::asio::io_context& io,
             const std::shared_ptr<const std::vector<endpoint>>& platform,
             const std::shared_ptr<pending_read>& read) {
  if (read->tries_left == 0) {
    read->done({});
    return;
  }
  --read->tries_left;
  read->request.server = (*platform)[read->next];
  read->next = (read->next + 1) % platform->size();
  Exchange(io, read->request, [&io, platform, read](exchange_answer answer) {
    platform_read result = ToRead(std::move(answer));
    if (result.status == read_status::kFailed) {
      TryNext(io, platform, read);
      return;
    }
    read->done(std::move(result));
  });
}

}  // namespace

platform_client::platform_client(boost::asio::io_context& io,
                                 std::vector<endpoint> platform)
    : io_(io),
      platform_(
          std::make_shared<const std::vector<endpoint>>(std::move(platform))) {}

void platform_client::Read(const read_request& request,
                           std::uint64_t seed,
                           read_handler done) {
  std::string path = "/v1/documents/" + request.key;
  if (request.wait.count() > 0) {
    path += "?after=" + std::to_string(request.after) +
            "&wait_ms=" + std::to_string(request.wait.count());
  }
  auto read = std::make_shared<pending_read>();
  read->request = {.path = std::move(path),
                   .timeout = request.wait + kTimeout,
                   .max_body = kMaxBody};
  read->next = platform_->empty() ? 0 : seed % platform_->size();
  read->tries_left = platform_->size();
  read->done = std::move(done);
  TryNext(io_, platform_, read);
}

}  // namespace pistachioweir
