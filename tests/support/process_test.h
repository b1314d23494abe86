// process_test: the base of tests that run a whole fleet of processes under
// load, break something, and judge the records.
#pragma once

#include <gtest/gtest.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "standin/fleet.h"
#include "standin/verifier.h"
#include "tools/load_plan.h"
#include "tools/load_report.h"

namespace pistachioweir {

// A load that runs beside the test, on its own thread.
class background_load {
 public:
  explicit background_load(const standin::load_plan& plan);
  ~background_load();
  background_load(const background_load&) = delete;
  background_load& operator=(const background_load&) = delete;

  // Waits for the last answer; what the callers saw.
  const standin::load_report& Wait();

 private:
  standin::load_report report_;
  std::thread thread_;
};

// The chain of examples/demo with three VMs a service: contracts calls
// lease-terms, which calls mast-registry.
class process_test : public testing::Test {
 protected:
  // Starts the fleet; fails the test if it doesn't serve.
  void StartFleet(bool forward = false);

  // 60 requests per second at the entrance, far below capacity, of which a
  // third signs; callers re-send when they were told to come back.
  [[nodiscard]] standin::load_plan Plan(milliseconds length);

  // An eventual condition with a generous limit, in place of a wall time.
  [[nodiscard]] static bool Eventually(const std::function<bool()>& condition,
                                       milliseconds limit = seconds(30));

  // All that must hold whatever happened; names what was broken.
  void ExpectPromises() const;

  standin::fleet& fleet() { return *fleet_; }

 private:
  std::unique_ptr<standin::fleet> fleet_;
  int loads_ = 0;
};

// Requests of all methods.
[[nodiscard]] std::uint64_t Sent(const standin::load_report& report);
[[nodiscard]] std::uint64_t InDeadline(const standin::load_report& report);

}  // namespace pistachioweir
