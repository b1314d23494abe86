// Tests of the messages between daemons.
#include "include/call/envelope.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

namespace pistachioweir {
namespace {

call_envelope SampleCall() {
  return {.service = "contracts",
          .method = "sign",
          .content_type = "application/json",
          .body = std::string("\0\xff{}", 4),
          .level = priority::kCritical,
          .ticket = 200,
          .depth = 3,
          .remaining = milliseconds(180),
          .retry_credit = 2,
          .binding = execution_binding{
              .key = {.home = {.vm = "vm-1", .incarnation = incarnation_id{9}},
                      .sequence = 7},
              .attempt = 1,
              .executor = incarnation_id{11},
              .epoch = epoch_id{4}}};
}

TEST(EnvelopeTest, CallSurvivesTheWire) {
  const call_envelope sent = SampleCall();
  const auto got = DecodeCall(Encode(sent));
  ASSERT_TRUE(got);
  EXPECT_EQ(got->service, sent.service);
  EXPECT_EQ(got->method, sent.method);
  EXPECT_EQ(got->body, sent.body);
  EXPECT_EQ(got->level, sent.level);
  EXPECT_EQ(got->ticket, sent.ticket);
  EXPECT_EQ(got->remaining, sent.remaining);
  EXPECT_EQ(got->retry_credit, sent.retry_credit);
  ASSERT_TRUE(got->binding);
  EXPECT_EQ(got->binding->key, sent.binding->key);
  EXPECT_EQ(got->binding->epoch, sent.binding->epoch);
}

TEST(EnvelopeTest, AnswerSurvivesTheWire) {
  answer_envelope sent;
  sent.result = NotExecuted(reason::kOverload, milliseconds(250));
  sent.unspent_credit = 1;
  sent.queued = 12;
  sent.limit = 40;
  sent.draining = true;
  const auto got = DecodeAnswer(Encode(sent));
  ASSERT_TRUE(got);
  EXPECT_EQ(got->result.kind, outcome_kind::kNotExecuted);
  EXPECT_EQ(got->result.why, reason::kOverload);
  EXPECT_EQ(got->result.retry_after, milliseconds(250));
  EXPECT_EQ(got->queued, 12U);
  EXPECT_EQ(got->limit, 40U);
  EXPECT_TRUE(got->draining);
}

// A message is cut short on its way, or something else sends to the port. The
// daemon must not take part of a message for a whole one.
TEST(EnvelopeTest, CutMessagesAreRefused) {
  const std::string whole = Encode(SampleCall());
  for (std::size_t size = 0; size < whole.size(); ++size) {
    EXPECT_FALSE(DecodeCall(std::string_view(whole).substr(0, size)));
  }
  EXPECT_FALSE(DecodeCall(whole + "x"));
}

RC_GTEST_PROP(EnvelopeTest, RandomBytesAreRefused, (const std::string& bytes)) {
  RC_ASSERT(!DecodeCall(bytes));
  RC_ASSERT(!DecodeAnswer(bytes));
}

}  // namespace
}  // namespace pistachioweir
