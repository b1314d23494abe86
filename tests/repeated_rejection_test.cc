// Requests that may run once at a target that gives its rejections twice.
#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <string>

#include "tests/support/fake_http_target.h"
#include "tests/support/forward_path.h"

namespace pistachioweir {
namespace {

using connection_ptr = fake_http_target::connection_ptr;

class repeated_rejection_test : public testing::Test {
 protected:
  // The target rejects the first `rejections` sends of each request, and sends
  // each rejection once more ahead of the next answer on its connection.
  void RejectFirst(int rejections) {
    path_.Configure();
    path_.target.on_request = [this, rejections](const read_request& request,
                                                 const connection_ptr& from) {
      if (const auto late = late_.extract(from); !late.empty()) {
        from->Send(late.mapped());
      }
      const std::string id = Header(request, "Request-Id");
      if (sends_[id]++ < rejections) {
        const std::string rejection = fake_http_target::Answer(
            request, "full", 503, "Not-Executed: 1\r\n");
        from->Send(rejection);
        late_[from] = rejection;
        return;
      }
      ++runs_[id];
      from->Send(fake_http_target::Answer(request, "made"));
    };
  }

  forward_path path_{[](origin_options* options) {
    options->repeat_sharing = repeat_sharing_policy::kShared;
    options->repeat_ratio = 20;
    options->leaf_repeat_ratio = 20;
    options->starting_repeat_ratio = 20;
    options->started = monotonic_clock::now();
  }};
  std::deque<caller> callers_;
  std::map<connection_ptr, std::string> late_;
  std::map<std::string, int> sends_;
  std::map<std::string, int> runs_;
};

// Guards against an at-most-once request that runs again after a late copy of a
// rejection was taken for the answer of its run.
TEST_F(repeated_rejection_test, ARequestThatMayRunOnceRunsOnce) {
  RejectFirst(1);
  for (int i = 0; i < 20; ++i) {
    const std::string id = "id-" + std::to_string(i);
    caller& client = callers_.emplace_back(path_);
    client.Request("POST", "/sign/1", id, "x");
    EXPECT_EQ(client.NextResponse().status, 200);
    EXPECT_EQ(runs_[id], 1);
  }
}

// Guards against a refusal that promises that nothing ran while the request
// runs.
TEST_F(repeated_rejection_test, ARefusedRequestHasNotRun) {
  RejectFirst(7);
  for (int i = 0; i < 20; ++i) {
    const std::string id = "id-" + std::to_string(i);
    caller& client = callers_.emplace_back(path_);
    client.Request("POST", "/sign/1", id, "x");
    EXPECT_EQ(client.NextResponse().status == 200 ? 1 : 0, runs_[id]);
  }
}

}  // namespace
}  // namespace pistachioweir
