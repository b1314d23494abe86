// Relaying of requests to the homes of their keys.
#include "src/daemon/key_relay.h"

#include <algorithm>
#include <utility>

#include "src/daemon/peer_client.h"
#include "src/daemon/peer_paths.h"
#include "src/net/worker_pool.h"

namespace pistachioweir {
namespace {

// The second copy goes out after this part of the time: early enough for a
// whole run behind it, and late enough that few requests are sent twice.
constexpr int kSecondCopyShare = 3;
constexpr milliseconds kLeastWait{20};

}  // namespace

key_relay::key_relay(worker_pool& workers,
                     std::size_t worker,
                     peer_client& peers,
                     const endpoint& home)
    : peers_(peers),
      worker_(worker),
      home_(home),
      second_copy_(workers.context(worker)) {}

void key_relay::Start(const outbound_request& request, callback done) {
  request_ = request;
  done_ = std::move(done);
  const duration share =
      (request.deadline - monotonic_clock::now()) / kSecondCopyShare;
  second_copy_.expires_after(std::max<duration>(share, kLeastWait));
  second_copy_.async_wait(
      [self = shared_from_this()](boost::system::error_code error) {
        if (!error && self->done_ != nullptr && !self->second_sent_) {
          self->SendCopy(/*fresh=*/true);
        }
      });
  SendCopy(/*fresh=*/false);
}

void key_relay::SendCopy(bool fresh) {
  second_sent_ = fresh;
  ++waiting_;
  call_envelope envelope = request_.request;
  envelope.remaining = std::max(
      milliseconds(0), std::chrono::duration_cast<milliseconds>(
                           request_.deadline - monotonic_clock::now()));
  copies_.push_back(
      peers_.Send(worker_, home_,
                  {.path = kPeerHomePath,
                   .body = Encode(envelope),
                   .deadline = request_.deadline,
                   .fresh = fresh},
                  [self = shared_from_this()](const peer_result& result) {
                    self->OnAnswer(result);
                  }));
}

void key_relay::OnAnswer(const peer_result& result) {
  --waiting_;
  if (done_ == nullptr) {
    return;
  }
  if (result.answer) {
    Finish(result.answer->result);
  } else if (!second_sent_) {
    // The first connection broke before its time; nothing is gained by waiting.
    SendCopy(/*fresh=*/true);
  } else if (waiting_ == 0) {
    Finish(Unknown(reason::kHomeUnreachable));
  }
}

void key_relay::Finish(const outcome& result) {
  callback done = std::exchange(done_, nullptr);
  Cancel();
  done(result);
}

void key_relay::Cancel() {
  done_ = nullptr;
  second_copy_.cancel();
  for (const auto& copy : std::exchange(copies_, {})) {
    http_client::Cancel(copy);
  }
}

}  // namespace pistachioweir
