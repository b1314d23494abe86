// Tests of counting and of the text for Prometheus.
#include "include/metrics/metrics.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <string>
#include <thread>
#include <vector>

namespace pistachioweir {
namespace {

using testing::HasSubstr;
using testing::Not;

TEST(MetricsTest, CountsByOutcomeAndReason) {
  daemon_metrics metrics;
  method_metrics* list = metrics.ForMethod(call_role::kInbound, "mail", "list");
  EXPECT_EQ(list, metrics.ForMethod(call_role::kInbound, "mail", "list"));
  EXPECT_NE(list, metrics.ForMethod(call_role::kOutbound, "mail", "list"));
  list->CountCall(outcome_kind::kCompleted, reason::kNone, microseconds(700));
  list->CountCall(outcome_kind::kNotExecuted, reason::kOverload,
                  microseconds(20));
  list->CountQueueing(milliseconds(3));
  EXPECT_EQ(list->calls(outcome_kind::kCompleted, reason::kNone), 1U);

  metrics.Set(gauge::kQueued, 12);
  metrics.Add(counter::kRetries, 3);
  const std::string text = metrics.Text();
  EXPECT_THAT(text, HasSubstr("pistachioweir_queued 12\n"));
  EXPECT_THAT(text, HasSubstr("pistachioweir_retries_total 3\n"));
  EXPECT_THAT(text, HasSubstr("# TYPE pistachioweir_calls_total counter\n"));
  EXPECT_THAT(text,
              HasSubstr("pistachioweir_calls_total{role=\"inbound\","
                        "service=\"mail\",method=\"list\","
                        "outcome=\"not_executed\",reason=\"overload\"} 1\n"));
  EXPECT_THAT(text, Not(HasSubstr("queue_full")));
  EXPECT_THAT(text, HasSubstr("service=\"mail\",method=\"list\",le=\"0.001\"} "
                              "2\n"));
  EXPECT_THAT(text, HasSubstr("service=\"mail\",method=\"list\",le=\"+Inf\"} "
                              "2\n"));
}

TEST(MetricsTest, EveryDurationHasABucket) {
  method_metrics method;
  for (const duration value :
       {duration(-5), duration(0), duration(microseconds(50)),
        duration(seconds(10)), duration(seconds(11)), duration::max()}) {
    method.CountQueueing(value);
  }
  const latency_counts counts = method.queueing();
  EXPECT_EQ(counts.buckets.front(), 3U);
  EXPECT_EQ(counts.buckets.back(), 2U);
}

// Names of methods come from outside and never end. Each would take some
// kilobytes and a few series at the monitoring system.
TEST(MetricsTest, MethodsAreBounded) {
  daemon_metrics metrics;
  for (int i = 0; i < 2000; ++i) {
    const std::string name = std::to_string(i);
    ASSERT_NE(metrics.ForMethod(call_role::kInbound, "s", name), nullptr);
  }
  EXPECT_EQ(metrics.ForMethod(call_role::kInbound, "s", "new"),
            metrics.ForMethod(call_role::kInbound, "other", "other"));
}

TEST(MetricsTest, ThreadsCountTogether) {
  daemon_metrics metrics;
  method_metrics* method = metrics.ForMethod(call_role::kInbound, "a", "b");
  {
    std::vector<std::jthread> threads;
    threads.reserve(12);
    for (int i = 0; i < 12; ++i) {
      threads.emplace_back([&] {
        for (int j = 0; j < 1000; ++j) {
          method->CountCall(outcome_kind::kCompleted, reason::kNone,
                            microseconds(10));
          metrics.Add(counter::kRetries);
        }
      });
    }
  }
  EXPECT_EQ(method->calls(outcome_kind::kCompleted, reason::kNone), 12000U);
  EXPECT_EQ(method->latency().sum_microseconds, 120000U);
  EXPECT_THAT(metrics.Text(), HasSubstr("pistachioweir_retries_total 12000\n"));
}

}  // namespace
}  // namespace pistachioweir
