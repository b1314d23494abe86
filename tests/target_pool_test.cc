// Connections to a target that gives answers late, twice or without ids.
#include "src/forward/target_pool.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <boost/asio/io_context.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "platform/target_protocol.h"
#include "src/forward/carried_ids.h"
#include "tests/support/fake_http_target.h"
#include "tests/support/run_until.h"

namespace pistachioweir {
namespace {

using connection_ptr = fake_http_target::connection_ptr;

class target_pool_test : public testing::Test {
 protected:
  // Runs a request and waits for its end.
  run_result Run(const std::string& id, shared_bytes body = {}) {
    std::optional<run_result> ended;
    pool_.Run({.request = {.verb = "POST",
                           .target = "/sign/" + id,
                           .header_block = "Request-Id: " + id + "\r\n",
                           .body = std::move(body)},
               .request_id = id,
               .target_id = "target-1",
               .deadline = monotonic_clock::now() + seconds(10)},
              [&](run_result result) { ended = std::move(result); });
    EXPECT_TRUE(RunUntil(context_, [&] { return ended.has_value(); }));
    return ended.value_or(run_result());
  }

  // The target answers the first request that it gets with `first`, and any
  // other one with a late copy of that, if it comes on the same connection, and
  // a success.
  void AnswerFirstWith(int status, const std::string& headers) {
    target_.on_request = [this, status, headers](const read_request& request,
                                                 const connection_ptr& from) {
      if (copies_.empty()) {
        copies_[from] =
            fake_http_target::Answer(request, "first", status, headers);
        from->Send(copies_[from]);
        return;
      }
      const auto copy = copies_.find(from);
      if (copy != copies_.end()) {
        from->Send(copy->second);
      }
      from->Send(fake_http_target::Answer(request, "second"));
    };
  }

