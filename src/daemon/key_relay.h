// key_relay: takes one request with a key to the key's home and brings back
// what the home says.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "include/base/outcome.h"
#include "include/config/settings.h"
#include "src/daemon/outbound_role.h"
#include "src/net/http_client.h"

namespace pistachioweir {

class peer_client;
class worker_pool;

// Only the home may start the request or call it not executed, since an earlier
// copy may have reached it through another daemon. So silence ends as unknown.
//
// Made for connections to the home that have gone silent: a second copy goes
// out over a new one after a part of the time. The first one is kept, because
// the home cancels a request that nobody waits for any more, and a call that is
// merely slow would be lost by the haste. The home joins the copies.
//
// Owned by its own exchanges and timer; used on one worker.
class key_relay : public std::enable_shared_from_this<key_relay> {
 public:
  using callback = std::function<void(const outcome&)>;

  key_relay(worker_pool& workers,
            std::size_t worker,
            peer_client& peers,
            const endpoint& home);

  // Calls `done` once, later. `request` names the key in its binding.
  void Start(const outbound_request& request, callback done);

  // The caller went away.
  void Cancel();

 private:
  void SendCopy(bool fresh);
  void OnAnswer(const peer_result& result);
  void Finish(const outcome& result);

  peer_client& peers_;
  const std::size_t worker_;
  const endpoint home_;
  boost::asio::steady_timer second_copy_;
  outbound_request request_;
  callback done_;  // Empty exactly when finished.
  std::vector<std::shared_ptr<http_client::exchange>> copies_;
  int waiting_ = 0;  // Copies that are out.
  bool second_sent_ = false;
};

}  // namespace pistachioweir
