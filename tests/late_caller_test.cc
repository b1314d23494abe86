// Requests that a daemon reads late: its event loop doesn't run while callers
// send, so that all they have sent waits in the daemon's sockets.
#include <gtest/gtest.h>

#include "tests/support/fake_http_target.h"
#include "tests/support/forward_path.h"

namespace pistachioweir {
namespace {

using connection_ptr = fake_http_target::connection_ptr;

constexpr milliseconds kSettle{300};

// Guards against requests that reach the target although their callers have
// disconnected before the daemon reads them.
TEST(LateCallerTest, ARequestWhoseCallerHasLeftIsNotSent) {
  forward_path path;
  path.Configure();
  path.target.on_request = [](const read_request& request,
                              const connection_ptr& from) {
    from->Send(fake_http_target::Answer(request, request.target));
  };
  caller first(path);
  first.Request("GET", "/look/first", "id-1");
  EXPECT_EQ(first.NextResponse().status, 200);
  caller leaving(path);
  path.RunFor(kSettle);  // Accepted.
  leaving.Request("GET", "/look/left", "id-2");
  leaving.Disconnect();
  path.RunFor(kSettle);
  EXPECT_EQ(path.target.requests.size(), 1U);
  EXPECT_EQ(path.caller_side.in_progress(), 0U);
}

// As above, with a connection that wasn't accepted in time either.
TEST(LateCallerTest, ARequestOnAnUnacceptedConnectionIsNotSent) {
  forward_path path;
  path.Configure();
  path.target.on_request = [](const read_request& request,
                              const connection_ptr& from) {
    from->Send(fake_http_target::Answer(request, request.target));
  };
  caller first(path);
  first.Request("GET", "/look/first", "id-1");
  EXPECT_EQ(first.NextResponse().status, 200);
  caller leaving(path);
  leaving.Request("GET", "/look/left", "id-2");
  leaving.Disconnect();
  path.RunFor(kSettle);
  EXPECT_EQ(path.target.requests.size(), 1U);
}

}  // namespace
}  // namespace pistachioweir
