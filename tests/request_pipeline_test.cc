// Requests of one connection in any order of beginnings, answers, writes and
// stops.
#include "src/forward/request_pipeline.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstddef>
#include <vector>

namespace pistachioweir {
namespace {

using pipeline = request_pipeline<std::size_t>;

// What a caller sees of its connection.
struct connection_model {
  pipeline requests;
  std::size_t begun = 0;
  std::vector<std::size_t> written;
  bool draining = false;
  bool closed = false;  // The last response has been written.

  void Begin(const pipelined_request& how) {
    if (!requests.CanBegin(how.safe, draining)) {
      return;
    }
    RC_ASSERT(!closed);
    RC_ASSERT(how.safe || requests.empty());
    requests.Begin(begun++, how);
  }

  void AnswerOne() {
    std::vector<pipeline::entry_ptr> waiting;
    for (const auto& each : requests.open()) {
      if (!each->answered) {
        waiting.push_back(each);
      }
    }
    if (!waiting.empty()) {
      (*rc::gen::elementOf(waiting))->answered = true;
    }
  }

  void StartWriting() {
    if (requests.StartWriting(draining) != nullptr && requests.closes()) {
      RC_ASSERT(requests.open().size() == 1U);
    }
  }

  void FinishWriting() {
    if (requests.writing()) {
      const bool announced = requests.closes();
      written.push_back(requests.open().front()->exchange);
      RC_ASSERT(requests.FinishWriting() == announced);
      closed = announced;
    }
  }
};

// Guards against requests that are begun and whose responses aren't written
// since another response of the connection closed it.
RC_GTEST_PROP(RequestPipelineTest, AnswersEachRequestThatItBegins, ()) {
  connection_model model;
  for (int step = 0; step < 100 && !model.closed; ++step) {
    switch (*rc::gen::weightedElement<int>(
        {{4, 0}, {1, 1}, {1, 2}, {4, 3}, {4, 4}, {4, 5}, {1, 6}})) {
      case 0:
        model.Begin({.safe = true});
        break;
      case 1:
        model.Begin({.safe = false});
        break;
      case 2:
        model.Begin({.safe = true, .last = true});
        break;
      case 3:
        model.AnswerOne();
        break;
      case 4:
        model.StartWriting();
        break;
      case 5:
        model.FinishWriting();
        break;
      default:
        model.draining = true;
    }
  }
  model.draining = true;
  while (!model.requests.empty()) {
    model.AnswerOne();
    model.StartWriting();
    model.FinishWriting();
  }
  RC_ASSERT(model.written.size() == model.begun);
  for (std::size_t i = 0; i < model.written.size(); ++i) {
    RC_ASSERT(model.written[i] == i);
  }
  RC_ASSERT(!model.closed || !model.requests.CanBegin(true, true));
}

// Guards against a stop that ends only once its callers send nothing more.
TEST(RequestPipelineTest, BeginsNothingBehindOthersWhileDraining) {
  pipeline requests;
  requests.Begin(1, {.safe = true});
  EXPECT_TRUE(requests.CanBegin(true, false));
  EXPECT_FALSE(requests.CanBegin(true, true));
  requests.open().front()->answered = true;
  ASSERT_NE(requests.StartWriting(true), nullptr);
  EXPECT_TRUE(requests.closes());
  EXPECT_TRUE(requests.FinishWriting());
  EXPECT_FALSE(requests.CanBegin(true, true));
}

// Guards against an end that is announced by a response that is already on its
// way without it.
TEST(RequestPipelineTest, AStopAppliesFromTheNextResponseOn) {
  pipeline requests;
  requests.Begin(1, {.safe = true});
  requests.open().front()->answered = true;
  ASSERT_NE(requests.StartWriting(false), nullptr);
  EXPECT_FALSE(requests.FinishWriting());
  EXPECT_TRUE(requests.CanBegin(false, true));
}

}  // namespace
}  // namespace pistachioweir
