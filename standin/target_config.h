// target_config: how a target's stand-in behaves; changed while it runs.
#pragma once

#include <json/value.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "include/base/enum_table.h"
#include "include/base/time.h"
#include "include/config/manifest.h"

namespace pistachioweir::standin {

enum class service_time : std::uint8_t { kFixed, kExponential, kLognormal };

inline constexpr enum_table<service_time, 3> kServiceTimeNames({"fixed",
                                                                "exponential",
                                                                "lognormal"});

struct target_method {
  service_time distribution = service_time::kExponential;
  double mean_ms = 2;
  bool at_most_once = false;
  std::uint32_t answer_bytes = 100;
  std::vector<downstream_call> calls;  // Made in turn, after the own work.
};

struct target_config {
  std::uint32_t slots = 40;
  std::uint32_t queue = 1000;  // Requests beyond the slots that may wait.
  bool sheds = false;          // Answers 503 instead of queueing.
  bool draining = false;       // Answers 503 to all new requests.
  bool hang = false;           // Starts requests and never answers.
  double slow_down = 1;        // Factor on the service time.
  std::uint32_t cold_ms = 0;   // For so long after its start a target is cold
  double cold_factor = 5;      // and its service time larger by this.
  std::string health;          // The state /health claims; empty for the truth.
  std::map<std::string, target_method> methods;

  // Sets the members that `changes` has. Throws Json::Exception on a wrong
  // type: for the edge of a program.
  void Apply(const Json::Value& changes);
};

}  // namespace pistachioweir::standin
