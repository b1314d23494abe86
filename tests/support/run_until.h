// run_until: drives a test's asynchronous parts until something has happened.
#pragma once

#include <gtest/gtest.h>

#include <functional>

#include <boost/asio/io_context.hpp>

#include "include/base/time.h"

namespace pistachioweir {

// Only ends a test that hangs.
inline constexpr milliseconds kTestTimeout{20000};

// Runs what is ready or becomes so until `done` holds.
inline ::testing::AssertionResult RunUntil(boost::asio::io_context& context,
                                           const std::function<bool()>& done) {
  const time_point end = monotonic_clock::now() + kTestTimeout;
  while (!done()) {
    if (monotonic_clock::now() > end) {
      return ::testing::AssertionFailure() << "nothing happened";
    }
    context.restart();
    context.run_one_for(milliseconds(10));
  }
  return ::testing::AssertionSuccess();
}

}  // namespace pistachioweir
