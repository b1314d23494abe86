// Requests that a daemon reads late: its event loop doesn't run while callers
// send, so that all they have sent waits in the daemon's sockets.
#include <gtest/gtest.h>

#include "tests/support/fake_http_target.h"
#include "tests/support/forward_path.h"

namespace pistachioweir {
namespace {

using connection_ptr = fake_http_target::connection_ptr;

constexpr milliseconds kSettle{300};

class late_caller_test : public testing::Test {
 protected:
  late_caller_test() {
    path_.Configure();
    path_.target.on_request = [](const read_request& request,
                                 const connection_ptr& from) {
      from->Send(fake_http_target::Answer(request, request.target));
    };
  }

  // Leaves an idle connection to the target, on which a request is sent at
  // once.
  void WarmUp() {
    caller first(path_);
    first.Request("GET", "/look/first", "id-1");
    EXPECT_EQ(first.NextResponse().status, 200);
  }

  forward_path path_;
};

// Guards against requests that reach the target although their callers have
// disconnected before the daemon reads them.
TEST_F(late_caller_test, ARequestWhoseCallerHasLeftIsNotSent) {
  WarmUp();
  caller leaving(path_);
  path_.RunFor(kSettle);  // Accepted.
  leaving.Request("GET", "/look/left", "id-2");
  leaving.Disconnect();
  path_.RunFor(kSettle);
  EXPECT_EQ(path_.target.requests.size(), 1U);
  EXPECT_EQ(path_.caller_side.in_progress(), 0U);
}

// As above, with a connection that wasn't accepted in time either.
TEST_F(late_caller_test, ARequestOnAnUnacceptedConnectionIsNotSent) {
  WarmUp();
  caller leaving(path_);
  leaving.Request("GET", "/look/left", "id-2");
  leaving.Disconnect();
  path_.RunFor(kSettle);
  EXPECT_EQ(path_.target.requests.size(), 1U);
}

}  // namespace
}  // namespace pistachioweir
