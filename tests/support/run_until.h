// run_until: runs an io_context until a test's condition holds.
#pragma once

#include <gtest/gtest.h>

#include <functional>

#include <boost/asio/io_context.hpp>

#include "include/base/time.h"

namespace pistachioweir {

// Ends a test that hangs.
inline constexpr milliseconds kTestTimeout{20000};

// Runs ready handlers until `done` holds.
inline ::testing::AssertionResult RunUntil(boost::asio::io_context& context,
                                           const std::function<bool()>& done) {
  const time_point end = monotonic_clock::now() + kTestTimeout;
  while (!done()) {
    if (monotonic_clock::now() > end) {
      return ::testing::AssertionFailure() << "condition not met in time";
    }
    context.restart();
    context.run_one_for(milliseconds(10));
  }
  return ::testing::AssertionSuccess();
}

}  // namespace pistachioweir
