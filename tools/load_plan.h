// load_plan: what pw-load sends, to whom and how often.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "include/base/enum_table.h"
#include "include/base/time.h"
#include "include/config/settings.h"

namespace pistachioweir::standin {

// What a caller does when its request was not completed.
enum class resend_policy : std::uint8_t {
  kNone,
  kHard,    // Sends again at once.
  kHonour,  // Comes back when it was told to, if at all.
};

inline constexpr enum_table<resend_policy, 3> kResendPolicyNames({"none",
                                                                  "hard",
                                                                  "honour"});

struct load_method {
  std::string name;
  double weight = 1;
  bool at_most_once = false;
};

struct load_plan {
  std::vector<endpoint> daemons;  // Or targets, with `direct`.
  std::string service;
  std::vector<load_method> methods;
  double rate = 100;  // Requests per second, Poisson.
  milliseconds length{10000};
  // Between these times since the start the rate is multiplied.
  milliseconds surge_start{0};
  milliseconds surge_end{0};
  double surge_factor = 1;
  milliseconds timeout{1000};
  resend_policy resend = resend_policy::kNone;
  std::uint32_t max_resends = 3;
  bool direct = false;  // Speaks to targets, without the system.
  std::uint64_t seed = 1;
  std::string run = "r";  // Prefix of request ids; unique over a test's runs.
  std::string records;    // File of JSON lines: what each caller was told.
};

// Reads "sign=0.2:once,look_up=0.8". Throws std::invalid_argument.
[[nodiscard]] std::vector<load_method> ParseMix(const std::string& text);

}  // namespace pistachioweir::standin
