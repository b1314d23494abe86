// home_role::execution: one keyed request that this home runs.
#pragma once

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

#include "src/daemon/home_role.h"

namespace pistachioweir {

// Touched on its worker's thread only.
class home_role::execution {
 public:
  execution(std::size_t on_worker,
            keyed_request asked,
            boost::asio::io_context& context)
      : worker(on_worker),
        request(std::move(asked)),
        deadline_timer(context),
        pause_timer(context) {}

  const std::size_t worker;
  const keyed_request request;
  boost::asio::steady_timer deadline_timer;
  boost::asio::steady_timer pause_timer;  // Before a delayed copy.
  // The target of the present attempt, from its choice to its release.
  std::optional<chosen_target> chosen;
  // Targets whose daemons didn't answer when they were asked for their start.
  std::vector<vm_id> unreachable;
  std::uint32_t attempt = 0;
  std::uint32_t sends = 0;  // Of the present attempt.
  // What rode on the last answer.
  std::uint32_t unspent_credit = 0;
};

}  // namespace pistachioweir
