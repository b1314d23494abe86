// outbound_role::call: one call that may run more than once, on its way to a
// target.
#pragma once

#include <utility>

#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <memory>
#include <optional>

#include "include/retry/credit_ledger.h"
#include "src/daemon/outbound_role.h"

namespace pistachioweir {

// Touched on its worker's thread only.
class outbound_role::call {
 public:
  call(std::size_t on_worker, outbound_request asked, callback answer)
      : worker(on_worker),
        request(std::move(asked)),
        done(std::move(answer)),
        credit(request.request.retry_credit) {}

  const std::size_t worker;
  outbound_request request;
  callback done;  // Empty exactly when the call is answered.
  credit_ledger credit;
  std::vector<vm_id> tried;
  // Whether an attempt may have run; then the call can't end as not executed.
  bool may_have_run = false;
  reason unknown_reason = reason::kNone;
  // Of the attempt that is out; reset when it ends.
  std::shared_ptr<void> attempt;
  vm_id target;  // Of that attempt.
  // Set while that attempt is given up for another try.
  bool suspected = false;
  // Runs while an attempt is out that may be given up early.
  std::optional<boost::asio::steady_timer> suspicion;
};

}  // namespace pistachioweir