  boost::asio::io_context context_;
  fake_http_target target_{context_};
  target_pool<platform::targets> pool_{context_, target_.address(), {}};
  std::map<connection_ptr, std::string> copies_;
};

// Guards against a late copy of a rejection that is taken for the answer to the
// second send of the request: it ran, and was reported as not executed.
TEST_F(target_pool_test, ALateCopyOfARejectionIsNotTheAnswerToASecondSend) {
  AnswerFirstWith(503, "Not-Executed: 1\r\n");
  EXPECT_EQ(Run("id-1").end, run_end::kNotExecuted);
  const run_result second = Run("id-1");
  EXPECT_EQ(second.end, run_end::kAnswered);
  EXPECT_EQ(second.response.body, "second");
  EXPECT_EQ(pool_.counters().passed_over, 1U);
}

// Guards against a late copy of a failure that is taken for the answer to the
// second send of an idempotent request.
TEST_F(target_pool_test, ALateCopyOfAFailureIsNotTheAnswerToASecondSend) {
  AnswerFirstWith(500, "");
  EXPECT_EQ(Run("id-1").response.status, 500);
  EXPECT_EQ(Run("id-1").response.status, 200);
}

// Guards against a late copy of a misdirection that is taken for the answer to
// a second send, after the list of targets has changed.
TEST_F(target_pool_test, ALateCopyOfAMisdirectionIsNotTheAnswerToASecondSend) {
  AnswerFirstWith(421, "");
  EXPECT_EQ(Run("id-1").end, run_end::kWrongTarget);
  EXPECT_EQ(Run("id-1").end, run_end::kAnswered);
}

// Guards against a new connection for each request beside rejections.
TEST_F(target_pool_test, RequestsWithOtherIdsShareAConnection) {
  AnswerFirstWith(503, "Not-Executed: 1\r\n");
  Run("id-1");
  copies_.begin()->second.clear();
  for (int i = 2; i < 20; ++i) {
    EXPECT_EQ(Run("id-" + std::to_string(i)).end, run_end::kAnswered);
  }
  EXPECT_EQ(target_.connections, 1);
}

// Guards against a caller that fills the target with connections by giving all
// its requests one id.
TEST_F(target_pool_test, OneIdForAllRequestsNeedsFewConnections) {
  constexpr int kRuns = 50;
  target_.on_request = [](const read_request& request,
                          const connection_ptr& from) {
    from->Send(fake_http_target::Answer(request, "well"));
  };
  for (int i = 0; i < kRuns; ++i) {
    ASSERT_EQ(Run("id-1").end, run_end::kAnswered);
  }
  EXPECT_EQ(target_.connections, kRuns);
  EXPECT_TRUE(RunUntil(
      context_, [&] { return target_.connections - target_.ended <= 9; }));
}

// Guards against ids that are forgotten, or pile up, on a connection in use for
// long.
TEST_F(target_pool_test, AConnectionIsReplacedOnceItsIdsAreFull) {
  target_.on_request = [](const read_request& request,
                          const connection_ptr& from) {
    from->Send(fake_http_target::Answer(request, "well"));
  };
  for (std::size_t i = 0; i < carried_ids::kMax; ++i) {
    ASSERT_EQ(Run(std::to_string(i)).end, run_end::kAnswered);
  }
  EXPECT_EQ(target_.connections, 1);
  EXPECT_EQ(Run("0").end, run_end::kAnswered);
  EXPECT_EQ(target_.connections, 2);
}

// Guards against a part of an answer that is told as all of it: its connection
// was reset while the request was still being written.
TEST_F(target_pool_test, AnAnswerThatIsResetDuringAnUploadIsNotWhole) {
  constexpr int kRuns = 20;
  constexpr std::size_t kUploadBytes = 8 << 20;
  target_.on_head = [](fake_http_target::connection& from) {
    from.Send("HTTP/1.1 200 OK\r\nResponse-Signature: s\r\n\r\npart");
    from.Reset();
  };
  for (int i = 0; i < kRuns; ++i) {
    EXPECT_EQ(
        Run("id-" + std::to_string(i), std::string(kUploadBytes, 'x')).end,
        run_end::kLost);
  }
}

// Guards against answers that have no length and are refused though they are
// whole.
TEST_F(target_pool_test, AnAnswerWithoutALengthEndsWithItsConnection) {
  target_.on_request = [](const read_request&, const connection_ptr& from) {
    from->Send("HTTP/1.1 200 OK\r\nResponse-Signature: s\r\n\r\nwhole");
    from->Close();
  };
  const run_result result = Run("id-1", std::string(8 << 20, 'x'));
  EXPECT_EQ(result.end, run_end::kAnswered);
  EXPECT_EQ(result.response.body, "whole");
}

// Guards against bytes of a request that an idle connection keeps.
TEST_F(target_pool_test, AnIdleConnectionKeepsNoBody) {
  target_.on_request = [](const read_request& request,
                          const connection_ptr& from) {
    from->Send(fake_http_target::Answer(request, "well"));
  };
  const auto budget = std::make_shared<memory_budget>(memory_budget_options());
  memory_reservation reservation = budget->Open(memory_use::kRequests);
  ASSERT_TRUE(reservation.Resize(1 << 20));
  EXPECT_EQ(Run("id-1", shared_bytes::Reserved(std::string(1 << 20, 'x'),
                                               std::move(reservation)))
                .end,
            run_end::kAnswered);
  EXPECT_EQ(target_.connections - target_.ended, 1);
  EXPECT_EQ(budget->held(), 0U);
}

// Guards against an answer of another request that bears no id.
TEST_F(target_pool_test, AnAnswerWithoutAnIdIsTakenOnNewConnectionsOnly) {
  target_.on_request = [](const read_request&, const connection_ptr& from) {
    from->Send(ResponseHead(200, "Response-Signature: s\r\n", 0, true));
  };
  EXPECT_EQ(Run("id-1").end, run_end::kAnswered);
  EXPECT_EQ(Run("id-2").end, run_end::kLost);
  EXPECT_EQ(Run("id-3").end, run_end::kAnswered);
  EXPECT_EQ(target_.connections, 2);
}

// The ids of a connection under any sequence of requests, among them a client's
// that uses one id again and again.
RC_GTEST_PROP(CarriedIdsTest,
              NeverMissesAnId,
              (const std::vector<std::string>& ids)) {
  carried_ids carried(1);
  std::set<std::string> added;
  for (const std::string& id : ids) {
    carried.Add(id);
    added.insert(id);
    for (const std::string& each : added) {
      RC_ASSERT(carried.MayContain(each));
    }
  }
}

TEST(CarriedIdsTest, TakesFewIdsForOthers) {
  carried_ids carried(1);
  for (std::size_t i = 0; !carried.full(); ++i) {
    ASSERT_LE(i, carried_ids::kMax + 1);
    carried.Add("carried-" + std::to_string(i));
  }
  int mistaken = 0;
  for (int i = 0; i < 100000; ++i) {
    mistaken += carried.MayContain("other-" + std::to_string(i)) ? 1 : 0;
  }
  EXPECT_LE(mistaken, 2);
}

}  // namespace
}  // namespace pistachioweir
